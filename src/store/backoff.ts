/** Exponential backoff between failed attempts. */
import {
  SteadyMs,
  addDuration,
  ms,
  type Clock,
  type DurationMs,
  type Random,
} from '../units/index.js';

/**
 * A delay that doubles with each failure. Each delay is randomly shortened or lengthened by up to a quarter, so that
 * controllers do not retry at the same moments.
 */
export class Backoff {
  private nextDelay: DurationMs;
  private delayedUntil: SteadyMs = SteadyMs(0);

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly minDelay: DurationMs,
    private readonly maxDelay: DurationMs,
  ) {
    this.nextDelay = minDelay;
  }

  /** Starts a delay and doubles the next one, up to the maximum. */
  recordFailure(): void {
    this.delayedUntil = addDuration(
      this.clock.steady(),
      ms(this.nextDelay * (0.75 + 0.5 * this.random())),
    );
    this.nextDelay = ms(Math.min(this.maxDelay, this.nextDelay * 2));
  }

  /** Ends the delay and resets the next one to the minimum. */
  recordSuccess(): void {
    this.nextDelay = this.minDelay;
    this.delayedUntil = SteadyMs(0);
  }

  /** The time until the next attempt is allowed; 0 if it is allowed now. */
  remaining(): DurationMs {
    return ms(Math.max(0, this.delayedUntil - this.clock.steady()));
  }
}
