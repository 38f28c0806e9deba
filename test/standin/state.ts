import type { Answered } from './network.js';
import type { VirtualTime } from './clock.js';

interface Stored {
  data: unknown;
  stamp: number;
  tenure: number | undefined;
}

interface Change {
  put?: string;
  delete?: string;
  data?: unknown;
  stamp: number;
}

interface Watcher {
  prefix: string;
  from: number;
  done: (a: Answered) => void;
}

export interface StateLimits {
  readonly requestRate: number;
  readonly writeRate: number;
  readonly valueBytes: number;
  readonly transactionOps: number;
}

interface Multi {
  if?: { key: string; stamp: number }[];
  writes?: { put?: string; delete?: string; data?: unknown; tenure?: number }[];
}

/** The state service, from the protocol: revisions, transactions, leases, watches, limits, outages. */
export class StateService {
  readonly keys = new Map<string, Stored>();
  readonly sizes: number[] = [];
  revision = 0;
  refused = 0;
  private nextLease = 1;
  private readonly leases = new Map<number, { ttl: number; ends: number }>();
  private log: Change[] = [];
  private watchers: Watcher[] = [];
  private out = false;
  private readonly outFor = new Set<string>();
  private requests: { tokens: number; at: number };
  private writes: { tokens: number; at: number };

  constructor(
    private readonly time: Pick<VirtualTime, 'now' | 'after'>,
    private limits: StateLimits,
  ) {
    this.requests = { tokens: limits.requestRate, at: 0 };
    this.writes = { tokens: limits.writeRate, at: 0 };
    this.sweep();
  }

  /** While it is out nothing is carried out and no lease ends; then all have their full time. */
  /** How many changes it keeps for watches, and from which revision on it still knows them all. */
  keeps = 10_000;
  private oldest = 0;
  /** Watches asked for so far. */
  watched = 0;

  /** Transactions refused as too large. */
  tooLarge = 0;

  /** From now on it takes less, without notice. */
  lower(limits: StateLimits): void {
    this.limits = limits;
  }

  outage(on: boolean): void {
    this.out = on;
    if (!on) for (const l of this.leases.values()) l.ends = this.time.now + l.ttl;
  }

  /** Lists of keys that begin like this are refused, while all else is served. */
  hides: string | undefined;

  /** Answers 503 to one node only, whose leases run out meanwhile. */
  outageFor(node: string, on: boolean): void {
    if (on) this.outFor.add(node);
    else this.outFor.delete(node);
  }

  private sweep(): void {
    if (!this.out) {
      for (const [id, l] of this.leases) if (l.ends + 50 < this.time.now) this.end(id);
    }
    this.time.after(50, () => this.sweep());
  }

  private end(id: number): void {
    this.leases.delete(id);
    const keys = [...this.keys].filter(([, s]) => s.tenure === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.keys.delete(key);
      this.log.push({ delete: key, stamp: this.revision });
    }
    this.wake();
  }

  private wake(): void {
    for (const w of [...this.watchers]) {
      const changes = this.changes(w.prefix, w.from);
      if (changes.length === 0) continue;
      this.watchers = this.watchers.filter((x) => x !== w);
      w.done({ status: 200, body: { ledger_rev: this.revision, log: changes } });
    }
  }

  private changes(prefix: string, from: number): Change[] {
    return this.log.filter((c) => c.stamp > from && (c.put ?? c.delete ?? '').startsWith(prefix));
  }

  private take(b: { tokens: number; at: number }, rate: number, n: number): boolean {
    b.tokens = Math.min(rate, b.tokens + ((this.time.now - b.at) / 1000) * rate);
    b.at = this.time.now;
    if (b.tokens < n) return false;
    b.tokens -= n;
    return true;
  }

