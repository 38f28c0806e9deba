/** The controller processes of a simulated cluster: starts them, kills them, freezes them and upgrades them. */
import type { Logger } from 'pino';
import type { HttpClient } from '../../src/net/http.js';
import type { Endpoint, ControllerId, Random } from '../../src/units/index.js';
import { decode, encode } from '../../src/wire/index.js';
import type { Build, PeerConnection, RunningController } from './build.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import type { HostResponse, Network } from './network.js';
import type { ClusterSettings } from './cluster-settings.js';
import { currentBuild } from './current-build.js';

/** The parts of the simulated cluster that controllers use. */
export interface ControllerProcessesDependencies {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly settings: ClusterSettings;
  readonly log: Logger;
}

interface ControllerProcess {
  readonly clock: ProcessClock;
  readonly controller: RunningController;
}

const MAX_CLOCK_DRIFT_RATIO = 0.00025;
const MAX_WALL_CLOCK_OFFSET_MS = 200;
/** How long a peer counts as unresponsive after a request without a response. */
const UNRESPONSIVE_MS = 2000;

/** Passes an HTTP request to the matching handler of a controller, and decodes the response for the network. */
async function handleHttpRequest(
  controller: RunningController,
  method: string,
  path: string,
  body: unknown,
): Promise<HostResponse> {
  const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
  if (path === '/up') return controller.health();
  const response = await (path === '/agent/beat'
    ? controller.handleHeartbeat(bytes)
    : controller.handleUserRequest(method, path, bytes));
  return Buffer.isBuffer(response.body) ? { ...response, body: decode(response.body) } : response;
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
      unresponsiveUntil = clock.steady() + UNRESPONSIVE_MS;
      return undefined;
    },
  };
}

/** The processes of all controllers. A controller has none while it is down. */
export class ControllerProcesses {
  private readonly processes = new Map<number, ControllerProcess>();
  /** The version that each controller runs from its next start on. */
  private readonly builds = new Map<number, Build>();

  constructor(
    private readonly dependencies: ControllerProcessesDependencies,
    build: Build,
  ) {
    for (const controllerIndex of dependencies.settings.controllers)
      this.builds.set(controllerIndex, build);
  }

  /** Starts a controller unless it is already running. */
  start(controllerIndex: number): void {
    if (this.processes.has(controllerIndex)) return;
    const { time, random, network, settings, log } = this.dependencies;
    const controllerSettings = settings.of(controllerIndex);
    const clock = new ProcessClock(
      time,
      (random() - 0.5) * 2 * MAX_CLOCK_DRIFT_RATIO,
      (random() - 0.5) * 2 * MAX_WALL_CLOCK_OFFSET_MS,
    );
    const http = network.client(controllerSettings.controllerId, controllerSettings.zone, clock);
    const build = this.builds.get(controllerIndex) ?? currentBuild;
    const controller = build.createController(settings.fileOf(controllerIndex), {
      clock,
      random,
      http,
      log: log.child({ node: controllerSettings.controllerId }),
      peers: new Map<ControllerId, PeerConnection>(
        controllerSettings.otherControllers.map((other) => [
          other.controllerId,
          connectPeer(http, clock, other.endpoint),
        ]),
      ),
      processId: `run-${controllerIndex}-${time.now}`,
    });
    network.attach(controllerSettings.apiEndpoint, controllerSettings.zone, (method, path, body) =>
      handleHttpRequest(controller, method, path, body),
    );
    network.attach(
      controllerSettings.peerEndpoint,
      controllerSettings.zone,
      (_method, _path, body) => controller.handlePeerFrame(body as Buffer),
    );
    this.processes.set(controllerIndex, { clock, controller });
    controller.start();
  }

  /** Kills a process without warning: it runs no more code, but requests that it has sent may still arrive. */
  kill(controllerIndex: number): void {
    const process = this.processes.get(controllerIndex);
    if (!process) return;
    process.clock.isDead = true;
    process.controller.stop();
    this.processes.delete(controllerIndex);
    for (const endpoint of this.endpointsOf(controllerIndex))
      this.dependencies.network.detach(endpoint);
  }

  /** Freezes a process or resumes it. A frozen process runs no code, but its clocks advance. */
  setFrozen(controllerIndex: number, isFrozen: boolean): void {
    const process = this.processes.get(controllerIndex);
    if (!process) return;
    process.clock.setFrozen(isFrozen);
    for (const endpoint of this.endpointsOf(controllerIndex))
      this.dependencies.network.setHung(endpoint, isFrozen);
  }

  /** Kills a process and starts it with the current version after `downMs`. */
  upgrade(controllerIndex: number, downMs: number): void {
    this.kill(controllerIndex);
    this.builds.set(controllerIndex, currentBuild);
    this.dependencies.time.after(downMs, () => this.start(controllerIndex));
  }

  /** The index of the controller that leads now. */
  leader(): number | undefined {
    for (const [index, { controller }] of this.processes) {
      if (controller.isLeader()) return index;
    }
    return undefined;
  }

  /** The running process of a controller: a different object after each start. */
  processOf(controllerIndex: number): object | undefined {
    return this.processes.get(controllerIndex);
  }

  private endpointsOf(controllerIndex: number): readonly Endpoint[] {
    const { apiEndpoint, peerEndpoint } = this.dependencies.settings.of(controllerIndex);
    return [apiEndpoint, peerEndpoint];
  }
}
