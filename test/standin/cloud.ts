import type { Random } from '../../src/units/index.js';
import { encodeMachineTypes, type MachineType } from '../../src/wire/index.js';
import type { Answered } from './network.js';
import type { VirtualTime } from './clock.js';

export interface Rented {
  readonly id: string;
  readonly addr: string;
  readonly build: string;
  readonly hall: string;
  readonly spot: boolean;
  readonly since: number;
  listedFrom: number;
  goneAt: number | undefined;
  running: boolean;
}

interface Hire {
  hire: string;
  build: string;
  hall: string;
  loaners: boolean;
  how_many: number;
}

/** The cloud, from the protocol: rentals by name, boots, a lagging list, deletions, outages. */
export class Cloud {
  readonly machines = new Map<string, Rented>();
  private readonly hires = new Map<string, string[]>();
  private counter = 0;
  out = false;
  /** Machines that may be rented of each type, zone and kind. */
  capacity = 8;
  /** The share of machines that never come up. */
  neverUp = 0.03;

  constructor(
    private readonly time: Pick<VirtualTime, 'now' | 'after'>,
    private readonly random: Random,
    private readonly flavors: readonly MachineType[],
    private readonly lagMs: number,
    private readonly onBoot: (m: Rented) => void,
    private readonly onGone: (m: Rented) => void,
    private readonly address: (n: number) => string,
  ) {}

  flavor(build: string): MachineType | undefined {
    return this.flavors.find((f) => f.name === build);
  }

  handle(_method: string, target: string, body: unknown): Answered {
    if (this.out) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(target, 'http://cloud');
    if (url.pathname === '/flavors') return { status: 200, body: encodeMachineTypes(this.flavors) };
    if (url.pathname === '/machines/delete') {
      for (const id of (body as { boxes: string[] }).boxes) this.end(id);
      return { status: 200, body: {} };
    }
    if (url.pathname === '/machines' && body !== undefined) return this.hire(body as Hire);
    return this.list(url.searchParams.get('from') ?? '');
  }

  private hire(h: Hire): Answered {
    const before = this.hires.get(h.hire);
    if (before) return { status: 200, body: { boxes: before } };
    const like = [...this.machines.values()].filter(
      (m) =>
        m.build === h.build && m.hall === h.hall && m.spot === h.loaners && m.goneAt === undefined,
    );
    const n = Math.min(h.how_many, this.capacity - like.length);
    if (n <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids: string[] = [];
    for (let i = 0; i < n; i++) {
      const k = ++this.counter;
      const m: Rented = {
        id: `vm-${String(k).padStart(6, '0')}`,
        addr: this.address(k),
        build: h.build,
        hall: h.hall,
        spot: h.loaners,
        since: this.time.now,
        listedFrom: this.time.now + this.lagMs * (0.5 + 1.5 * this.random()),
        goneAt: undefined,
        running: false,
      };
      this.machines.set(m.id, m);
      ids.push(m.id);
      const ready = (this.flavor(h.build)?.bootSeconds ?? 10) * 1000;
      // Now and then one never boots.
      if (this.random() < this.neverUp) continue;
      this.time.after(ready * (0.6 + 0.9 * this.random()), () => {
        if (m.goneAt !== undefined) return;
        m.running = true;
        this.onBoot(m);
      });
    }
    this.hires.set(h.hire, ids);
    return { status: 200, body: { boxes: ids } };
  }

  /** Deleted, taken back or dead: gone with all that is on it. */
  end(id: string): void {
    const m = this.machines.get(id);
    if (!m || m.goneAt !== undefined) return;
    m.goneAt = this.time.now;
    this.onGone(m);
  }

  private list(from: string): Answered {
    const boxes = [...this.machines.values()]
      .filter((m) => m.id > from && m.listedFrom <= this.time.now)
      // The list lags: what is gone still stands in it for a while.
      .filter((m) => m.goneAt === undefined || this.time.now - m.goneAt < this.lagMs)
      .map((m) => ({
        name_id: m.id,
        addr: m.addr,
        build: m.build,
        hall: m.hall,
        loaners: m.spot,
        status: m.running ? 'running' : 'starting',
        age_s: (this.time.now - m.since) / 1000,
      }));
    return { status: 200, body: { boxes, has_next: false } };
  }
}
