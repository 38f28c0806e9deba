/** The users' load balancer, from the protocol: probes, removals and pauses, sticky connections. */
import type { Random } from '../../src/units/index.js';
import type { TimeSource } from './clock.js';

interface Backend {
  readonly controller: number;
  isHealthy: boolean;
  wasEverHealthy: boolean;
  /** The results of the last probes, newest last. */
  recentProbes: boolean[];
  /** When its health last changed. */
  healthChangedAt: number;
  /** When it was removed, within the last two minutes. */
  recentRemovals: number[];
  /** How long it stays removed, in milliseconds; it doubles with each removal. */
  pauseMs: number;
}

const MIN_PAUSE_MS = 3000;
const MAX_PAUSE_MS = 60_000;
/** Removals count towards the pause for so long. */
const REMOVAL_WINDOW_MS = 120_000;
/** Connections to a node that became unhealthy are reset after so long. */
const CONNECTION_RESET_MS = 5000;
/** Of the probes that are remembered, so many failures remove a node. */
const MAX_FAILED_PROBES = 2;
const PROBE_WINDOW = 6;

/** The load balancer. */
export class LoadBalancer {
  private readonly backends: Backend[];

  constructor(
    private readonly time: TimeSource,
    private readonly random: Random,
    backendCount: number,
    /** Whether a node answers its health check with 200 within a second. */
    private readonly probe: (node: number) => Promise<boolean>,
  ) {
    this.backends = Array.from({ length: backendCount }, (_, controller) => ({
      controller,
      isHealthy: false,
      wasEverHealthy: false,
      recentProbes: [],
      healthChangedAt: 0,
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
    backend.healthChangedAt = now;
    backend.recentRemovals = [
      ...backend.recentRemovals.filter((at) => now - at < REMOVAL_WINDOW_MS),
      now,
    ];
    backend.pauseMs = Math.min(
      MAX_PAUSE_MS,
      MIN_PAUSE_MS * 2 ** (backend.recentRemovals.length - 1),
    );
  }

  /** A node is used after its first good probe; after a removal it takes two, and the pause. */
  private addIfRecovered(backend: Backend): void {
    const { now } = this.time;
    const lastTwo = backend.recentProbes.slice(-2);
    const hasPassedTwice = lastTwo.length === 2 && !lastTwo.includes(false);
    const isPaused = now - backend.healthChangedAt < backend.pauseMs;
    if (backend.wasEverHealthy && (!hasPassedTwice || isPaused)) return;
    backend.isHealthy = true;
    backend.wasEverHealthy = true;
    backend.healthChangedAt = now;
    backend.recentProbes = [];
  }

  /** Whether an open connection to this node has been reset because the node is unhealthy. */
  hasResetConnections(controller: number): boolean {
    const backend = this.backends[controller];
    return (
      !backend ||
      (!backend.isHealthy && this.time.now - backend.healthChangedAt > CONNECTION_RESET_MS)
    );
  }

  /** The node that a new connection goes to: a healthy one that did not just refuse it. */
  chooseBackend(refused: ReadonlySet<number>): number | undefined {
    const usable = this.backends.filter(
      ({ controller: node, isHealthy }) => isHealthy && !refused.has(node),
    );
    return usable[Math.floor(this.random() * usable.length)]?.controller;
  }
}
