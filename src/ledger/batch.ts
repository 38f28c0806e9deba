/** One transaction of the commit loop: the records of several jobs, each with the revision that it replaces. */
import type { Epoch } from '../units/index.js';
import type { Condition, Write } from '../wire/index.js';
import { LEADER_KEY, finalKey, encodeFinal, liveKey, encodedSize } from './codec.js';
import { WritePriority, type FinalState, type Job, type CommittedProgress } from './job.js';
import type { RecordLimits } from './record-limits.js';

/** A transaction may hold 64 KiB in all. */
const MAX_TRANSACTION_BYTES = 56 * 1024;
/** What a record's key and conditions take beside it. */
const KEY_BYTES = 200;

/** A job as a transaction records it. */
export interface PendingRecord {
  readonly job: Job;
  readonly version: number;
  readonly progress: CommittedProgress;
  readonly writePriority: WritePriority;
  readonly finalState: FinalState | undefined;
}

export interface Batch {
  readonly records: readonly PendingRecord[];
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /** Keys of notices that it deletes. */
  readonly noticeKeys: readonly string[];
}

/** What remains of a job once it is over. One that was never written can't be: nothing of it ran. */
const finalStateOf = (job: Job): FinalState | undefined =>
  job.isSettled && job.revision > 0 ? job.finalState() : undefined;

/** How many changes the next record of a job takes. */
export const changeCountOf = (job: Job): number => (finalStateOf(job) ? 2 : 1);

export class BatchBuilder {
  private readonly records: PendingRecord[] = [];
  private readonly conditions: Condition[];
  private readonly writes: Write[] = [];
  private readonly noticeKeys: string[] = [];
  private bytes = 0;

  constructor(
    private readonly epoch: Epoch,
    private readonly limits: RecordLimits,
    /** How many changes it may hold. */
    private readonly maxChanges: number,
  ) {
    this.conditions = [{ key: LEADER_KEY, revision: epoch }];
  }

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  hasRoomFor(changes: number): boolean {
    return this.writes.length + changes <= this.maxChanges;
  }

  /** Takes a job's present state in; false if its record is too large to go with the others. */
  add(job: Job): boolean {
    const final = finalStateOf(job);
    const { record, bytes } = final
      ? sized(encodeFinal(final))
      : this.limits.encode(job, this.epoch);
    const size = bytes + KEY_BYTES;
    if (this.bytes > 0 && this.bytes + size > MAX_TRANSACTION_BYTES) return false;
    this.bytes += size;
    this.write(job, record, final !== undefined);
    this.records.push({
      job,
      version: job.version,
      writePriority: job.writePriority,
      progress: { cancelled: job.cancelled, done: job.doneCount, running: job.placements.size },
      finalState: final,
    });
    job.writeInFlight = true;
    job.terminalWriteInFlight =
      job.terminalOutcomeUnknown ||
      final !== undefined ||
      job.cancelled !== job.committedProgress.cancelled;
    job.writePriority = WritePriority.none;
    return true;
  }

  private write(job: Job, record: unknown, isOver: boolean): void {
    const key = liveKey(job.id);
    this.conditions.push({ key, revision: job.revision });
    // A creation must not bring back a job that is over.
    if (isOver || job.revision === 0) this.conditions.push({ key: finalKey(job.id), revision: 0 });
    if (isOver) this.writes.push({ put: finalKey(job.id), data: record }, { delete: key });
    else this.writes.push({ put: key, data: record });
  }

  /** Deletes a notice that was dealt with. */
  deleteNotice(notice: string): void {
    this.writes.push({ delete: notice });
    this.noticeKeys.push(notice);
  }

  build(): Batch {
    const { records: sent, conditions, writes, noticeKeys: notices } = this;
    return { records: sent, conditions, writes, noticeKeys: notices };
  }
}

const sized = (record: unknown): { record: unknown; bytes: number } => ({
  record,
  bytes: encodedSize(record),
});
