import { SteadyMs, later, ms, type Clock, type DurationMs } from '../units/index.js';

/** A token bucket: `rate` a second, bursts of `burst`. May go into debt by `spend`. */
export class TokenBucket {
  private tokens: number;
  private at: SteadyMs;

  constructor(
    private readonly clock: Clock,
    readonly rate: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.at = clock.steady();
  }

  private refill(): void {
    const now = this.clock.steady();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
  }

  /** Takes `n` if they are there. A single request above the burst passes on a full bucket. */
  tryTake(n: number): boolean {
    this.refill();
    if (this.tokens < Math.min(n, this.burst)) return false;
    this.tokens -= n;
    return true;
  }

  /** Takes `n` whether they are there or not: for what must not wait, such as a renewal. */
  forceTake(n: number): void {
    this.refill();
    this.tokens -= n;
  }

  /** How long until `n` will be there. */
  waitFor(n: number): DurationMs {
    this.refill();
    const missing = Math.min(n, this.burst) - this.tokens;
    return ms(missing <= 0 ? 0 : Math.ceil((missing / this.rate) * 1000) + 1);
  }

  /** About when `n` will have passed, one after the other: more than a burst takes longer than one. */
  backlog(n: number): DurationMs {
    this.refill();
    return ms(Math.max(0, ((n - this.tokens) / this.rate) * 1000));
  }

  level(): { tokens: number; burst: number } {
    this.refill();
    return { tokens: this.tokens, burst: this.burst };
  }

  /** The other side said we are too fast, so its count is ahead of ours: start from nothing. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}

/** Pauses that grow while something keeps failing, spread so that nodes do not fall in step. */
export class Backoff {
  private nextPause: DurationMs;
  private pausedUntil: SteadyMs = SteadyMs(0);

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly minPause: DurationMs,
    private readonly maxPause: DurationMs,
  ) {
    this.nextPause = minPause;
  }

  noteFailure(): void {
    this.pausedUntil = later(
      this.clock.steady(),
      ms(this.nextPause * (0.75 + 0.5 * this.random())),
    );
    this.nextPause = ms(Math.min(this.maxPause, this.nextPause * 2));
  }

  noteSuccess(): void {
    this.nextPause = this.minPause;
    this.pausedUntil = SteadyMs(0);
  }

  remaining(): DurationMs {
    return ms(Math.max(0, this.pausedUntil - this.clock.steady()));
  }
}
