/** Growing pauses between attempts that keep failing. */
import {
  SteadyMs,
  addDuration,
  ms,
  type Clock,
  type DurationMs,
  type Random,
} from '../units/index.js';

/** Pauses that double with each failure, spread by a quarter either way so that nodes do not fall in step. */
export class Backoff {
  private nextPause: DurationMs;
  private pausedUntil: SteadyMs = SteadyMs(0);

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly minPause: DurationMs,
    private readonly maxPause: DurationMs,
  ) {
    this.nextPause = minPause;
  }

  /** Begins a pause and doubles the next one, up to the maximum. */
  recordFailure(): void {
    this.pausedUntil = addDuration(
      this.clock.steady(),
      ms(this.nextPause * (0.75 + 0.5 * this.random())),
    );
    this.nextPause = ms(Math.min(this.maxPause, this.nextPause * 2));
  }

  /** Ends the pause; the next one is as short as the first. */
  recordSuccess(): void {
    this.nextPause = this.minPause;
    this.pausedUntil = SteadyMs(0);
  }

  /** What is left of the pause; 0 if there is none. */
  remaining(): DurationMs {
    return ms(Math.max(0, this.pausedUntil - this.clock.steady()));
  }
}
