/** Decides what goes into the next transaction: what is due, as far as the budgets of the store allow. */
import type { StoreClient } from '../store/client.js';
import { ms, type Clock, type DurationMs, type Epoch } from '../units/index.js';
import { BatchBuilder, operationCountOf, type Batch } from './batch.js';
import { NEVER, type CommitQueue } from './commit-queue.js';
import { WritePriority, type Job } from './job.js';
import type { RecordLimits } from './record-limits.js';

/** Progress is written only while more than this share of a full burst of writes is left for other changes. */
const MIN_BUDGET_SHARE_FOR_PROGRESS = 0.6;
/** How long progress that was not written for that reason waits. */
const PROGRESS_RETRY_INTERVAL = ms(500);

/** What is to be done next. */
export interface AssemblyResult {
  /** What to send now; undefined if nothing is due, or the budgets allow nothing. */
  readonly batch: Batch | undefined;
  /** After this time there may be more to send; `NEVER` if only a further change can bring it. */
  readonly checkAfter: DurationMs;
}

interface AddedRecords {
  /** The batch is complete: it holds a record that must be written by itself. */
  readonly isExclusive: boolean;
  readonly checkAfter: DurationMs;
}

/** What an assembler works with. */
export interface BatchAssemblerOptions {
  readonly store: Pick<StoreClient, 'availableWrites' | 'writeWait'>;
  readonly epoch: Epoch;
  readonly limits: RecordLimits;
  readonly queue: CommitQueue;
  readonly clock: Clock;
}

/** Takes due changes off the queue, transaction by transaction. */
export class BatchAssembler {
  constructor(private readonly options: BatchAssemblerOptions) {}

  /** The next transaction. What is in it has been taken off the queue. */
  assemble(): AssemblyResult {
    const { store, epoch, limits, queue, clock } = this.options;
    const due = queue.due(clock.steady());
    const budget = store.availableWrites();
    const maxOperations = Math.min(limits.transactionOps, budget.count);
    const builder = new BatchBuilder(epoch, limits, maxOperations);
    const added = this.addRecords(builder, due.jobs, budget.share);
    let checkAfter = Math.min(due.checkAfter, added.checkAfter);
    if (!added.isExclusive) this.addInboxDeletions(builder);
    if (!builder.isEmpty) return { batch: builder.build(), checkAfter: ms(checkAfter) };
    if (queue.inboxKeysToDelete.size > 0) checkAfter = Math.min(checkAfter, store.writeWait(1));
    return { batch: undefined, checkAfter: ms(checkAfter) };
  }

  /** Adds records in their order until one does not fit: less urgent ones do not overtake it. */
  private addRecords(
    builder: BatchBuilder,
    jobs: readonly Job[],
    budgetShare: number,
  ): AddedRecords {
    const { store, queue } = this.options;
    let checkAfter = NEVER;
    for (const job of jobs) {
      if (
        job.writePriority >= WritePriority.progress &&
        budgetShare < MIN_BUDGET_SHARE_FOR_PROGRESS
      ) {
        checkAfter = PROGRESS_RETRY_INTERVAL;
        break;
      }
      const needsOwnTransaction = queue.needsOwnTransaction(job);
      if (needsOwnTransaction && !builder.isEmpty) continue;
      const operations = operationCountOf(job);
      if (!builder.hasRoomFor(operations)) {
        if (builder.isEmpty) checkAfter = store.writeWait(operations);
        break;
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
