/**
 * A simulated load balancer in front of the controllers, as the protocol describes it: health checks, removal
 * with a growing pause, and the reset of connections to unhealthy controllers.
 */
import type { Random } from '../../src/units/index.js';
import type { TimeSource } from './clock.js';

interface Backend {
  readonly controller: number;
  isHealthy: boolean;
  wasEverHealthy: boolean;
  /** Whether each of the last probes passed, newest last. */
  recentProbes: boolean[];
  /** When its health last changed. */
  changedAt: number;
  /** When it was removed, in the last two minutes. */
  recentRemovals: number[];
  /** How long it stays removed; doubles with each removal in the last two minutes. */
  pauseMs: number;
}

const MIN_PAUSE_MS = 3000;
const MAX_PAUSE_MS = 60_000;
/** How long a removal counts towards the pause. */
const REMOVAL_WINDOW_MS = 120_000;
/** How long after a controller became unhealthy the open connections to it are reset. */
const RESET_DELAY_MS = 5000;
/**
 * A controller with more failures than this among its last `PROBE_WINDOW` probes is removed, as is one with two
 * failures in a row.
 */
const MAX_FAILED_PROBES = 2;
const PROBE_WINDOW = 6;

/** Sends users' connections to the controllers that pass their health checks. */
export class LoadBalancer {
  private readonly backends: Backend[];

  constructor(
    private readonly time: TimeSource,
    private readonly random: Random,
    backendCount: number,
    /** Whether a controller responds to its health check with 200 within a second. */
    private readonly probe: (controller: number) => Promise<boolean>,
  ) {
    this.backends = Array.from({ length: backendCount }, (_, controller) => ({
      controller,
      isHealthy: false,
      wasEverHealthy: false,
      recentProbes: [],
      changedAt: 0,
      recentRemovals: [],
      pauseMs: MIN_PAUSE_MS,
    }));
    for (const backend of this.backends) this.scheduleProbe(backend);
  }

  private scheduleProbe(backend: Backend): void {
    this.time.after(900 + this.random() * 200, () => {
      void this.probe(backend.controller).then((isOk) => this.recordProbe(backend, isOk));
      this.scheduleProbe(backend);
    });
  }

  private recordProbe(backend: Backend, isOk: boolean): void {
    backend.recentProbes = [...backend.recentProbes.slice(1 - PROBE_WINDOW), isOk];
    if (backend.isHealthy) this.removeIfFailing(backend);
    else if (isOk) this.addIfRecovered(backend);
  }

  private removeIfFailing(backend: Backend): void {
    const lastTwo = backend.recentProbes.slice(-2);
    const failedCount = backend.recentProbes.filter((isOk) => !isOk).length;
    const hasFailedTwice = lastTwo.length === 2 && !lastTwo.includes(true);
    if (!hasFailedTwice && failedCount <= MAX_FAILED_PROBES) return;
    const { now } = this.time;
    backend.isHealthy = false;
    backend.changedAt = now;
    backend.recentRemovals = [
      ...backend.recentRemovals.filter((at) => now - at < REMOVAL_WINDOW_MS),
      now,
    ];
    backend.pauseMs = Math.min(
      MAX_PAUSE_MS,
      MIN_PAUSE_MS * 2 ** (backend.recentRemovals.length - 1),
    );
  }

  /** Adds a controller after its first passed probe; after a removal, after two in a row and the pause. */
  private addIfRecovered(backend: Backend): void {
    const { now } = this.time;
    const lastTwo = backend.recentProbes.slice(-2);
    const hasPassedTwice = lastTwo.length === 2 && !lastTwo.includes(false);
    const isPaused = now - backend.changedAt < backend.pauseMs;
    if (backend.wasEverHealthy && (!hasPassedTwice || isPaused)) return;
    backend.isHealthy = true;
    backend.wasEverHealthy = true;
    backend.changedAt = now;
    backend.recentProbes = [];
  }

  /** The indexes of the controllers that get new connections. */
  healthyControllers(): number[] {
    return this.backends.filter(({ isHealthy }) => isHealthy).map(({ controller }) => controller);
  }

  /** Whether open connections to a controller have been reset because it is unhealthy. */
  hasResetConnections(controller: number): boolean {
    const backend = this.backends[controller];
    return !backend || (!backend.isHealthy && this.time.now - backend.changedAt > RESET_DELAY_MS);
  }

  /** Picks a random healthy controller for a new connection, without those that have just refused it. */
  chooseBackend(refused: ReadonlySet<number>): number | undefined {
    const candidates = this.backends.filter(
      ({ controller, isHealthy }) => isHealthy && !refused.has(controller),
    );
    return candidates[Math.floor(this.random() * candidates.length)]?.controller;
  }
}
