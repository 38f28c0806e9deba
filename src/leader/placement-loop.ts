/** Batches the events that ask for a placing round, and limits the share of time that placing takes. */
import type { Logger } from 'pino';
import { ms, durationBetween, type Clock, type Timer } from '../units/index.js';

/** Events within this delay lead to one placing round. It grows with the time that a round takes. */
const MIN_BATCH_DELAY = ms(5);
const MAX_BATCH_DELAY = ms(150);
/** Placing takes about this share of the time at most, up to the largest delay. */
const MAX_PLACING_SHARE = 0.2;

/** Runs placing rounds on request, one at a time. An error in a round is logged; later rounds still run. */
export class PlacementLoop {
  private batchDelay = MIN_BATCH_DELAY;
  private timer: Timer | undefined;
  private closed = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly placeWaitingTasks: () => void,
  ) {}

  /** Asks for a round after the batch delay, unless one is due already. */
  schedule(): void {
    if (this.timer || this.closed) return;
    this.timer = this.clock.after(this.batchDelay, () => {
      this.timer = undefined;
      if (!this.closed) this.runRound();
    });
  }

  /** No round begins after this. */
  close(): void {
    this.closed = true;
    this.timer?.cancel();
    this.timer = undefined;
  }

  private runRound(): void {
    const startedAt = this.clock.steady();
    try {
      this.placeWaitingTasks();
    } catch (error) {
      this.log.error({ err: error }, 'placing failed');
    }
    const duration = durationBetween(startedAt, this.clock.steady());
    this.batchDelay = ms(
      Math.min(MAX_BATCH_DELAY, Math.max(MIN_BATCH_DELAY, duration / MAX_PLACING_SHARE)),
    );
  }
}
