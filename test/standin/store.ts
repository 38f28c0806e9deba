/**
 * A simulated key-value store, as the protocol describes it: revisions, transactions, leases, watches, limits and
 * outages.
 */
import type { TimeSource } from './clock.js';
import type { HostResponse } from './network.js';

interface StoredValue {
  readonly data: unknown;
  readonly revision: number;
  readonly lease: number | undefined;
}

/** A change in the format of watch responses. */
interface Change {
  readonly put?: string;
  readonly delete?: string;
  readonly data?: unknown;
  readonly stamp: number;
}

interface Watcher {
  readonly prefix: string;
  readonly from: number;
  readonly resolve: (response: HostResponse) => void;
}

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** The body of a transaction request. */
interface Transaction {
  readonly if?: readonly { readonly key: string; readonly stamp: number }[];
  readonly writes?: readonly Write[];
}

interface Write {
  readonly put?: string;
  readonly delete?: string;
  readonly data?: unknown;
  readonly tenure?: number;
}

/** The limits of the store. Rates are per second. */
export interface StoreLimits {
  readonly requestRate: number;
  readonly writeRate: number;
  readonly valueBytes: number;
  readonly transactionOps: number;
}

const LEASE_SWEEP_INTERVAL_MS = 50;
/** The delay between the end of a lease's TTL and its expiry. */
const LEASE_EXPIRY_DELAY_MS = 50;
const MAX_PAGE_ENTRIES = 1000;
/** A transaction may have this many conditions for each operation that the limits allow. */
const MAX_CONDITIONS_PER_OP = 4;

/** A token bucket that holds the tokens of at most one second. */
class RateLimiter {
  private tokens: number;
  private refilledAt = 0;

  constructor(
    private readonly time: TimeSource,
    rate: number,
  ) {
    this.tokens = rate;
  }

  /** Takes `count` tokens. Takes none and returns false if the bucket holds fewer. */
  take(count: number, rate: number): boolean {
    const { now } = this.time;
    this.tokens = Math.min(rate, this.tokens + ((now - this.refilledAt) / 1000) * rate);
    this.refilledAt = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

const RATE_LIMITED: HostResponse = { status: 429, body: {} };

/** The simulated key-value store. */
export class Store {
  private readonly values = new Map<string, StoredValue>();
  private revision = 0;
  private nextLeaseId = 1;
  private readonly leases = new Map<number, Lease>();
  /** The most recent changes, for watches. */
  private changes: Change[] = [];
  /** A watch from an earlier revision gets a 410 response, since changes that it needs have been discarded. */
  private oldestWatchableRevision = 0;
  private watchers: Watcher[] = [];
  private isUnavailable = false;
  private readonly refusedControllers = new Set<string>();
  private readonly requestLimiter: RateLimiter;
  private readonly writeLimiter: RateLimiter;

  /** The sizes in bytes of all values that transactions contained so far. */
  readonly valueSizes: number[] = [];
  /** How many changes are retained for watches. */
  maxRetainedChanges = 10_000;
  /** How many watch requests arrived so far. */
  watchCount = 0;
  /** How many transactions were refused as too large so far. */
  tooLargeCount = 0;
  /** Requests to list keys with this prefix get a 503 response; all other requests are served. */
  refusedListPrefix: string | undefined;

  constructor(
    private readonly time: TimeSource,
    private limits: StoreLimits,
  ) {
    this.requestLimiter = new RateLimiter(time, limits.requestRate);
    this.writeLimiter = new RateLimiter(time, limits.writeRate);
    this.expireLeases();
  }

  /** Changes the limits immediately. */
  setLimits(limits: StoreLimits): void {
    this.limits = limits;
  }

  /** Starts or ends an outage: all requests get a 503, no lease expires, and afterwards each lease is renewed. */
  setOutage(isUnavailable: boolean): void {
    this.isUnavailable = isUnavailable;
    if (isUnavailable) return;
    for (const lease of this.leases.values()) lease.expiresAt = this.time.now + lease.ttlMs;
  }

  /** Starts or ends an outage for one controller only, whose leases may expire meanwhile. */
  setOutageFor(controllerId: string, isUnavailable: boolean): void {
    if (isUnavailable) this.refusedControllers.add(controllerId);
    else this.refusedControllers.delete(controllerId);
  }

  handle(
    method: string,
    target: string,
    body: unknown,
    from: string,
  ): HostResponse | Promise<HostResponse> {
    if (this.isUnavailable || this.refusedControllers.has(from))
      return { status: 503, body: { error: 'out' } };
    if (!this.requestLimiter.take(1, this.limits.requestRate)) return RATE_LIMITED;
    const { pathname, searchParams } = new URL(target, 'http://store');
    if (pathname === '/multi') return this.transact(body as Transaction);
    if (pathname === '/follow') return this.watch(searchParams);
    if (pathname === '/store') return this.list(searchParams);
    if (pathname.startsWith('/store/')) return this.read(pathname.slice('/store/'.length));
    if (pathname === '/leases') return this.grantLease((body as { ttl_ms: number }).ttl_ms);
    return this.renewOrEndLease(method, Number(pathname.split('/')[2]));
  }

  private read(key: string): HostResponse {
    const value = this.values.get(key);
    if (!value) return { status: 404, body: { ledger_rev: this.revision } };
    const { data, revision, lease } = value;
    return { status: 200, body: { key, data, stamp: revision, tenure: lease ?? null } };
  }

  // --- leases -------------------------------------------------------------------------------------

  private grantLease(ttlMs: number): HostResponse {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, expiresAt: this.time.now + ttlMs });
    return { status: 200, body: { tenure: id } };
  }

