/** Fills the next transaction with the changes that are due, as far as the rate limits of the store allow. */
import type { StoreClient } from '../store/client.js';
import { ms, type Clock, type DurationMs, type Epoch } from '../units/index.js';
import { BatchBuilder, operationCountOf, type Batch } from './batch.js';
import { NEVER, type CommitQueue } from './commit-queue.js';
import { WritePriority, type Job } from './job.js';
import type { RecordLimits } from './record-limits.js';
import type { WriteHold } from './write-hold.js';

/** Progress is written only while at least this share of a full burst of writes remains for other changes. */
const MIN_BUDGET_SHARE_FOR_PROGRESS = 0.6;
/** The time until the assembler tries again to write progress that it held back to leave this share. */
const PROGRESS_RETRY_INTERVAL = ms(500);

/** The next transaction, if any, and when to assemble again. */
export interface AssemblyResult {
  /** The transaction to send now; undefined if nothing is due or the rate limits allow no write. */
  readonly batch: Batch | undefined;
  /** The time until there may be more to send; `NEVER` if that requires a further change. */
  readonly checkAfter: DurationMs;
}

interface AddedRecords {
  /** Whether the batch has a record that must be written by itself, so that nothing more may be added. */
  readonly isExclusive: boolean;
  readonly checkAfter: DurationMs;
}

const earlier = (one: DurationMs, other: DurationMs): DurationMs => ms(Math.min(one, other));

/** The dependencies of the assembler. */
export interface BatchAssemblerOptions {
  readonly store: Pick<StoreClient, 'availableWriteTokens' | 'writeWait'>;
  readonly epoch: Epoch;
  readonly limits: RecordLimits;
  readonly queue: CommitQueue;
  readonly hold: WriteHold;
  readonly clock: Clock;
}

/** Takes due changes from the commit queue, one transaction at a time. */
export class BatchAssembler {
  constructor(private readonly options: BatchAssemblerOptions) {}

  /** Assembles the next transaction and removes its contents from the queue. */
  assemble(): AssemblyResult {
    const { store, epoch, limits, queue, clock } = this.options;
    const dueJobs = queue.dueJobs(clock.steady());
    const writeBudget = store.availableWriteTokens();
    const maxOperations = Math.min(limits.transactionOps, writeBudget.count);
    const builder = new BatchBuilder(epoch, limits, maxOperations);
    const addedRecords = this.addRecords(builder, dueJobs.jobs, writeBudget.share);
    let checkAfter = Math.min(dueJobs.checkAfter, addedRecords.checkAfter);
    if (!addedRecords.isExclusive) this.addInboxDeletions(builder);
    if (!builder.isEmpty) return { batch: builder.build(), checkAfter: ms(checkAfter) };
    if (queue.inboxKeysToDelete.size > 0) checkAfter = Math.min(checkAfter, store.writeWait(1));
    return { batch: undefined, checkAfter: ms(checkAfter) };
  }

  /**
   * Adds records in order until one does not fit; less urgent records are not written before that one. A record that
   * must be written by itself is skipped unless the batch is still empty, and one that is held back is skipped.
   */
  private addRecords(
    builder: BatchBuilder,
    jobs: readonly Job[],
    budgetShare: number,
  ): AddedRecords {
    const { store, queue, hold } = this.options;
    let checkAfter = NEVER;
    for (const job of jobs) {
      if (
        job.writePriority >= WritePriority.progress &&
        budgetShare < MIN_BUDGET_SHARE_FOR_PROGRESS
      ) {
        checkAfter = earlier(checkAfter, PROGRESS_RETRY_INTERVAL);
        break;
      }
      const needsOwnTransaction = queue.needsOwnTransaction(job);
      if (needsOwnTransaction && !builder.isEmpty) continue;
      const operations = operationCountOf(job);
      if (!builder.hasRoomFor(operations)) {
        if (builder.isEmpty) checkAfter = earlier(checkAfter, store.writeWait(operations));
        break;
      }
      const heldFor = hold.holdBack(job);
      if (heldFor > 0) {
        checkAfter = earlier(checkAfter, heldFor);
        continue;
      }
      if (!builder.add(job)) break;
      queue.take(job);
      if (needsOwnTransaction) return { isExclusive: true, checkAfter };
    }
    return { isExclusive: false, checkAfter };
  }

  private addInboxDeletions(builder: BatchBuilder): void {
    const { queue } = this.options;
    for (const key of queue.inboxKeysToDelete) {
      if (!builder.hasRoomFor(1)) break;
      builder.deleteInboxEntry(key);
      queue.takeInboxKey(key);
    }
  }
}
