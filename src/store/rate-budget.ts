/** This node's share of the rates that the state service grants to all nodes together. */
import { ms, type Clock, type DurationMs } from '../units/index.js';
import { TokenBucket } from './token-bucket.js';

/** Rates of the state service, per second. A transaction is one request and as many writes as it names. */
export interface StoreRates {
  readonly requestRate: number;
  readonly writeRate: number;
}

/** The rates that hold now, and those that may come to hold. */
export interface StoreRateLimits extends StoreRates {
  /** The rates from a moment on that is not announced and shows only by refusals. */
  readonly next?: StoreRates | undefined;
}

/** What a node does decides its share of the store's rates. */
export type Role = 'leading' | 'following' | 'leaderless';

/**
 * The shares of all nodes in a role together. The leader writes nearly everything. Followers read for users
 * whom the leader does not answer, and admit a job now and then. Without a leader all nodes are alike.
 */
const RATE_SHARES: Record<Role, { readonly requests: number; readonly writes: number }> = {
  leading: { requests: 0.5, writes: 0.85 },
  following: { requests: 0.45, writes: 0.12 },
  leaderless: { requests: 0.95, writes: 0.95 },
};
/** The share of the only node there is, whatever its role. */
const SINGLE_NODE_SHARE = 0.95;
/** However small its share, a node may send a few calls at once. */
const MIN_BURST = 4;

/**
 * Token buckets for requests and writes. All nodes share the rates of the state service, and a call that it
 * refuses with 429 would cost it as much as one that it carries out.
 */
export class RateBudget {
  private role: Role = 'leaderless';
  private rates: StoreRates;
  private requests: TokenBucket;
  private writes: TokenBucket;

  constructor(
    private readonly clock: Clock,
    private readonly limits: StoreRateLimits,
    private readonly controllerCount: number,
  ) {
    this.rates = limits;
    this.requests = this.newBucket(limits.requestRate, 'requests');
    this.writes = this.newBucket(limits.writeRate, 'writes');
  }

  private newBucket(rate: number, kind: 'requests' | 'writes'): TokenBucket {
    const nodesInRole = {
      leading: 1,
      following: this.controllerCount - 1,
      leaderless: this.controllerCount,
    };
    const share =
      this.controllerCount === 1
        ? SINGLE_NODE_SHARE
        : RATE_SHARES[this.role][kind] / Math.max(1, nodesInRole[this.role]);
    return new TokenBucket(this.clock, rate * share, Math.max(MIN_BURST, rate * share));
  }

  private renewBuckets(): void {
    this.requests = this.newBucket(this.rates.requestRate, 'requests');
    this.writes = this.newBucket(this.rates.writeRate, 'writes');
  }

  /** Which node writes most changes with leadership, and so do the shares of the rates. */
  setRole(role: Role): void {
    if (role === this.role) return;
    this.role = role;
    this.renewBuckets();
  }

  /** From now on the announced rates are kept where they are lower than those of before. */
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
    this.renewBuckets();
  }

  /** Takes what a call of so many writes needs, if it is there. */
  tryTake(writes: number): boolean {
    if (this.writes.waitFor(writes) > 0 || !this.requests.tryTake(1)) return false;
    this.writes.forceTake(writes);
    return true;
  }

  /** Takes what a call of so many writes needs, going into debt for it. */
  forceTake(writes: number): void {
    this.requests.forceTake(1);
    this.writes.forceTake(writes);
  }

  /** The state service has refused a call of so many writes as too early. */
  onThrottled(writes: number): void {
    this.lowerRates();
    this.requests.drain();
    if (writes > 0) this.writes.drain();
  }

  /** How long until a call of so many writes can leave, if no other is before it. */
  waitFor(writes: number): DurationMs {
    return ms(Math.max(this.requests.waitFor(1), this.writes.waitFor(writes)));
  }

  /** About how long so many requests take to leave. */
  requestBacklog(count: number): DurationMs {
    return this.requests.backlog(count);
  }

  /** About how long so many writes take to leave. */
  writeBacklog(count: number): DurationMs {
    return this.writes.backlog(count);
  }

  /** How many writes may leave now, and which share of a full burst they are. */
  availableWriteTokens(): { readonly count: number; readonly share: number } {
    const { tokens, burst } = this.writes.level();
    return { count: Math.floor(tokens), share: tokens / burst };
  }
}
