/** A token bucket, which keeps requests within the rates of a service. */
import type { SteadyMs } from '../units/index.js';
import { ms, type Clock, type DurationMs } from '../units/index.js';

/**
 * A token bucket that gains `rate` tokens per second and holds at most `burst` tokens. It starts full. Its level is
 * negative while it is in debt after `forceTake`.
 */
export class TokenBucket {
  private tokens: number;
  private lastRefillAt: SteadyMs;

  constructor(
    private readonly clock: Clock,
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.lastRefillAt = clock.steady();
  }

  private refill(): void {
    const now = this.clock.steady();
    this.tokens = Math.min(
      this.burst,
      this.tokens + ((now - this.lastRefillAt) / 1000) * this.rate,
    );
    this.lastRefillAt = now;
  }

  /** Takes `count` tokens if they are available. A count above the burst is granted when the bucket is full. */
  tryTake(count: number): boolean {
    this.refill();
    if (this.tokens < Math.min(count, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes `count` tokens even if they are not available: for requests that must not wait, such as a lease renewal. */
  forceTake(count: number): void {
    this.refill();
    this.tokens -= count;
  }

  /** The time until `tryTake(count)` can succeed; 0 if it can now. */
  waitFor(count: number): DurationMs {
    this.refill();
    const missing = Math.min(count, this.burst) - this.tokens;
    return ms(missing <= 0 ? 0 : Math.ceil((missing / this.rate) * 1000) + 1);
  }

  /** The approximate time to spend `count` tokens one by one; unlike `waitFor`, it is not limited by the burst. */
  backlog(count: number): DurationMs {
    this.refill();
    return ms(Math.max(0, ((count - this.tokens) / this.rate) * 1000));
  }

  /** The tokens that are available now, and the size of a full bucket. */
  level(): { readonly tokens: number; readonly burst: number } {
    this.refill();
    return { tokens: this.tokens, burst: this.burst };
  }

  /** Empties the bucket after the service rejected a request for its rate: the service counts fewer tokens than this one. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
