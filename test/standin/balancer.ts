/** The users' load balancer, from the protocol: probes, removals and pauses, sticky connections. */
import type { Random } from '../../src/units/index.js';
import type { TimeSource } from './clock.js';

interface Backend {
  readonly node: number;
  isHealthy: boolean;
  wasEverHealthy: boolean;
  /** The results of the last probes, newest last. */
  probes: boolean[];
  /** When its health last changed. */
  changedAt: number;
  /** When it was removed, within the last two minutes. */
  removals: number[];
  /** How long it stays removed, in milliseconds; it doubles with each removal. */
  pause: number;
}

const MIN_PAUSE = 3000;
const MAX_PAUSE = 60_000;
/** Removals count towards the pause for so long. */
const REMOVALS_REMEMBERED = 120_000;
/** Connections to a node that became unhealthy are reset after so long. */
const RESET_AFTER = 5000;
/** Of the probes that are remembered, so many failures remove a node. */
const MAX_FAILURES = 2;
const PROBES_REMEMBERED = 6;

/** The load balancer. */
export class Balancer {
  private readonly backends: Backend[];

  constructor(
    private readonly time: TimeSource,
    private readonly random: Random,
    count: number,
    /** Whether a node answers its health check with 200 within a second. */
    private readonly probe: (node: number) => Promise<boolean>,
  ) {
    this.backends = Array.from({ length: count }, (_, node) => ({
      node,
      isHealthy: false,
      wasEverHealthy: false,
      probes: [],
      changedAt: 0,
      removals: [],
      pause: MIN_PAUSE,
    }));
    for (const backend of this.backends) this.watch(backend);
  }

  private watch(backend: Backend): void {
    this.time.after(900 + this.random() * 200, () => {
      void this.probe(backend.node).then((isOk) => this.note(backend, isOk));
      this.watch(backend);
    });
  }

  private note(backend: Backend, isOk: boolean): void {
    backend.probes = [...backend.probes.slice(1 - PROBES_REMEMBERED), isOk];
    if (backend.isHealthy) this.removeIfFailing(backend);
    else if (isOk) this.addIfRecovered(backend);
  }

  private removeIfFailing(backend: Backend): void {
    const lastTwo = backend.probes.slice(-2);
    const failures = backend.probes.filter((isOk) => !isOk).length;
    const failedTwice = lastTwo.length === 2 && !lastTwo.includes(true);
    if (!failedTwice && failures <= MAX_FAILURES) return;
    const { now } = this.time;
    backend.isHealthy = false;
    backend.changedAt = now;
    backend.removals = [...backend.removals.filter((at) => now - at < REMOVALS_REMEMBERED), now];
    backend.pause = Math.min(MAX_PAUSE, MIN_PAUSE * 2 ** (backend.removals.length - 1));
  }

  /** A node is used after its first good probe; after a removal it takes two, and the pause. */
  private addIfRecovered(backend: Backend): void {
    const { now } = this.time;
    const lastTwo = backend.probes.slice(-2);
    const answeredTwice = lastTwo.length === 2 && !lastTwo.includes(false);
    const isPaused = now - backend.changedAt < backend.pause;
    if (backend.wasEverHealthy && (!answeredTwice || isPaused)) return;
    backend.isHealthy = true;
    backend.wasEverHealthy = true;
    backend.changedAt = now;
    backend.probes = [];
  }

  /** Whether an open connection to this node has been reset because the node is unhealthy. */
  hasReset(node: number): boolean {
    const backend = this.backends[node];
    return !backend || (!backend.isHealthy && this.time.now - backend.changedAt > RESET_AFTER);
  }

  /** The node that a new connection goes to: a healthy one that did not just refuse it. */
  choose(refused: ReadonlySet<number>): number | undefined {
    const usable = this.backends.filter(({ node, isHealthy }) => isHealthy && !refused.has(node));
    return usable[Math.floor(this.random() * usable.length)]?.node;
  }
}
