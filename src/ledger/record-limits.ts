/**
 * How large records and transactions may be. The settings may announce that the state service will lower its limits,
 * but not when.
 *
 * Until the lower limits are in force, all records are written in format 1, which the version before reads too. The
 * first refusal of something too large shows that they are. They are lowered only after an upgrade of all nodes, so
 * that from then on every node reads format 2, and records that would not fit in format 1 are written in it.
 */
import type { StoreLimits } from '../config/settings.js';
import type { Epoch } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import type { LiveRecord } from './job-codec.js';
import { encodeCompactRecord, isCompact } from './compact-record.js';
import type { Job } from './job.js';
import { encodeRecordV1 } from './record-v1.js';
import { maxOpenTasksInCompact, encodedSize, maxOpenTasksInV1 } from './record-size.js';
import { recordOf } from './record.js';

/** A live record, and its size as the state service counts it. */
export interface EncodedRecord {
  readonly record: LiveRecord;
  readonly bytes: number;
}

/** The limits that one node keeps to: the present ones and, once they are in force, the announced lower ones. */
export class RecordLimits {
  private lowered = false;
  private readonly minValueBytes: number;
  /** The most changes of one transaction. The lower one of both limits holds from the start. */
  readonly transactionOps: number;

  /** `onLowered` is called once, when the announced limits turn out to be in force. */
  constructor(
    private readonly limits: StoreLimits & { readonly next: StoreLimits | undefined },
    private readonly onLowered: () => void = () => undefined,
  ) {
    const { next } = limits;
    this.minValueBytes = Math.min(limits.valueBytes, next?.valueBytes ?? Infinity);
    this.transactionOps = Math.min(limits.transactionOps, next?.transactionOps ?? Infinity);
  }

  /** Whether the announced limits are in force. */
  get isLowered(): boolean {
    return this.lowered;
  }

  /**
   * Something was refused as too large. Returns true if this shows that the announced limits are in force, and what
   * is written next will be smaller; false if they were known to be, or none are announced.
   */
  recordSizeRefusal(): boolean {
    if (this.lowered || this.limits.next === undefined) return false;
    this.lowered = true;
    this.onLowered();
    return true;
  }

  /** A record was read: one in format 2 shows that another node has seen the lower limits. */
  onRecordRead(data: unknown): void {
    if (!this.lowered && isCompact(data)) this.recordSizeRefusal();
  }

  /** The record of a job in the format that is to be written now. */
  encode(job: Job, epoch: Epoch): EncodedRecord {
    const contents = recordOf(job, epoch);
    const record = encodeRecordV1(contents);
    const bytes = encodedSize(record);
    if (!this.lowered || bytes <= this.minValueBytes) return { record, bytes };
    const compact = encodeCompactRecord(contents);
    return { record: compact, bytes: encodedSize(compact) };
  }

  /**
   * How many tasks of a job may be open at once, so that its record fits however they end; at least one.
   * `longestOtherName`: the length of the longest name of a machine that is not numbered.
   */
  maxOpenTasks(spec: JobSpec, maxUnnumberedNameLength: number): number {
    const limit = this.lowered
      ? this.maxOpenTasksOnceLowered(spec, maxUnnumberedNameLength)
      : maxOpenTasksInV1(spec, this.limits.valueBytes);
    return Math.max(1, limit);
  }

  private maxOpenTasksOnceLowered(spec: JobSpec, maxUnnumberedNameLength: number): number {
    return Math.max(
      maxOpenTasksInV1(spec, this.minValueBytes),
      maxOpenTasksInCompact(spec, this.minValueBytes, maxUnnumberedNameLength),
    );
  }

  /** Whether a job of which at least `openTasks` are open at once can be recorded, now and later. */
  canStoreRecord(spec: JobSpec, openTasks: number): boolean {
    if (openTasks > maxOpenTasksInV1(spec, this.limits.valueBytes)) return false;
    return this.limits.next === undefined || openTasks <= this.maxOpenTasksOnceLowered(spec, 0);
  }
}
