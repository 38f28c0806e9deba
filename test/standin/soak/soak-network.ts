/** The ports of a soak run, the links between its controllers, and the settings that name them. */
import { randomInt } from 'node:crypto';
import net from 'node:net';
import { settingsFile } from '../../support/settings-file.js';
import { CONTROLLERS, ZONES } from '../cluster-settings.js';
import { TcpProxy } from './tcp-proxy.js';

/**
 * Ports are taken from below the range that the system uses for outgoing connections, where a port could be taken again
 * as soon as it was found to be free. Each run has a block of them, and listens on the first one as long as it lasts,
 * so that no other run takes the same block.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 32;
const BLOCK_COUNT = 590;

/** The ports of one controller. */
interface ControllerPorts {
  readonly api: number;
  readonly peers: number;
  /** Where it reaches the store. Each controller has its own, so that the store can tell them apart. */
  readonly store: number;
}

/** Listens on a port of loopback; undefined if it is in use. */
function listenOn(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** Ports that belong to one run until `release`. */
interface PortBlock {
  readonly ports: readonly number[];
  release(): void;
}

/** Takes the block that begins at a port; undefined if any of its ports is in use. */
async function takeBlock(firstPort: number): Promise<PortBlock | undefined> {
  const lock = await listenOn(firstPort);
  if (!lock) return undefined;
  const ports: number[] = [];
  for (let port = firstPort + 1; port < firstPort + PORTS_PER_BLOCK; port++) {
    const server = await listenOn(port);
    if (!server) {
      lock.close();
      return undefined;
    }
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  return { ports, release: () => lock.close() };
}

/** Takes a random block that is free. */
async function takeFreeBlock(): Promise<PortBlock> {
  for (;;) {
    const block = await takeBlock(FIRST_PORT + randomInt(BLOCK_COUNT) * PORTS_PER_BLOCK);
    if (block) return block;
  }
}

const loopback = (port: number): string => `127.0.0.1:${port}`;

/** All addresses of a soak run. */
export class SoakNetwork {
  private readonly links = new Map<string, { readonly proxy: TcpProxy; readonly port: number }>();

  private constructor(
    private readonly block: PortBlock,
    readonly workerPort: number,
    readonly cloudPort: number,
    private readonly controllerPorts: readonly ControllerPorts[],
  ) {}

  /** Finds free ports and opens the links between the controllers. */
  static async create(): Promise<SoakNetwork> {
    const block = await takeFreeBlock();
    const [workers = 0, cloud = 0, ...ports] = block.ports;
    const controllerPorts = CONTROLLERS.map((index) => ({
      api: ports[3 * index] ?? 0,
      peers: ports[3 * index + 1] ?? 0,
      store: ports[3 * index + 2] ?? 0,
    }));
    const network = new SoakNetwork(block, workers, cloud, controllerPorts);
    await network.openLinks();
    return network;
  }

  private async openLinks(): Promise<void> {
    for (const from of CONTROLLERS) {
      for (const to of CONTROLLERS) {
        if (from === to) continue;
        const proxy = new TcpProxy(this.portsOf(to).peers);
        this.links.set(`${from}>${to}`, { proxy, port: await proxy.listen() });
      }
    }
  }

  /** The ports of a controller. */
  portsOf(controller: number): ControllerPorts {
    const ports = this.controllerPorts[controller];
    if (!ports) throw new RangeError(`there is no controller ${controller}`);
    return ports;
  }

  /** The address where users and workers reach a controller. */
  apiAddressOf(controller: number): string {
    return loopback(this.portsOf(controller).api);
  }

  /** The link by which a controller reaches a peer. */
  linkBetween(from: number, to: number): TcpProxy {
    return this.connectionBetween(from, to).proxy;
  }

  private connectionBetween(from: number, to: number): { proxy: TcpProxy; port: number } {
    const link = this.links.get(`${from}>${to}`);
    if (!link) throw new RangeError(`there is no link from ${from} to ${to}`);
    return link;
  }

  /** The settings file of a controller. Its only team may use `maxCpus` processors. */
  settingsOf(controller: number, maxCpus: number): object {
    const file = settingsFile(controller, ZONES);
    const { api, peers, store } = this.portsOf(controller);
    const peerIndexes = CONTROLLERS.filter((other) => other !== controller);
    return {
      ...file,
      api_addr: loopback(api),
      cluster_listen: loopback(peers),
      others: file.others.map((other, i) => ({
        ...other,
        endpoint: loopback(this.connectionBetween(controller, peerIndexes[i] ?? 0).port),
      })),
      endpoints: { cloud: loopback(this.cloudPort), state: loopback(store) },
      params: {
        ...file.params,
        teams: file.params.teams.map((team) => ({ ...team, cpus_max: maxCpus })),
      },
    };
  }

  /** Closes all links and gives the ports back. */
  close(): void {
    this.block.release();
    for (const { proxy } of this.links.values()) proxy.close();
  }
}
