/** One transaction of the commit loop: the records of several jobs, each with the revision that it replaces. */
import type { Epoch } from '../units/index.js';
import type { Condition, Write } from '../wire/index.js';
import { LEADER_KEY, doneKey, encodeFinal, liveKey, sizeOf } from './codec.js';
import { Press, type Final, type Job, type Shown } from './job.js';
import type { RecordLimits } from './record-limits.js';

/** A transaction may hold 64 KiB in all. */
const MAX_TXN_BYTES = 56 * 1024;
/** What a record's key and conditions take beside it. */
const KEY_BYTES = 200;

/** A job as a transaction records it. */
export interface Sent {
  readonly job: Job;
  readonly version: number;
  readonly shown: Shown;
  readonly press: Press;
  readonly final: Final | undefined;
}

export interface Batch {
  readonly sent: readonly Sent[];
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /** Keys of notices that it deletes. */
  readonly notices: readonly string[];
}

/** What remains of a job once it is over. One that was never written can't be: nothing of it ran. */
const finalOf = (job: Job): Final | undefined =>
  job.settled && job.revision > 0 ? job.final() : undefined;

/** How many changes the next record of a job takes. */
export const changesOf = (job: Job): number => (finalOf(job) ? 2 : 1);

export class BatchBuilder {
  private readonly sent: Sent[] = [];
  private readonly conditions: Condition[];
  private readonly writes: Write[] = [];
  private readonly notices: string[] = [];
  private bytes = 0;

  constructor(
    private readonly epoch: Epoch,
    private readonly limits: RecordLimits,
    /** How many changes it may hold. */
    private readonly most: number,
  ) {
    this.conditions = [{ key: LEADER_KEY, revision: epoch }];
  }

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  hasRoomFor(changes: number): boolean {
    return this.writes.length + changes <= this.most;
  }

  /** Takes a job's present state in; false if its record is too large to go with the others. */
  add(job: Job): boolean {
    const final = finalOf(job);
    const { record, bytes } = final
      ? sized(encodeFinal(final))
      : this.limits.encode(job, this.epoch);
    const size = bytes + KEY_BYTES;
    if (this.bytes > 0 && this.bytes + size > MAX_TXN_BYTES) return false;
    this.bytes += size;
    this.write(job, record, final !== undefined);
    this.sent.push({
      job,
      version: job.version,
      press: job.press,
      shown: { aborted: job.aborted, done: job.doneCount, running: job.placed.size },
      final,
    });
    job.inFlight = true;
    job.turning = job.endUnsure || final !== undefined || job.aborted !== job.shown.aborted;
    job.press = Press.none;
    return true;
  }

  private write(job: Job, record: unknown, isOver: boolean): void {
    const key = liveKey(job.id);
    this.conditions.push({ key, revision: job.revision });
    // A creation must not bring back a job that is over.
    if (isOver || job.revision === 0) this.conditions.push({ key: doneKey(job.id), revision: 0 });
    if (isOver) this.writes.push({ put: doneKey(job.id), data: record }, { delete: key });
    else this.writes.push({ put: key, data: record });
  }

  /** Deletes a notice that was dealt with. */
  forget(notice: string): void {
    this.writes.push({ delete: notice });
    this.notices.push(notice);
  }

  build(): Batch {
    const { sent, conditions, writes, notices } = this;
    return { sent, conditions, writes, notices };
  }
}

const sized = (record: unknown): { record: unknown; bytes: number } => ({
  record,
  bytes: sizeOf(record),
});
