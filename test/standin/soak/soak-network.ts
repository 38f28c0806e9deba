/** The ports of a soak run, the links between its controllers, and the settings that name them. */
import { randomInt } from 'node:crypto';
import net from 'node:net';
import { settingsFile } from '../../support/settings-file.js';
import { CONTROLLERS, ZONES } from '../cluster-settings.js';
import { TcpProxy } from './tcp-proxy.js';

/**
 * Ports are drawn from below the range that the system uses for outgoing connections, where a port could be taken again
 * as soon as it was found to be free.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** The ports of one controller. */
interface ControllerPorts {
  readonly api: number;
  readonly peers: number;
  /** Where it reaches the store. Each controller has its own, so that the store can tell them apart. */
  readonly store: number;
}

/** Whether a port is free on loopback. */
function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds ports that are free on loopback. */
async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

const loopback = (port: number): string => `127.0.0.1:${port}`;

/** All addresses of a soak run. */
export class SoakNetwork {
  private readonly links = new Map<string, { readonly proxy: TcpProxy; readonly port: number }>();

  private constructor(
    readonly workerPort: number,
    readonly cloudPort: number,
    private readonly controllerPorts: readonly ControllerPorts[],
  ) {}

  /** Finds free ports and opens the links between the controllers. */
  static async create(): Promise<SoakNetwork> {
    const [workers = 0, cloud = 0, ...ports] = await freePorts(2 + 3 * CONTROLLERS.length);
    const controllerPorts = CONTROLLERS.map((index) => ({
      api: ports[3 * index] ?? 0,
      peers: ports[3 * index + 1] ?? 0,
      store: ports[3 * index + 2] ?? 0,
    }));
    const network = new SoakNetwork(workers, cloud, controllerPorts);
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

  /** Closes all links. */
  close(): void {
    for (const { proxy } of this.links.values()) proxy.close();
  }
}
