/** Batches events that request a placement round, and limits the share of time spent on placement. */
import type { Logger } from 'pino';
import { ms, durationBetween, type Clock, type Timer } from '../units/index.js';

/** Events within this delay share one placement round. The delay grows with the duration of the last round. */
const MIN_BATCH_DELAY = ms(5);
const MAX_BATCH_DELAY = ms(150);
/** Approximate limit for the share of time spent on placement, enforced until the delay reaches its maximum. */
const MAX_PLACEMENT_TIME_SHARE = 0.2;

/** Runs requested placement rounds one at a time. An error in a round is logged, and later rounds still run. */
export class PlacementLoop {
  private batchDelay = MIN_BATCH_DELAY;
  private timer: Timer | undefined;
  private isClosed = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly placeWaitingTasks: () => void,
  ) {}

  /** Schedules a round after the batch delay, unless one is already scheduled. */
  schedule(): void {
    if (this.timer || this.isClosed) return;
    this.timer = this.clock.after(this.batchDelay, () => {
      this.timer = undefined;
      if (!this.isClosed) this.runRound();
    });
  }

  /** Cancels the scheduled round and prevents any further one. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
    this.timer = undefined;
  }

  private runRound(): void {
    const startedAt = this.clock.steady();
    try {
      this.placeWaitingTasks();
    } catch (error) {
      this.log.error(
        { err: error },
        'placement round failed; the next event or tick starts another one',
      );
    }
    const duration = durationBetween(startedAt, this.clock.steady());
    this.batchDelay = ms(
      Math.min(MAX_BATCH_DELAY, Math.max(MIN_BATCH_DELAY, duration / MAX_PLACEMENT_TIME_SHARE)),
    );
  }
}
