/**
 * Batches events that request a placement round, and limits the share of time spent on placement. A round takes longer
 * with each machine and each waiting job, so every round counts, whatever requested it.
 */
import type { Logger } from 'pino';
import { TokenBucket } from '../store/token-bucket.js';
import { ms, durationBetween, type Clock, type DurationMs, type Timer } from '../units/index.js';

/** Events within this delay share one placement round. The delay grows with the duration of the last round. */
const MIN_BATCH_DELAY = ms(5);
const MAX_BATCH_DELAY = ms(150);
const MS_PER_SECOND = 1000;
/** Limit for the share of time spent on placement, so that the leader keeps up with its lease and its requests. */
const MAX_PLACEMENT_TIME_SHARE = 0.2;
/** Placement may use its share of this time at once. */
const TIME_BUDGET_WINDOW = ms(2500);

/** Runs requested placement rounds one at a time. An error in a round is logged, and later rounds still run. */
export class PlacementLoop {
  private batchDelay = MIN_BATCH_DELAY;
  /** Milliseconds that rounds may take. */
  private readonly timeBudget: TokenBucket;
  private timer: Timer | undefined;
  private isClosed = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly placeWaitingTasks: () => void,
  ) {
    this.timeBudget = new TokenBucket(
      clock,
      MS_PER_SECOND * MAX_PLACEMENT_TIME_SHARE,
      TIME_BUDGET_WINDOW * MAX_PLACEMENT_TIME_SHARE,
    );
  }

  /** Runs a round at once if the time budget allows, otherwise later. */
  runNow(): void {
    if (this.isClosed) return;
    if (this.budgetWait > 0) this.schedule();
    else this.runRound();
  }

  private get budgetWait(): DurationMs {
    return this.timeBudget.waitFor(0);
  }

  /** Schedules a round after the batch delay and once the time budget allows, unless one is already scheduled. */
  schedule(): void {
    if (this.timer || this.isClosed) return;
    const delay = ms(Math.max(this.batchDelay, this.budgetWait));
    this.timer = this.clock.after(delay, () => {
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
    this.timeBudget.forceTake(duration);
    this.batchDelay = ms(
      Math.min(MAX_BATCH_DELAY, Math.max(MIN_BATCH_DELAY, duration / MAX_PLACEMENT_TIME_SHARE)),
    );
  }
}
