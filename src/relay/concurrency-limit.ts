/** Limits the requests in flight to a peer by how fast it responds. */
import { durationBetween, ms, type DurationMs, type SteadyMs } from '../units/index.js';

const INITIAL_LIMIT = 128;
/** A leader that is late because of other work still gets this many. */
const MIN_LIMIT = 64;
const MAX_LIMIT = 1024;
/** Responses slower than this mean that requests queue at the peer. */
const SLOW_RESPONSE_TIME = ms(600);
/** Responses faster than this mean that the peer can take more requests. */
const FAST_RESPONSE_TIME = ms(300);
/** By how much the limit grows while as many requests as it allows get fast responses. */
const GROWTH_PER_ROUND = 16;
const DECREASE_FACTOR = 0.7;
/** How many more requests than others may be in flight if preferred ones are among them, as a share of the limit. */
const PREFERRED_SHARE = 0.25;

/** A request that is in flight. */
export interface Permit {
  readonly sentAt: SteadyMs;
}

/**
 * A limit that grows by a constant for each round of fast responses, and shrinks by a share with a slow or missing one, at
 * most once for all requests that were in flight together.
 */
export class ConcurrencyLimit {
  private limit = INITIAL_LIMIT;
  private inFlight = 0;
  private decreasedAt: SteadyMs | undefined;

  /** Returns a permit for one more request; undefined if as many as the peer can take are in flight. */
  acquire(now: SteadyMs, isPreferred: boolean): Permit | undefined {
    const limit = isPreferred ? this.limit * (1 + PREFERRED_SHARE) : this.limit;
    if (this.inFlight >= limit) return undefined;
    this.inFlight++;
    return { sentAt: now };
  }

  /** Returns a permit after the response, or after the timeout. */
  release({ sentAt }: Permit, now: SteadyMs): void {
    this.inFlight--;
    const responseTime = durationBetween(sentAt, now);
    if (responseTime < FAST_RESPONSE_TIME) this.increase();
    else if (this.isSlowSinceDecrease(sentAt, responseTime)) this.decrease(now);
  }

  private isSlowSinceDecrease(sentAt: SteadyMs, responseTime: DurationMs): boolean {
    const { decreasedAt } = this;
    return responseTime > SLOW_RESPONSE_TIME && (decreasedAt === undefined || sentAt > decreasedAt);
  }

  private increase(): void {
    this.limit = Math.min(MAX_LIMIT, this.limit + GROWTH_PER_ROUND / this.limit);
  }

  private decrease(now: SteadyMs): void {
    this.limit = Math.max(MIN_LIMIT, Math.floor(this.limit * DECREASE_FACTOR));
    this.decreasedAt = now;
  }
}
