import type { Random } from '../../src/units/index.js';
import type { VirtualTime } from './clock.js';

interface Node {
  readonly name: number;
  healthy: boolean;
  ever: boolean;
  /** The results of the last probes, newest last. */
  probes: boolean[];
  since: number;
  removals: number[];
  pause: number;
}

/** The users' load balancer, from the protocol: probes, removals and pauses, sticky connections. */
export class Balancer {
  private readonly nodes: Node[];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    count: number,
    /** Whether a node answers its health check with 200 within a second. */
    private readonly probe: (n: number) => Promise<boolean>,
  ) {
    this.nodes = Array.from({ length: count }, (_, name) => ({
      name,
      healthy: false,
      ever: false,
      probes: [],
      since: 0,
      removals: [],
      pause: 3000,
    }));
    for (const n of this.nodes) this.watch(n);
  }

  private watch(n: Node): void {
    this.time.after(900 + this.random() * 200, () => {
      void this.probe(n.name).then((ok) => this.note(n, ok));
      this.watch(n);
    });
  }

  private note(n: Node, ok: boolean): void {
    n.probes = [...n.probes.slice(-5), ok];
    const last = n.probes.slice(-2);
    const failures = n.probes.filter((p) => !p).length;
    const { now } = this.time;
    if (n.healthy && ((last.length === 2 && !last[0] && !last[1]) || failures >= 3)) {
      n.healthy = false;
      n.since = now;
      n.removals = [...n.removals.filter((at) => now - at < 120_000), now];
      n.pause = Math.min(60_000, 3000 * 2 ** (n.removals.length - 1));
    } else if (!n.healthy && ok) {
      const twice = last.length === 2 && last.every((p) => p);
      if (n.ever && (!twice || now - n.since < n.pause)) return;
      n.healthy = true;
      n.ever = true;
      n.since = now;
      n.probes = [];
    }
  }

  /** Whether a connection that is open to this node has been reset for its health. */
  resets(n: number): boolean {
    const node = this.nodes[n];
    return !node || (!node.healthy && this.time.now - node.since > 5000);
  }

  /** The node that a new connection goes to: healthy, and not among those that just refused it. */
  choose(refused: ReadonlySet<number>): number | undefined {
    const fit = this.nodes.filter((n) => n.healthy && !refused.has(n.name));
    return fit[Math.floor(this.random() * fit.length)]?.name;
  }
}
