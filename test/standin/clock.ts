import {
  SteadyMs,
  WallMs,
  type Clock,
  type DurationMs,
  type Timer,
} from '../../src/units/index.js';

interface Due {
  at: number;
  order: number;
  run: (() => void) | undefined;
}

/** Time that passes only when told to. Timers of one instant fire in the order they were set. */
export class VirtualTime {
  now = 0;
  private order = 0;
  private readonly heap: Due[] = [];

  private static before(a: Due, b: Due): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  after(delay: number, run: () => void): Timer {
    const due: Due = { at: this.now + Math.max(0, delay), order: this.order++, run };
    const h = this.heap;
    let i = h.push(due) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!VirtualTime.before(due, h[up]!)) break;
      h[i] = h[up]!;
      i = up;
    }
    h[i] = due;
    return { cancel: () => (due.run = undefined) };
  }

  private pop(): Due | undefined {
    const h = this.heap;
    const top = h[0];
    const last = h.pop();
    if (top === undefined || last === undefined || h.length === 0) return top;
    let i = 0;
    for (;;) {
      let c = 2 * i + 1;
      if (c >= h.length) break;
      if (c + 1 < h.length && VirtualTime.before(h[c + 1]!, h[c]!)) c++;
      if (!VirtualTime.before(h[c]!, last)) break;
      h[i] = h[c]!;
      i = c;
    }
    h[i] = last;
    return top;
  }

  /** Lets time pass, and after each timer everything that follows from it without waiting. */
  async run(until: number): Promise<void> {
    for (;;) {
      const next = this.heap[0];
      if (!next || next.at > until) break;
      this.pop();
      if (!next.run) continue;
      this.now = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = until;
  }
}

/** A process's own clocks: drifting, off, and silent once the process is killed. */
export class ProcessClock implements Clock {
  dead = false;
  private held: (() => void)[] | undefined;

  constructor(
    private readonly time: VirtualTime,
    private readonly drift: number,
    private readonly wallOff: number,
  ) {}

  steady(): SteadyMs {
    return SteadyMs(this.time.now * (1 + this.drift));
  }

  wall(): WallMs {
    return WallMs(Date.UTC(2026, 2, 12) + this.time.now + this.wallOff);
  }

  after(delay: DurationMs, run: () => void): Timer {
    return this.time.after(delay / (1 + this.drift), () => this.reach(run));
  }

  /** Something comes up for the process: nothing once it is dead, later while it stands still. */
  reach(run: () => void): void {
    if (this.dead) return;
    if (this.held) this.held.push(run);
    else run();
  }

  /** The process stands still while its clocks run on. */
  freeze(on: boolean): void {
    if (on) this.held ??= [];
    else {
      const held = this.held ?? [];
      this.held = undefined;
      for (const run of held) this.time.after(0, () => this.reach(run));
    }
  }
}
