/** One transaction of the commit loop: records of several jobs, each with the revision that it replaces. */
import type { Epoch } from '../units/index.js';
import type { Condition, Write } from '../wire/index.js';
import { encodeFinal } from './final-record.js';
import { WritePriority, type JobProgress, type FinalState, type Job } from './job.js';
import type { RecordLimits } from './record-limits.js';
import { encodedSize } from './record-size.js';
import { LEADER_KEY, finalKey, liveKey } from './store-keys.js';

/** What a transaction is filled up to: it may hold 64 KiB in all. */
const MAX_TRANSACTION_BYTES = 56 * 1024;
/** What the key of a record and its conditions take beside it. */
const KEY_BYTES = 200;

/** A job as a transaction records it. */
export interface PendingRecord {
  readonly job: Job;
  readonly version: number;
  readonly progress: JobProgress;
  /** Why it is written. */
  readonly writePriority: WritePriority;
  /** Set if the job ends with it. */
  readonly finalState: FinalState | undefined;
}

/** A transaction to be sent. */
export interface Batch {
  readonly records: readonly PendingRecord[];
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /** Keys of notices that it deletes. */
  readonly inboxKeys: readonly string[];
}

/** What remains of a job once it is over. One that was never written can't be: nothing of it ran. */
const finalStateOf = (job: Job): FinalState | undefined =>
  job.isFinished && job.revision > 0 ? job.finalState() : undefined;

/** How many changes of a transaction the next record of a job takes. */
export const operationCountOf = (job: Job): number => (finalStateOf(job) ? 2 : 1);

/** Puts a transaction together. It holds at most `maxChanges` changes. */
export class BatchBuilder {
  private readonly records: PendingRecord[] = [];
  private readonly conditions: Condition[];
  private readonly writes: Write[] = [];
  private readonly inboxKeys: string[] = [];
  private bytes = 0;

  constructor(
    private readonly epoch: Epoch,
    private readonly limits: RecordLimits,
    private readonly maxOperations: number,
  ) {
    // Nothing that a deposed leader sends can apply.
    this.conditions = [{ key: LEADER_KEY, revision: epoch }];
  }

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  /** Whether so many more changes fit. */
  hasRoomFor(operations: number): boolean {
    return this.writes.length + operations <= this.maxOperations;
  }

  /** Adds the present record of a job; false if it is too large to go with the others. */
  add(job: Job): boolean {
    const finalState = finalStateOf(job);
    const { record, bytes } = finalState
      ? withEncodedSize(encodeFinal(finalState))
      : this.limits.encode(job, this.epoch);
    const size = bytes + KEY_BYTES;
    if (this.bytes > 0 && this.bytes + size > MAX_TRANSACTION_BYTES) return false;
    this.bytes += size;
    this.write(job, record, finalState !== undefined);
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

  private write(job: Job, record: unknown, isFinal: boolean): void {
    const live = liveKey(job.id);
    const final = finalKey(job.id);
    this.conditions.push({ key: live, revision: job.revision });
    // A creation must not bring back a job that is over.
    if (isFinal || job.revision === 0) this.conditions.push({ key: final, revision: 0 });
    if (isFinal) this.writes.push({ put: final, data: record }, { delete: live });
    else this.writes.push({ put: live, data: record });
  }

  /** Deletes a notice that was dealt with. */
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
