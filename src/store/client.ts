import type { HttpClient, Outcome, Request } from '../net/http.js';
import { TokenBucket } from './budget.js';
import {
  Revision,
  later,
  ms,
  type Clock,
  type DurationMs,
  type Endpoint,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import {
  decodeCommitted,
  decodeConflict,
  decodeLease,
  decodeStoredValue,
  decodeValuePage,
  decodeWatch,
  encodeLeaseRequest,
  encodeTransaction,
  type Condition,
  type Write,
} from '../wire/index.js';

export type ReadResult =
  | { kind: 'found'; data: unknown; revision: Revision; leaseId: number | undefined }
  | { kind: 'absent' }
  | { kind: 'failed'; why: string };

/** `refused`: surely not carried out. `unknown`: reread before believing anything. */
export type CommitResult =
  | { kind: 'committed'; revision: Revision }
  | { kind: 'conflict'; failed: readonly string[] }
  | { kind: 'leaseExpired' }
  /** Not carried out, and never will be as it is: it exceeds the limits of the state service. */
  | { kind: 'tooLarge' }
  | { kind: 'refused'; why: string }
  | { kind: 'unknown'; why: string };

export interface ListResult {
  readonly items: readonly { key: string; data: unknown; revision: Revision }[];
  readonly revision: Revision;
}

export interface Changes {
  readonly revision: Revision;
  readonly keys: readonly string[];
}

export interface StoreRates {
  readonly requestRate: number;
  readonly writeRate: number;
}

export interface StoreLimits extends StoreRates {
  /** The rates from a moment on that shows only by the answers. */
  readonly next?: StoreRates | undefined;
}

/** What a node does decides its share of the store's rates. */
export type Role = 'leading' | 'following' | 'leaderless';

/**
 * The leader writes nearly everything. Followers read for users whom the leader does not answer, and
 * take a job in now and then. While there is no leader, all are alike.
 */
const RATE_SHARES: Record<Role, { requests: number; writes: number }> = {
  leading: { requests: 0.5, writes: 0.85 },
  following: { requests: 0.45, writes: 0.12 },
  leaderless: { requests: 0.95, writes: 0.95 },
};

const PAGE_SIZE = 40;

interface QueuedCall {
  readonly writes: number;
  readonly until: SteadyMs;
  readonly resolve: (turn: boolean) => void;
}

/**
 * The state service. Requests and writes leave under token buckets: all nodes share its rates, and
 * what it turns away with 429 would cost as much as what it carries out.
 */
export class StoreClient {
  private rates: StoreRates;
  private requests: TokenBucket;
  private writes: TokenBucket;
  private role: Role = 'leaderless';
  private lastServedAt: SteadyMs;
  /** Calls that wait for their turn under the budgets, in the order in which they came. */
  private queue: QueuedCall[] = [];
  private draining = false;

  constructor(
    private readonly http: HttpClient,
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly limits: StoreLimits,
    private readonly nodes: number,
  ) {
    this.rates = limits;
    this.requests = this.newBucket(limits.requestRate, 'requests');
    this.writes = this.newBucket(limits.writeRate, 'writes');
    this.lastServedAt = clock.steady();
  }

  /** When it last answered with anything but a refusal to serve. */
  get servedAt(): SteadyMs {
    return this.lastServedAt;
  }

  private newBucket(rate: number, what: 'requests' | 'writes'): TokenBucket {
    const alike =
      this.role === 'leading' ? 1 : this.role === 'following' ? this.nodes - 1 : this.nodes;
    const share = this.nodes === 1 ? 0.95 : RATE_SHARES[this.role][what] / Math.max(1, alike);
    // Whoever has the smallest share may still need a handful at once.
    return new TokenBucket(this.clock, rate * share, Math.max(4, rate * share));
  }

  /** Who writes most changes with leadership, and so do the shares of the rates. */
  setRole(role: Role): void {
    if (role === this.role) return;
    this.role = role;
    this.requests = this.newBucket(this.rates.requestRate, 'requests');
    this.writes = this.newBucket(this.rates.writeRate, 'writes');
  }

  /** From now on the rates to come are kept, where they are the lower ones. */
  lowerRates(): void {
    const { next } = this.limits;
    if (
      !next ||
      (next.requestRate >= this.rates.requestRate && next.writeRate >= this.rates.writeRate)
    )
      return;
    this.rates = {
      requestRate: Math.min(next.requestRate, this.rates.requestRate),
      writeRate: Math.min(next.writeRate, this.rates.writeRate),
    };
    this.requests = this.newBucket(this.rates.requestRate, 'requests');
    this.writes = this.newBucket(this.rates.writeRate, 'writes');
  }

  /** Waits for its turn; false, at once, if that would not come within `patience`. */
  private waitForTurn(writes: number, patience: DurationMs): Promise<boolean> {
    if (this.queue.length === 0 && this.tryTake(writes)) return Promise.resolve(true);
    const until = later(this.clock.steady(), patience);
    if (this.expectedWait() > patience) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.queue.push({ writes, until, resolve });
      this.drainQueue();
    });
  }

  private tryTake(writes: number): boolean {
    if (this.writes.waitFor(writes) > 0 || !this.requests.tryTake(1)) return false;
    this.writes.forceTake(writes);
    return true;
  }

  private expectedWait(): DurationMs {
    return this.requests.backlog(this.queue.length + 1);
  }

  /** First come, first served, but what waits for writes holds up nobody who only reads. */
  private drainQueue(): void {
    if (this.draining) return;
    const now = this.clock.steady();
    let pause = Infinity;
    const rest: QueuedCall[] = [];
    for (const w of this.queue) {
      // Whoever asked has been told to come back by now: the answer would be for nobody.
      if (now > w.until) w.resolve(false);
      else if (this.tryTake(w.writes)) w.resolve(true);
      else {
        rest.push(w);
        pause = Math.min(pause, Math.max(this.requests.waitFor(1), this.writes.waitFor(w.writes)));
      }
    }
    this.queue = rest;
    if (rest.length === 0) return;
    this.draining = true;
    this.clock.after(ms(Math.max(1, pause) + this.random() * 5), () => {
      this.draining = false;
      this.drainQueue();
    });
  }

  private async send(
    request: Omit<Request, 'endpoint' | 'lane'>,
    opts: { urgent?: boolean; writes?: number; patience?: DurationMs } = {},
  ): Promise<Outcome> {
    const writes = opts.writes ?? 0;
    if (opts.urgent) {
      this.requests.forceTake(1);
      this.writes.forceTake(writes);
    } else if (!(await this.waitForTurn(writes, opts.patience ?? ms(Infinity)))) {
      return { kind: 'undelivered', why: 'no turn in time' };
    }
    const outcome = await this.http.send({
      ...request,
      lane: opts.urgent ? 'lease' : 'store',
      endpoint: this.endpoint,
    });
    if (outcome.kind === 'answer' && outcome.status !== 503)
      this.lastServedAt = this.clock.steady();
    if (outcome.kind === 'answer' && outcome.status === 429) {
      this.lowerRates();
      this.requests.drain();
      if (writes > 0) this.writes.drain();
    }
    return outcome;
  }

  /** About when `n` more writes will have left, in as many transactions as they take. */
  writeBacklog(n: number): DurationMs {
    return this.writes.backlog(n);
  }

  /** How long a transaction of `n` writes would have to wait for its turn. */
  writeWait(n: number): DurationMs {
    return ms(Math.max(this.writes.waitFor(n), this.requests.waitFor(1)));
  }

  /** Writes that may leave now, and the share of a full burst that they are. */
  writeRoom(): { writes: number; share: number } {
    const { tokens, burst } = this.writes.level();
    return { writes: Math.floor(tokens), share: tokens / burst };
  }

  /** How many writes a second this node may make in the long run. */
  get writeRate(): number {
    return this.writes.rate;
  }

  /** `patience`: how long it may wait for its turn under the budgets. */
  async get(
    key: string,
    timeout: DurationMs,
    opts: { urgent?: boolean; patience?: DurationMs } = {},
  ): Promise<ReadResult> {
    const o = await this.send({ method: 'GET', path: `/store/${key}`, timeout }, opts);
    if (o.kind !== 'answer') return { kind: 'failed', why: o.why };
    if (o.status === 404) return { kind: 'absent' };
    const value = o.status === 200 ? decodeStoredValue(o.body) : undefined;
    if (!value) return { kind: 'failed', why: `status ${o.status}` };
    const { data, leaseId } = value;
    return { kind: 'found', data, revision: Revision(value.revision), leaseId };
  }

  /**
   * Every key under a prefix, page by page; undefined if a page could not be had. Pages are small, so that
   * a process with little processor time gets to its other work, above all its lease, between them.
   */
  async list(prefix: string, timeout: DurationMs, urgent = false): Promise<ListResult | undefined> {
    const items: { key: string; data: unknown; revision: Revision }[] = [];
    let from: string | undefined;
    for (;;) {
      // Keys hold no character that a query would have to escape.
      const after = from === undefined ? '' : `&from=${from}`;
      const path = `/store?starts=${prefix}${after}&limit=${PAGE_SIZE}`;
      const o = await this.send({ method: 'GET', path, timeout }, { urgent });
      if (o.kind !== 'answer' || o.status !== 200) return undefined;
      const page = decodeValuePage(o.body);
      if (!page) return undefined;
      for (const { key, data, revision } of page.values) {
        items.push({ key, data, revision: Revision(revision) });
      }
      const last = page.values.at(-1);
      if (!page.hasNext || !last) return { items, revision: Revision(page.revision) };
      from = last.key;
    }
  }

  async transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
    timeout: DurationMs,
    opts: { urgent?: boolean; patience?: DurationMs } = {},
  ): Promise<CommitResult> {
    const o = await this.send(
      { method: 'POST', path: '/multi', body: encodeTransaction(conditions, writes), timeout },
      { ...opts, writes: writes.length },
    );
    if (o.kind === 'unknown') return { kind: 'unknown', why: o.why };
    if (o.kind === 'undelivered') return { kind: 'refused', why: o.why };
    if (o.status === 200) {
      const revision = decodeCommitted(o.body);
      if (revision !== undefined) return { kind: 'committed', revision: Revision(revision) };
      return { kind: 'unknown', why: 'unreadable answer' };
    }
    if (o.status === 409) {
      return { kind: 'conflict', failed: decodeConflict(o.body) ?? [] };
    }
    const error = (o.body as { error?: unknown } | undefined)?.error;
    if (o.status === 400 && error === 'no such lease') return { kind: 'leaseExpired' };
    if (o.status === 400) return { kind: 'tooLarge' };
    if (o.status === 503 || o.status === 429) {
      return {
        kind: 'refused',
        why: `status ${o.status} ${typeof error === 'string' ? error : ''}`,
      };
    }
    return { kind: 'unknown', why: `status ${o.status}` };
  }

  async createLease(ttl: DurationMs, timeout: DurationMs): Promise<number | undefined> {
    const o = await this.send(
      { method: 'POST', path: '/leases', body: encodeLeaseRequest(Math.round(ttl)), timeout },
      { urgent: true },
    );
    if (o.kind !== 'answer' || o.status !== 200) return undefined;
    return decodeLease(o.body);
  }

  async renewLease(lease: number, timeout: DurationMs): Promise<'renewed' | 'gone' | 'failed'> {
    const o = await this.send(
      { method: 'POST', path: `/leases/${lease}/touch`, body: {}, timeout },
      { urgent: true },
    );
    if (o.kind !== 'answer') return 'failed';
    return o.status === 200 ? 'renewed' : o.status === 404 ? 'gone' : 'failed';
  }

  async revokeLease(lease: number, timeout: DurationMs): Promise<void> {
    await this.send({ method: 'DELETE', path: `/leases/${lease}`, timeout }, { urgent: true });
  }

  /** Waits for a change under a prefix. `stale`: read the keys again. */
  async watch(
    prefix: string,
    from: Revision,
    wait: DurationMs,
  ): Promise<Changes | 'stale' | undefined> {
    const o = await this.send({
      method: 'GET',
      path: `/follow?starts=${prefix}&from=${from}&wait_ms=${Math.round(wait)}`,
      timeout: ms(wait + 3000),
    });
    if (o.kind !== 'answer') return undefined;
    if (o.status === 410) return 'stale';
    const changes = o.status === 200 ? decodeWatch(o.body) : undefined;
    return changes && { revision: Revision(changes.revision), keys: changes.keys };
  }
}
