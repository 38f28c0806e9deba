/** Updates a job once the outcome of writing its record is known. */
import type { Logger } from 'pino';
import type { Clock, Revision } from '../units/index.js';
import type { PendingRecord } from './batch.js';
import type { CommitQueue } from './commit-queue.js';
import type { CommitWaiters } from './commit-waiters.js';
import { decodeJob } from './job-codec.js';
import type { JobTable } from './job-table.js';
import type { FinalState, Job } from './job.js';
import type { LedgerEvents } from './ledger-events.js';
import type { RecordLimits } from './record-limits.js';

/** The dependencies of the handler. */
export interface WriteOutcomeHandlerOptions {
  readonly table: JobTable;
  readonly queue: CommitQueue;
  readonly waiters: CommitWaiters;
  readonly limits: RecordLimits;
  readonly events: LedgerEvents;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Handles the three outcomes of a write: committed, not committed, or replaced by another record in the store. */
export class WriteOutcomeHandler {
  constructor(private readonly options: WriteOutcomeHandlerOptions) {}

  /** The record is in the store; as the final record of its job if `finalState` is given. */
  onCommitted(record: PendingRecord, revision: Revision, finalState: FinalState | undefined): void {
    const { queue, waiters, events, clock } = this.options;
    const { job } = record;
    job.hasWriteInFlight = false;
    job.hasTerminalWriteInFlight = false;
    job.isTerminalOutcomeUnknown = false;
    job.isCreationOutcomeUnknown = false;
    job.revision = revision;
    job.committedVersion = Math.max(job.committedVersion, record.version);
    if (record.progress.isCancelled && !job.committedProgress.isCancelled)
      job.cancellationStoredAt = clock.steady();
    job.committedProgress = record.progress;
    queue.recordCommit(job);
    if (finalState) {
      this.finish(job, finalState);
      return;
    }
    waiters.resolveUpTo(job.id, record.version, true);
    events.onCommitted(job);
  }

  private finish(job: Job, finalState: FinalState): void {
    const { table, queue, waiters, events, clock } = this.options;
    queue.forget(job);
    table.finish(job, { final: finalState, storedBy: clock.steady() });
    waiters.resolveAll(job.id, true);
    events.onFinished(job, finalState);
  }

  /** The record is definitely not in the store: it is written again, or its job is dropped. */
  onNotCommitted({ job, writePriority }: PendingRecord): void {
    const { table, queue, waiters, events } = this.options;
    job.hasWriteInFlight = false;
    job.hasTerminalWriteInFlight = job.isTerminalOutcomeUnknown;
    // A creation that was definitely not applied is not retried: its user must submit the job again.
    if (job.revision === 0 && !job.isCreationOutcomeUnknown && !waiters.has(job.id)) {
      queue.untrack(job);
      table.remove(job);
      events.onDropped(job);
      return;
    }
    if (writePriority < job.writePriority) job.writePriority = writePriority;
    queue.putBack(job);
  }

  /** The store holds a record that this write did not produce: it replaces the job in memory. */
  onReplaced(job: Job, data: unknown, revision: Revision): void {
    const { table, queue, waiters, limits, events, clock, log } = this.options;
    log.warn(
      { job: job.id },
      'job record in the store was changed by another write; replacing the job in memory',
    );
    limits.onRecordRead(data);
    const replacement = decodeJob(job.id, data, revision, clock.steady());
    replacement.inheritFrom(job);
    if (replacement.isCancelled) replacement.cancellationStoredAt = clock.steady();
    queue.untrack(job);
    table.set(replacement);
    queue.track(replacement);
    waiters.resolveAll(job.id, false);
    events.onReplaced(replacement);
  }
}
