/** The loop that writes changes: when transactions are assembled and sent, and how many are under way at once. */
import type { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Backoff } from '../store/backoff.js';
import { detach } from '../units/detach.js';
import { ms, type Clock, type DurationMs, type Timer } from '../units/index.js';
import type { BatchAssembler } from './batch-assembler.js';
import type { Batch } from './batch.js';
import { NEVER } from './commit-queue.js';
import type { TransactionWriter } from './transaction-writer.js';

/** Transactions under way at once: a slow one must not delay the others. */
const MAX_TRANSACTIONS_IN_FLIGHT = 3;
/** The pause after an error in the loop itself. */
const ERROR_RETRY_DELAY = ms(200);

/** What the loop works with. */
export interface CommitLoopOptions {
  readonly assembler: BatchAssembler;
  readonly writer: TransactionWriter;
  /** While transactions are assembled, the outcome of none is taken in. */
  readonly lock: Mutex;
  /** Pauses all writing after failures. */
  readonly backoff: Backoff;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Runs whenever there may be something to write, until `close`. */
export class CommitLoop {
  private inFlight = 0;
  private isRunning = false;
  /** Asked for while it was running: it looks once more. */
  private isRerunRequested = false;
  private isClosed = false;
  /** When the timer is due, on the steady clock; `Infinity` if there is none. */
  private timerAt = Infinity;
  private timer: Timer | undefined;

  constructor(private readonly options: CommitLoopOptions) {}

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  /** Looks for something to write, now or when the budgets allow. */
  schedule(): void {
    if (this.isClosed) return;
    if (this.isRunning) {
      this.isRerunRequested = true;
      return;
    }
    this.isRunning = true;
    this.run().catch((error: unknown) => {
      this.isRunning = false;
      this.options.log.error({ err: error }, 'commit loop failed');
      this.scheduleAfter(ERROR_RETRY_DELAY);
    });
  }

  /** Looks again after a while; the earliest of several such requests counts. */
  private scheduleAfter(delay: DurationMs): void {
    if (this.isClosed || delay === NEVER) return;
    const { clock } = this.options;
    // Whole steps of the clock: after a rest too small for it to advance, the same rest would be left for ever.
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
    // All changes that are made in this turn go into one transaction.
    await Promise.resolve();
    do {
      this.isRerunRequested = false;
      while (!this.isClosed && this.inFlight < MAX_TRANSACTIONS_IN_FLIGHT) {
        const pause = this.options.backoff.remaining();
        if (pause > 0) {
          this.scheduleAfter(pause);
          break;
        }
        const batch = await this.nextBatch();
        if (!batch) break;
        this.send(batch);
      }
    } while (this.isRerunRequested);
    this.isRunning = false;
  }

  /** Undefined if nothing is to be sent now; then the timer is set, if there will be something later. */
  private nextBatch(): Promise<Batch | undefined> {
    const { assembler, lock } = this.options;
    return lock.runExclusive(() => {
      const { batch, checkAfter } = assembler.assemble();
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
    detach(sent, log, 'commit');
  }
}
