/** The controllers of a world: their processes start, end, stand still and are upgraded. */
import type { Logger } from 'pino';
import type { HttpClient } from '../../src/net/http.js';
import type { Endpoint, NodeId, Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { Build, PeerConnection, RunningController } from './build.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import type { HostResponse, Network } from './network.js';
import { CONTROLLERS, type ClusterSettings } from './cluster-settings.js';
import { currentBuild } from './current-build.js';

/** What controllers need of the world around them. */
export interface ControllerProcessesDependencies {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly settings: ClusterSettings;
  readonly log: Logger;
}

interface Process {
  readonly clock: ProcessClock;
  readonly controller: RunningController;
}

const MAX_CLOCK_DRIFT = 0.00025;
const MAX_WALL_CLOCK_OFFSET_MS = 200;
/** After a request without an answer a peer counts as unresponsive for so long. */
const UNRESPONSIVE_MS = 2000;

/** An answer by HTTP of a controller, as its own clients see it. */
async function handleHttpRequest(
  controller: RunningController,
  method: string,
  path: string,
  body: unknown,
): Promise<HostResponse> {
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
      if (outcome.kind === 'answer') return read(outcome.body as Buffer);
      unresponsiveUntil = clock.steady() + UNRESPONSIVE_MS;
      return undefined;
    },
  };
}

/** One controller on each node, or none while its process has ended. */
export class ControllerProcesses {
  private readonly processes = new Map<number, Process>();
  /** The version that each node runs when it is started next. */
  private readonly builds = new Map<number, Build>();

  constructor(
    private readonly dependencies: ControllerProcessesDependencies,
    build: Build,
  ) {
    for (const node of CONTROLLERS) this.builds.set(node, build);
  }

  /** Starts the controller of a node, unless it runs. */
  start(node: number): void {
    if (this.processes.has(node)) return;
    const { time, random, network, settings: platform, log } = this.dependencies;
    const controllerSettings = platform.of(node);
    const clock = new ProcessClock(
      time,
      (random() - 0.5) * 2 * MAX_CLOCK_DRIFT,
      (random() - 0.5) * 2 * MAX_WALL_CLOCK_OFFSET_MS,
    );
    const http = network.client(controllerSettings.node, controllerSettings.zone, clock);
    const build = this.builds.get(node) ?? currentBuild;
    const controller = build.createController(platform.fileOf(node), {
      clock,
      random,
      http,
      log: log.child({ node: controllerSettings.node }),
      peers: new Map<NodeId, PeerConnection>(
        controllerSettings.others.map((other) => [
          other.node,
          connectPeer(http, clock, other.endpoint),
        ]),
      ),
      processId: `run-${node}-${time.now}`,
    });
    network.attach(controllerSettings.apiEndpoint, controllerSettings.zone, (method, path, body) =>
      handleHttpRequest(controller, method, path, body),
    );
    network.attach(
      controllerSettings.clusterEndpoint,
      controllerSettings.zone,
      (_method, _path, body) => controller.handlePeerFrame(body as Buffer),
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
    for (const endpoint of this.endpointsOf(node)) this.dependencies.network.detach(endpoint);
  }

  /** A frozen process does nothing, with all that it has in hand, while its clocks run on. */
  setFrozen(node: number, isFrozen: boolean): void {
    const process = this.processes.get(node);
    if (!process) return;
    process.clock.setFrozen(isFrozen);
    for (const endpoint of this.endpointsOf(node))
      this.dependencies.network.setHung(endpoint, isFrozen);
  }

  /** Ends a process and starts it with this version after a while. */
  upgrade(node: number, downMs: number): void {
    this.kill(node);
    this.builds.set(node, currentBuild);
    this.dependencies.time.after(downMs, () => this.start(node));
  }

  /** The node that leads at this moment. */
  leader(): number | undefined {
    for (const [node, { controller }] of this.processes) {
      if (controller.isLeader()) return node;
    }
    return undefined;
  }

  /** The process that runs on a node: another object after each start. */
  processOf(node: number): object | undefined {
    return this.processes.get(node);
  }

  private endpointsOf(node: number): readonly Endpoint[] {
    const { apiEndpoint, clusterEndpoint } = this.dependencies.settings.of(node);
    return [apiEndpoint, clusterEndpoint];
  }
}
