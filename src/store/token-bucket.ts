/** Token buckets, which keep calls within the rates of a service. */
import type { SteadyMs } from '../units/index.js';
import { ms, type Clock, type DurationMs } from '../units/index.js';

/**
 * A bucket that gains `rate` tokens a second and holds at most `burst` of them. It starts full. Its level is
 * negative while it is in debt after `forceTake`.
 */
export class TokenBucket {
  private tokens: number;
  private refilledAt: SteadyMs;

  constructor(
    private readonly clock: Clock,
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.steady();
  }

  private refill(): void {
    const now = this.clock.steady();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1000) * this.rate);
    this.refilledAt = now;
  }

  /** Takes `count` tokens if they are there. A single request above the burst passes on a full bucket. */
  tryTake(count: number): boolean {
    this.refill();
    if (this.tokens < Math.min(count, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes `count` tokens whether they are there or not: for what must not wait, such as a lease renewal. */
  forceTake(count: number): void {
    this.refill();
    this.tokens -= count;
  }

  /** How long until `tryTake(count)` can succeed; 0 if it can now. */
  waitFor(count: number): DurationMs {
    this.refill();
    const missing = Math.min(count, this.burst) - this.tokens;
    return ms(missing <= 0 ? 0 : Math.ceil((missing / this.rate) * 1000) + 1);
  }

  /** About how long `count` tokens take to be spent one by one; unlike `waitFor` not bounded by the burst. */
  backlog(count: number): DurationMs {
    this.refill();
    return ms(Math.max(0, ((count - this.tokens) / this.rate) * 1000));
  }

  /** The tokens that are there now, and how many a full bucket has. */
  level(): { readonly tokens: number; readonly burst: number } {
    this.refill();
    return { tokens: this.tokens, burst: this.burst };
  }

  /** Empties the bucket: the service has refused a call as too early, so its own count is ahead of this one. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