  /** Renews a lease, or ends it if the method is DELETE. */
  private renewOrEndLease(method: string, id: number): HostResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else lease.expiresAt = this.time.now + lease.ttlMs;
    return { status: 200, body: { tenure: id } };
  }

  private expireLeases(): void {
    if (!this.isUnavailable) {
      for (const [id, lease] of this.leases) {
        if (lease.expiresAt + LEASE_EXPIRY_DELAY_MS < this.time.now) this.endLease(id);
      }
    }
    this.time.after(LEASE_SWEEP_INTERVAL_MS, () => this.expireLeases());
  }

  /** Ends a lease and deletes the keys that are attached to it. */
  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.values].filter(([, { lease }]) => lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.values.delete(key);
      this.changes.push({ delete: key, stamp: this.revision });
    }
    this.notifyWatchers();
  }

  // --- transactions -------------------------------------------------------------------------------

  private transact({ if: conditions = [], writes = [] }: Transaction): HostResponse {
    if (!this.writeLimiter.take(writes.length, this.limits.writeRate)) return RATE_LIMITED;
    const reason = this.refusalReason(conditions.length, writes);
    if (reason !== undefined) return { status: 400, body: { error: reason } };
    const failedConditions = conditions.filter(
      ({ key, stamp }) => (this.values.get(key)?.revision ?? 0) !== stamp,
    );
    if (failedConditions.length > 0) {
      const keys = failedConditions.map(({ key }) => key);
      return { status: 409, body: { failed: keys, ledger_rev: this.revision } };
    }
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { ledger_rev: this.revision } };
  }

  /** Why a transaction is invalid regardless of the stored values; undefined if it is valid. */
  private refusalReason(conditionCount: number, writes: readonly Write[]): string | undefined {
    const { transactionOps, valueBytes } = this.limits;
    const sizes = writes.map(({ data }) => Buffer.byteLength(JSON.stringify(data ?? null)));
    this.valueSizes.push(...sizes);
    if (
      writes.length > transactionOps ||
      conditionCount > MAX_CONDITIONS_PER_OP * transactionOps ||
      sizes.some((size) => size > valueBytes)
    ) {
      this.tooLargeCount++;
      return 'too large';
    }
    const hasUnknownLease = writes.some(
      ({ tenure }) => typeof tenure === 'number' && !this.leases.has(tenure),
    );
    return hasUnknownLease ? 'no such lease' : undefined;
  }

  private apply(writes: readonly Write[]): void {
    this.revision++;
    const stamp = this.revision;
    for (const { put, delete: deleted, data, tenure } of writes) {
      if (put !== undefined) {
        this.values.set(put, { data, revision: stamp, lease: tenure });
        this.changes.push({ put, data, stamp });
      } else if (deleted !== undefined && this.values.delete(deleted)) {
        this.changes.push({ delete: deleted, stamp });
      }
    }
    this.discardOldChanges();
    this.notifyWatchers();
  }

  private discardOldChanges(): void {
    if (this.changes.length <= this.maxRetainedChanges) return;
    this.changes = this.changes.slice(-this.maxRetainedChanges);
    this.oldestWatchableRevision = (this.changes[0]?.stamp ?? 1) - 1;
  }

  // --- lists and watches --------------------------------------------------------------------------

  private list(query: URLSearchParams): HostResponse {
    const prefix = query.get('starts') ?? '';
    if (this.refusedListPrefix !== undefined && prefix.startsWith(this.refusedListPrefix)) {
      return { status: 503, body: {} };
    }
    const from = query.get('from') ?? '';
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(query.get('limit') ?? MAX_PAGE_ENTRIES));
    const keys = [...this.values.keys()]
      .filter((key) => key.startsWith(prefix) && key > from)
      .sort();
    const items = keys.slice(0, limit).map((key) => {
      const { data, revision } = this.values.get(key)!;
      return { key, data, stamp: revision };
    });
    return {
      status: 200,
      body: { items, has_next: keys.length > limit, ledger_rev: this.revision },
    };
  }

  private watch(query: URLSearchParams): HostResponse | Promise<HostResponse> {
    const prefix = query.get('starts') ?? '';
    const from = Number(query.get('from') ?? 0);
    this.watchCount++;
    if (from < this.oldestWatchableRevision) return { status: 410, body: {} };
    const changes = this.changesSince(prefix, from);
    if (changes.length > 0) return this.watchResponse(changes);
    return new Promise((resolve) => {
      const watcher: Watcher = { prefix, from, resolve };
      this.watchers.push(watcher);
      this.time.after(Number(query.get('wait_ms') ?? 0), () => {
        if (!this.watchers.includes(watcher)) return;
        this.removeWatcher(watcher);
        resolve(this.watchResponse([]));
      });
    });
  }

  private watchResponse(changes: readonly Change[]): HostResponse {
    return { status: 200, body: { ledger_rev: this.revision, log: changes } };
  }

  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) {
      const changes = this.changesSince(watcher.prefix, watcher.from);
      if (changes.length === 0) continue;
      this.removeWatcher(watcher);
      watcher.resolve(this.watchResponse(changes));
    }
  }

  private removeWatcher(watcher: Watcher): void {
    this.watchers = this.watchers.filter((other) => other !== watcher);
  }

  private changesSince(prefix: string, from: number): Change[] {
    return this.changes.filter(
      (change) => change.stamp > from && (change.put ?? change.delete ?? '').startsWith(prefix),
    );
  }
}
