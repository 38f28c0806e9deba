/** The controllers of a world: their processes start, end, stand still and are upgraded. */
import type { Logger } from 'pino';
import type { HttpClient } from '../../src/net/http.js';
import type { Endpoint, ControllerId, Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { Build, PeerConnection, RunningController } from './build.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import type { Answer, Network } from './network.js';
import { NODES, type Platform } from './platform.js';
import { presentBuild } from './present-build.js';

/** What controllers need of the world around them. */
export interface ControllersWorld {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly platform: Platform;
  readonly log: Logger;
}

interface Process {
  readonly clock: ProcessClock;
  readonly controller: RunningController;
}

const MAX_DRIFT = 0.00025;
const MAX_WALL_OFFSET = 200;
/** After a request without an answer a peer counts as unresponsive for so long. */
const UNRESPONSIVE_FOR = 2000;

/** An answer by HTTP of a controller, as its own clients see it. */
async function answerHttp(
  controller: RunningController,
  method: string,
  path: string,
  body: unknown,
): Promise<Answer> {
  const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
  if (path === '/up') return controller.health();
  const reply = await (path === '/agent/beat'
    ? controller.handleHeartbeat(bytes)
    : controller.handleUserRequest(method, path, bytes));
  return Buffer.isBuffer(reply.body) ? { ...reply, body: decode(reply.body) } : reply;
}

function connectPeer(http: HttpClient, clock: ProcessClock, endpoint: Endpoint): PeerConnection {
  let unresponsiveUntil = 0;
  return {
    get isResponsive() {
      return clock.steady() >= unresponsiveUntil;
    },
    exchange: async (frame, timeout, read) => {
      const outcome = await http.send({
        endpoint,
        method: 'POST',
        path: '/',
        body: frame,
        timeout,
      });
      if (outcome.kind === 'response') return read(outcome.body as Buffer);
      unresponsiveUntil = clock.steady() + UNRESPONSIVE_FOR;
      return undefined;
    },
  };
}

/** One controller on each node, or none while its process has ended. */
export class Controllers {
  private readonly processes = new Map<number, Process>();
  /** The version that each node runs when it is started next. */
  private readonly builds = new Map<number, Build>();

  constructor(
    private readonly world: ControllersWorld,
    build: Build,
  ) {
    for (const node of NODES) this.builds.set(node, build);
  }

  /** Starts the controller of a node, unless it runs. */
  start(node: number): void {
    if (this.processes.has(node)) return;
    const { time, random, network, platform, log } = this.world;
    const settings = platform.settingsOf(node);
    const clock = new ProcessClock(
      time,
      (random() - 0.5) * 2 * MAX_DRIFT,
      (random() - 0.5) * 2 * MAX_WALL_OFFSET,
    );
    const http = network.client(settings.controllerId, settings.zone, clock);
    const build = this.builds.get(node) ?? presentBuild;
    const controller = build.createController(platform.fileOf(node), {
      clock,
      random,
      http,
      log: log.child({ node: settings.controllerId }),
      peers: new Map<ControllerId, PeerConnection>(
        settings.otherControllers.map((other) => [
          other.controllerId,
          connectPeer(http, clock, other.endpoint),
        ]),
      ),
      processId: `run-${node}-${time.now}`,
    });
    network.attach(settings.apiEndpoint, settings.zone, (method, path, body) =>
      answerHttp(controller, method, path, body),
    );
    network.attach(settings.clusterEndpoint, settings.zone, (_method, _path, body) =>
      controller.handlePeerFrame(body as Buffer),
    );
    this.processes.set(node, { clock, controller });
    controller.start();
  }

  /** Ends a process without a signal: nothing of it runs on, and what it sent may still arrive. */
  kill(node: number): void {
    const process = this.processes.get(node);
    if (!process) return;
    process.clock.isDead = true;
    process.controller.stop();
    this.processes.delete(node);
    for (const endpoint of this.endpointsOf(node)) this.world.network.detach(endpoint);
  }

  /** A frozen process does nothing, with all that it has in hand, while its clocks run on. */
  freeze(node: number, isFrozen: boolean): void {
    const process = this.processes.get(node);
    if (!process) return;
    process.clock.freeze(isFrozen);
    for (const endpoint of this.endpointsOf(node)) this.world.network.hang(endpoint, isFrozen);
  }

  /** Ends a process and starts it with this version after a while. */
  upgrade(node: number, downMs: number): void {
    this.kill(node);
    this.builds.set(node, presentBuild);
    this.world.time.after(downMs, () => this.start(node));
  }

  /** The node that leads at this moment. */
  leader(): number | undefined {
    for (const [node, { controller }] of this.processes) {
      if (controller.hasAuthority()) return node;
    }
    return undefined;
  }

  /** The process that runs on a node: another object after each start. */
  processOf(node: number): object | undefined {
    return this.processes.get(node);
  }

  private endpointsOf(node: number): readonly Endpoint[] {
    const { apiEndpoint, clusterEndpoint } = this.world.platform.settingsOf(node);
    return [apiEndpoint, clusterEndpoint];
  }
}
