/** Decides when transactions are assembled and sent, and how many are in flight at once. */
import type { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Backoff } from '../store/backoff.js';
import { TokenBucket } from '../store/token-bucket.js';
import { runInBackground } from '../units/run-in-background.js';
import { durationBetween, ms, type Clock, type DurationMs, type Timer } from '../units/index.js';
import type { BatchAssembler } from './batch-assembler.js';
import type { Batch } from './batch.js';
import { NEVER } from './commit-queue.js';
import type { TransactionWriter } from './transaction-writer.js';

/** More than one, so that a slow transaction does not delay the others. */
const MAX_TRANSACTIONS_IN_FLIGHT = 3;
/** The delay before the loop runs again after an unexpected error in it. */
const ERROR_RETRY_DELAY = ms(200);

const MS_PER_SECOND = 1000;
/**
 * Limit for the share of time spent on assembling transactions. Each time takes longer with each job that has changes, and
 * while the rate limits of the store hold writes back, nothing comes of most of them.
 */
const MAX_ASSEMBLY_TIME_SHARE = 0.1;
/** Assembling may use its share of this time at once. */
const TIME_BUDGET_WINDOW = ms(500);

/** The dependencies of the commit loop. */
export interface CommitLoopOptions {
  readonly assembler: BatchAssembler;
  readonly writer: TransactionWriter;
  /** Held while a transaction is assembled, so that no commit is recorded meanwhile. */
  readonly lock: Mutex;
  /** Delays all writing after failures. */
  readonly backoff: Backoff;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Writes due changes until `close`. It runs whenever there may be something to write. */
export class CommitLoop {
  private inFlight = 0;
  private isRunning = false;
  /** Set if a run was requested during a run: the loop then runs once more. */
  private isRerunRequested = false;
  private isClosed = false;
  /** When the timer is due on the steady clock; `Infinity` if no timer is set. */
  private timerAt = Infinity;
  private timer: Timer | undefined;
  /** Milliseconds that assembling transactions may take. */
  private readonly timeBudget: TokenBucket;

  constructor(private readonly options: CommitLoopOptions) {
    this.timeBudget = new TokenBucket(
      options.clock,
      MS_PER_SECOND * MAX_ASSEMBLY_TIME_SHARE,
      TIME_BUDGET_WINDOW * MAX_ASSEMBLY_TIME_SHARE,
    );
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  /** Writes what is due, now or once the rate limits of the store allow. */
  schedule(): void {
    if (this.isClosed) return;
    if (this.isRunning) {
      this.isRerunRequested = true;
      return;
    }
    this.isRunning = true;
    this.run().catch((error: unknown) => {
      this.isRunning = false;
      this.options.log.error(
        { err: error },
        'commit loop failed; it runs again after a short delay',
      );
      this.scheduleAfter(ERROR_RETRY_DELAY);
    });
  }

  /** Runs the loop after a delay; of several requests the earliest counts. */
  private scheduleAfter(delay: DurationMs): void {
    if (this.isClosed || delay === NEVER) return;
    const { clock } = this.options;
    // In whole milliseconds: after a fraction too short for the clock to advance, the same fraction would remain.
    const pause = ms(Math.max(1, Math.ceil(delay)));
    const at = clock.steady() + pause;
    if (at >= this.timerAt) return;
    this.timer?.cancel();
    this.timerAt = at;
    this.timer = clock.after(pause, () => {
      this.timerAt = Infinity;
      this.schedule();
    });
  }

  private async run(): Promise<void> {
    // Waits for a microtask, so that all changes made in the current turn go into one transaction.
    await Promise.resolve();
    do {
      this.isRerunRequested = false;
      while (!this.isClosed && this.inFlight < MAX_TRANSACTIONS_IN_FLIGHT) {
        const pause = Math.max(this.options.backoff.remaining(), this.timeBudget.waitFor(0));
        if (pause > 0) {
          this.scheduleAfter(ms(pause));
          break;
        }
        const batch = await this.nextBatch();
        if (!batch) break;
        this.send(batch);
      }
    } while (this.isRerunRequested);
    this.isRunning = false;
  }

  /** Assembles the next transaction. If there is nothing to send now, sets a timer for what will be due later, if any. */
  private nextBatch(): Promise<Batch | undefined> {
    const { assembler, clock, lock } = this.options;
    return lock.runExclusive(() => {
      const startedAt = clock.steady();
      const { batch, checkAfter } = assembler.assemble();
      this.timeBudget.forceTake(durationBetween(startedAt, clock.steady()));
      this.scheduleAfter(checkAfter);
      return batch;
    });
  }

  private send(batch: Batch): void {
    const { writer, log } = this.options;
    this.inFlight++;
    const sent = writer.write(batch).finally(() => {
      this.inFlight--;
      this.schedule();
    });
    runInBackground(sent, log, 'commit');
  }
}
