import type { HttpClient } from '../../src/net/http.js';
import { Endpoint, ms, type Clock, type Random } from '../../src/units/index.js';
import type { GangRun, Member } from './gang-run.js';
import type { Answered } from './network.js';
import type { Rented } from './cloud.js';

/** A command as it is sent. */
interface Order {
  readonly verb: 'launch' | 'kill' | 'clear';
  readonly entry: string;
  readonly try: number;
  readonly wind_down_s?: number;
}

interface Held {
  entry: string;
  try: number;
  status: 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
  cause: string | undefined;
  kept?: boolean;
  /** Its part in a gang, from when it has its image. */
  member?: Member;
  vcpus: number;
}

export interface TaskFacts {
  readonly vcpus: number;
  readonly ramGb: number;
  readonly runMs: number;
  readonly fetchMs: number;
  readonly image: string;
  /** How long it takes to save when it is stopped; undefined if it can't. */
  readonly saveMs?: number | undefined;
  readonly gang?: GangRun | undefined;
}

const isOnMachine = (h: Held): boolean => h.status !== 'fetching' && h.status !== 'exited';

export interface WorkerWorld {
  /** What the worker fetches of a task; undefined if it was never submitted. */
  facts(entry: string): TaskFacts | undefined;
  /** The task has its image and is on the machine from now on. */
  started(machine: string, entry: string): void;
  /** It no longer is. */
  left(machine: string, entry: string): void;
  completed(entry: string): void;
  isCompleted(entry: string): boolean;
}

/** A worker, from the protocol: reports, sessions, tokens, leases and commands. */
export class Worker {
  private shift = 1;
  private tally = 0;
  private baton = 0;
  private readonly held = new Map<string, Held>();
  private readonly images = new Set<string>();
  private node: number;
  private leaseFrom: number;
  private lastReport = -Infinity;
  private reporting = false;
  private wanted = false;
  private lastChange = -Infinity;
  hung = false;
  dead = false;
  /** Reports sent so far. */
  sent = 0;
  /** Answers taken so far that renewed its lease. */
  renewed = 0;
  recallAt: number | undefined;

  constructor(
    private readonly machine: Rented,
    private readonly vcpus: number,
    private readonly nodes: readonly { name: string; addr: string }[],
    private readonly http: HttpClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly times: { reportMs: number; leaseMs: number },
    private readonly world: WorkerWorld,
  ) {
    this.node = Math.floor(random() * nodes.length);
    this.leaseFrom = clock.steady();
    this.loop();
    this.watchLease();
  }

  /** What is on it or on its way there, for the checks of the rules. */
  alive(): string[] {
    return [...this.held.values()].filter((h) => h.status !== 'exited').map((h) => h.entry);
  }

  free(): number {
    let used = 0;
    for (const h of this.held.values()) if (h.status !== 'exited') used += h.vcpus;
    return this.vcpus - used;
  }

  private after(delay: number, run: () => void): void {
    this.clock.after(ms(delay), () => {
      if (this.dead) return;
      // A hanging machine does nothing; what was due happens when it goes on.
      if (this.hung) this.after(50, run);
      else run();
    });
  }

  kill(): void {
    this.dead = true;
    this.dropAll();
  }

  restart(): void {
    this.dropAll();
    this.images.clear();
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.leaseFrom = this.clock.steady();
    this.wanted = true;
  }

  private dropAll(): void {
    for (const h of this.held.values()) {
      if (isOnMachine(h)) this.world.left(this.machine.id, h.entry);
      if (h.member) this.world.facts(h.entry)?.gang?.leave(h.member);
    }
    this.held.clear();
  }

  /** Runs on while the machine hangs: such a one may go on within its lease, and no later. */
  private watchLease(): void {
    this.clock.after(ms(100), () => {
      if (this.dead) return;
      if (this.clock.steady() - this.leaseFrom > this.times.leaseMs) {
        this.dropAll();
        this.shift++;
        this.leaseFrom = this.clock.steady();
        this.wanted = true;
      }
      this.watchLease();
    });
  }

  private loop(): void {
    this.after(80, () => {
      const now = this.clock.steady();
      const spread = 0.75 + 0.5 * this.random();
      const due = now - this.lastReport >= this.times.reportMs * spread;
      if (!this.reporting && (due || (this.wanted && now - this.lastReport >= 500))) {
        void this.report();
      }
      this.loop();
    });
  }

  private body(): Record<string, unknown> {
    this.tally++;
    return {
      box: this.machine.id,
      addr: this.machine.addr,
      build: this.machine.build,
      hall: this.machine.hall,
      loaners: this.machine.spot,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recall_s:
        this.recallAt === undefined
          ? null
          : Math.max(0, (this.recallAt - this.clock.steady()) / 1000),
      entries: [...this.held.values()].map((h) => ({
        entry: h.entry,
        try: h.try,
        status: h.status,
        ...(h.cause === undefined ? {} : { cause: h.cause }),
        ...(h.kept === undefined ? {} : { kept: h.kept }),
      })),
    };
  }