  handle(
    method: string,
    target: string,
    body: unknown,
    from: string,
  ): Answered | Promise<Answered> {
    if (this.out || this.outFor.has(from)) return { status: 503, body: { error: 'out' } };
    if (!this.take(this.requests, this.limits.requestRate, 1)) {
      this.refused++;
      return { status: 429, body: {} };
    }
    const url = new URL(target, 'http://state');
    const path = url.pathname;
    if (path === '/multi') return this.multi(body as Multi);
    if (path === '/follow') return this.follow(url.searchParams);
    if (path === '/store') return this.list(url.searchParams);
    if (path.startsWith('/store/')) {
      const key = path.slice('/store/'.length);
      const s = this.keys.get(key);
      if (!s) return { status: 404, body: { ledger_rev: this.revision } };
      return { status: 200, body: { key, data: s.data, stamp: s.stamp, tenure: s.tenure ?? null } };
    }
    if (path === '/leases') {
      const id = this.nextLease++;
      const ttl = (body as { ttl_ms: number }).ttl_ms;
      this.leases.set(id, { ttl, ends: this.time.now + ttl });
      return { status: 200, body: { tenure: id } };
    }
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.end(id);
    else lease.ends = this.time.now + lease.ttl;
    return { status: 200, body: { tenure: id } };
  }

  private multi(m: Multi): Answered {
    const writes = m.writes ?? [];
    if (!this.take(this.writes, this.limits.writeRate, writes.length)) {
      this.refused++;
      return { status: 429, body: {} };
    }
    const sizes = writes.map((w) => Buffer.byteLength(JSON.stringify(w.data ?? null)));
    this.sizes.push(...sizes);
    if (
      writes.length > this.limits.transactionOps ||
      (m.if?.length ?? 0) > 4 * this.limits.transactionOps ||
      sizes.some((s) => s > this.limits.valueBytes)
    ) {
      this.tooLarge++;
      return { status: 400, body: { error: 'too large' } };
    }
    if (writes.some((w) => typeof w.tenure === 'number' && !this.leases.has(w.tenure))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = (m.if ?? []).filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp);
    if (failed.length > 0) {
      return {
        status: 409,
        body: { failed: failed.map((c) => c.key), ledger_rev: this.revision },
      };
    }
    if (writes.length === 0) return { status: 200, body: { ledger_rev: this.revision } };
    this.revision++;
    for (const w of writes) {
      if (w.put !== undefined) {
        this.keys.set(w.put, { data: w.data, stamp: this.revision, tenure: w.tenure });
        this.log.push({ put: w.put, data: w.data, stamp: this.revision });
      } else if (w.delete !== undefined && this.keys.delete(w.delete)) {
        this.log.push({ delete: w.delete, stamp: this.revision });
      }
    }
    this.forget();
    this.wake();
    return { status: 200, body: { ledger_rev: this.revision } };
  }

  private forget(): void {
    if (this.log.length <= this.keeps) return;
    this.log = this.log.slice(-this.keeps);
    this.oldest = (this.log[0]?.stamp ?? 1) - 1;
  }

  private list(q: URLSearchParams): Answered {
    const prefix = q.get('starts') ?? '';
    if (this.hides !== undefined && prefix.startsWith(this.hides)) return { status: 503, body: {} };
    const from = q.get('from') ?? '';
    const limit = Math.min(1000, Number(q.get('limit') ?? 1000));
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > from).sort();
    const items = keys.slice(0, limit).map((key) => {
      const s = this.keys.get(key)!;
      return { key, data: s.data, stamp: s.stamp };
    });
    return {
      status: 200,
      body: { items, has_next: keys.length > limit, ledger_rev: this.revision },
    };
  }

  private follow(q: URLSearchParams): Answered | Promise<Answered> {
    const prefix = q.get('starts') ?? '';
    const from = Number(q.get('from') ?? 0);
    this.watched++;
    if (from < this.oldest) return { status: 410, body: {} };
    const changes = this.changes(prefix, from);
    if (changes.length > 0) {
      return { status: 200, body: { ledger_rev: this.revision, log: changes } };
    }
    return new Promise((done) => {
      const w: Watcher = { prefix, from, done };
      this.watchers.push(w);
      this.time.after(Number(q.get('wait_ms') ?? 0), () => {
        if (!this.watchers.includes(w)) return;
        this.watchers = this.watchers.filter((x) => x !== w);
        done({ status: 200, body: { ledger_rev: this.revision, log: [] } });
      });
    });
  }
}
