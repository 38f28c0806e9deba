/** This controller's share of the rates that the state store grants to all controllers together. */
import { ms, type Clock, type DurationMs } from '../units/index.js';
import { TokenBucket } from './token-bucket.js';

/** Rates of the state store, per second. A transaction counts as one request and as many writes as it contains. */
export interface StoreRates {
  readonly requestRate: number;
  readonly writeRate: number;
}

/** The current rates, and those that may replace them. */
export interface StoreRateLimits extends StoreRates {
  /** The rates that replace the current ones at an unannounced time, which shows only by rejected requests. */
  readonly next?: StoreRates | undefined;
}

/** The role of a controller, which determines its share of the store's rates. */
export type Role = 'leading' | 'following' | 'leaderless';

/**
 * The shares of all controllers in a role together. The leader does nearly all writes. Followers read for users
 * whom the leader does not respond to, and occasionally admit a job. Without a leader, all controllers have equal shares.
 */
const RATE_SHARES: Record<Role, { readonly requests: number; readonly writes: number }> = {
  leading: { requests: 0.5, writes: 0.85 },
  following: { requests: 0.45, writes: 0.12 },
  leaderless: { requests: 0.95, writes: 0.95 },
};
/** The share of a single controller, whatever its role. */
const SINGLE_CONTROLLER_SHARE = 0.95;
/** However small its share, a controller may send this many requests at once. */
const MIN_BURST_TOKENS = 4;

/**
 * Token buckets for requests and writes. All controllers share the rates of the state store, and a request that it
 * rejects with 429 costs it as much as one that it executes.
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
    const controllersInRole = {
      leading: 1,
      following: this.controllerCount - 1,
      leaderless: this.controllerCount,
    };
    const share =
      this.controllerCount === 1
        ? SINGLE_CONTROLLER_SHARE
        : RATE_SHARES[this.role][kind] / Math.max(1, controllersInRole[this.role]);
    return new TokenBucket(this.clock, rate * share, Math.max(MIN_BURST_TOKENS, rate * share));
  }

  private recreateBuckets(): void {
    this.requests = this.newBucket(this.rates.requestRate, 'requests');
    this.writes = this.newBucket(this.rates.writeRate, 'writes');
  }

  /** Adapts the shares to a new role, since most writes come from the leader. */
  setRole(role: Role): void {
    if (role === this.role) return;
    this.role = role;
    this.recreateBuckets();
  }

  /** Applies the announced rates from now on, where they are lower than the current ones. */
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
    this.recreateBuckets();
  }

  /** Takes the tokens for a request with `writes` writes, if they are available. */
  tryTake(writes: number): boolean {
    if (this.writes.waitFor(writes) > 0 || !this.requests.tryTake(1)) return false;
    this.writes.forceTake(writes);
    return true;
  }

  /** Takes the tokens for a request with `writes` writes, going into debt if necessary. */
  forceTake(writes: number): void {
    this.requests.forceTake(1);
    this.writes.forceTake(writes);
  }

  /** Handles a request with `writes` writes that the store rejected because of its rate limit. */
  onThrottled(writes: number): void {
    this.lowerRates();
    this.requests.drain();
    if (writes > 0) this.writes.drain();
  }

  /** The time until a request with `writes` writes can be sent, if no other is ahead of it. */
  waitFor(writes: number): DurationMs {
    return ms(Math.max(this.requests.waitFor(1), this.writes.waitFor(writes)));
  }

  /** The approximate time until `count` requests have been sent. */
  requestBacklog(count: number): DurationMs {
    return this.requests.backlog(count);
  }

  /** The approximate time until `count` writes have been sent. */
  writeBacklog(count: number): DurationMs {
    return this.writes.backlog(count);
  }

  /** How many writes may be sent now, and what share of a full burst that is. */
  availableWriteTokens(): { readonly count: number; readonly share: number } {
    const { tokens, burst } = this.writes.level();
    return { count: Math.floor(tokens), share: tokens / burst };
  }
}