  private async report(): Promise<void> {
    this.reporting = true;
    this.sent++;
    this.wanted = false;
    const sent = this.clock.steady();
    this.lastReport = sent;
    const shift = this.shift;
    const node = this.nodes[this.node % this.nodes.length];
    const o = await this.http.send({
      endpoint: Endpoint(node?.addr ?? ''),
      method: 'POST',
      path: '/agent/beat',
      body: this.body(),
      timeout: ms(4000),
    });
    this.reporting = false;
    if (this.dead) return;
    if (this.hung) {
      // Whatever came meanwhile came too late.
      this.wanted = true;
      return;
    }
    if (o.kind === 'answer' && o.status === 200) {
      const reply = o.body as { baton?: number; orders?: Order[] };
      if (shift !== this.shift || reply.baton === undefined || reply.baton < this.baton) return;
      this.see(reply.baton);
      this.leaseFrom = sent;
      this.renewed++;
      for (const order of reply.orders ?? []) this.obey(order);
      return;
    }
    if (o.kind === 'answer' && o.status === 421) {
      const clerk = (o.body as { clerk?: string }).clerk;
      const at = this.nodes.findIndex((n) => n.name === clerk);
      if (at >= 0 && at !== this.node % this.nodes.length) {
        this.node = at;
        this.wanted = true;
        return;
      }
    }
    this.node++;
    this.lastReport = this.clock.steady() + 500 - this.times.reportMs;
    this.wanted = true;
  }

  private see(baton: number): void {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (this.clock.steady() - this.lastChange > this.times.leaseMs / 2) {
      this.lastChange = this.clock.steady();
      this.wanted = true;
    }
  }

  handle(_method: string, path: string, body: unknown): Answered {
    if (path === '/status') return { status: 200, body: this.body() };
    const c = body as { baton?: number; shift?: number; orders: Order[] };
    if (c.baton === undefined || c.shift === undefined) return { status: 400, body: {} };
    if (c.baton < this.baton || c.shift !== this.shift) return { status: 409, body: this.body() };
    this.see(c.baton);
    for (const order of c.orders) this.obey(order);
    return { status: 200, body: this.body() };
  }

  private obey(order: Order): void {
    const key = `${order.entry}#${order.try}`;
    const h = this.held.get(key);
    if (order.verb === 'launch') {
      if (!h) this.launch(order.entry, order.try, key);
    } else if (order.verb === 'kill') {
      if (h && h.status !== 'exited') this.stop(h, (order.wind_down_s ?? 0) * 1000);
    } else if (h?.status === 'exited') this.held.delete(key);
  }

  private stop(h: Held, graceMs: number): void {
    const facts = this.world.facts(h.entry);
    const saves = facts?.saveMs !== undefined && graceMs >= facts.saveMs;
    if (h.status === 'flushing' && graceMs > 0) return;
    if (h.status === 'running' && h.member && saves) facts.gang?.stop(h.member);
    else this.exit(h, 'halted');
  }

  private exit(h: Held, cause: string, kept?: boolean): void {
    if (isOnMachine(h)) this.world.left(this.machine.id, h.entry);
    h.status = 'exited';
    h.cause = cause;
    if (kept) h.kept = true;
    this.wanted = true;
    if (h.member) this.world.facts(h.entry)?.gang?.leave(h.member);
  }

  /** The task of a gang has its image: from now on it does what its gang does. */
  private join(h: Held, gang: GangRun): void {
    const change = (act: () => void): void => {
      this.after(0, () => {
        if (this.held.get(`${h.entry}#${h.try}`) === h && h.status !== 'exited') act();
      });
    };
    const become = (status: Held['status']): void => {
      h.status = status;
      this.wanted = true;
    };
    h.member = {
      index: Number(h.entry.split('/')[1]),
      attempt: h.try,
      isHung: () => this.hung,
      run: () => change(() => become('running')),
      saving: () => become('flushing'),
      exit: (cause, kept) => change(() => this.exit(h, cause, kept)),
    };
    become('gathering');
    gang.join(h.member);
  }

  private launch(entry: string, attempt: number, key: string): void {
    const facts = this.world.facts(entry);
    const h: Held = {
      entry,
      try: attempt,
      status: 'fetching',
      cause: undefined,
      vcpus: facts?.vcpus ?? 0,
    };
    this.wanted = true;
    const others = [...this.held.values()];
    this.held.set(key, h);
    const alive = others.filter((o) => o.status !== 'exited');
    if (!facts) this.exit(h, 'no_such');
    else if (alive.some((o) => o.entry === entry)) this.exit(h, 'in_use');
    else if (alive.reduce((n, o) => n + o.vcpus, facts.vcpus) > this.vcpus) this.exit(h, 'full');
    if (h.status === 'exited' || !facts) return;
    const fetch = this.images.has(facts.image) ? 0 : facts.fetchMs;
    const still = (): boolean => this.held.get(key) === h && h.status !== 'exited';
    this.after(fetch, () => {
      if (!still()) return;
      this.images.add(facts.image);
      this.world.started(this.machine.id, entry);
      if (facts.gang) {
        this.join(h, facts.gang);
        return;
      }
      h.status = 'running';
      this.wanted = true;
      this.after(this.world.isCompleted(entry) ? 0 : facts.runMs, () => {
        if (!still()) return;
        this.world.completed(entry);
        this.exit(h, 'done');
      });
    });
  }
}
