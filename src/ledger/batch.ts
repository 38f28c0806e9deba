/** One transaction of the commit loop: the records of several jobs, each with the revision that it replaces. */
import type { Epoch } from '../units/index.js';
import type { StoreCondition, StoreWrite } from '../wire/index.js';
import { encodeFinal } from './final-record.js';
import { WritePriority, type JobProgress, type FinalState, type Job } from './job.js';
import type { RecordLimits } from './record-limits.js';
import { encodedSize } from './record-size.js';
import { LEADER_KEY, finalKey, liveKey } from './store-keys.js';

/** The size up to which a transaction is filled. The store accepts 64 KiB in all. */
const MAX_TRANSACTION_BYTES = 56 * 1024;
/** The size of a record's key and conditions, which is added to that of the record. */
const KEY_AND_CONDITIONS_BYTES = 200;

/** The version of a job that a transaction writes. */
export interface PendingRecord {
  readonly job: Job;
  readonly version: number;
  readonly progress: JobProgress;
  /** The reason for which the record is written. */
  readonly writePriority: WritePriority;
  /** Set if this is the final record of the job. */
  readonly finalState: FinalState | undefined;
}

/** A transaction that is ready to be sent. */
export interface Batch {
  readonly records: readonly PendingRecord[];
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly StoreWrite[];
  /** Keys of the inbox entries that the transaction deletes. */
  readonly inboxKeys: readonly string[];
}

/**
 * The final state of a finished job; undefined for any other. A job that was never written can't be finished, since
 * none of its tasks has run.
 */
const finalStateOf = (job: Job): FinalState | undefined =>
  job.isFinished && job.revision > 0 ? job.finalState() : undefined;

/** How many operations of a transaction the next record of a job needs. */
export const operationCountOf = (job: Job): number => (finalStateOf(job) ? 2 : 1);

/** Builds a transaction of at most `maxOperations` operations. */
export class BatchBuilder {
  private readonly records: PendingRecord[] = [];
  private readonly conditions: StoreCondition[];
  private readonly writes: StoreWrite[] = [];
  private readonly inboxKeys: string[] = [];
  private bytes = 0;

  constructor(
    private readonly epoch: Epoch,
    private readonly limits: RecordLimits,
    private readonly maxOperations: number,
  ) {
    // No transaction of a former leader can be applied.
    this.conditions = [{ key: LEADER_KEY, revision: epoch }];
  }

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  /** Whether the transaction has room for this many more operations. */
  hasRoomFor(operations: number): boolean {
    return this.writes.length + operations <= this.maxOperations;
  }

  /** Adds the current record of a job; false if it is too large for the rest of the transaction. */
  add(job: Job): boolean {
    const finalState = finalStateOf(job);
    const { record, bytes } = finalState
      ? withEncodedSize(encodeFinal(finalState))
      : this.limits.encode(job, this.epoch);
    const size = bytes + KEY_AND_CONDITIONS_BYTES;
    if (this.bytes > 0 && this.bytes + size > MAX_TRANSACTION_BYTES) return false;
    this.bytes += size;
    this.addOperations(job, record, finalState !== undefined);
    this.records.push({
      job,
      version: job.version,
      writePriority: job.writePriority,
      progress: job.progress(),
      finalState,
    });
    job.hasWriteInFlight = true;
    job.hasTerminalWriteInFlight =
      job.isTerminalOutcomeUnknown ||
      finalState !== undefined ||
      job.isCancelled !== job.committedProgress.isCancelled;
    job.writePriority = WritePriority.none;
    return true;
  }

  private addOperations(job: Job, record: unknown, isFinal: boolean): void {
    const live = liveKey(job.id);
    const final = finalKey(job.id);
    this.conditions.push({ key: live, revision: job.revision });
    // A creation must not recreate a finished job.
    if (isFinal || job.revision === 0) this.conditions.push({ key: final, revision: 0 });
    if (isFinal) this.writes.push({ put: final, data: record }, { delete: live });
    else this.writes.push({ put: live, data: record });
  }

  /** Deletes an inbox entry that has been handled. */
  deleteInboxEntry(key: string): void {
    this.writes.push({ delete: key });
    this.inboxKeys.push(key);
  }

  build(): Batch {
    const { records, conditions, writes, inboxKeys } = this;
    return { records, conditions, writes, inboxKeys };
  }
}

const withEncodedSize = (record: unknown): { record: unknown; bytes: number } => ({
  record,
  bytes: encodedSize(record),
});
