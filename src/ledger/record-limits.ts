/**
 * The size limits of records and transactions. The settings may announce that the state store will lower its limits,
 * but not when.
 *
 * Until the lower limits are in force, all records are written in format 1, which the previous version of this service
 * can read too. The first refusal of a transaction as too large shows that they are in force. The limits are lowered
 * only after all controllers are upgraded. So from then on every controller reads format 2, and records that would not
 * fit in format 1 are written in format 2.
 */
import type { StoreLimits } from '../config/settings.js';
import type { Epoch } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import { encodeCompactRecord, isCompact } from './compact-record.js';
import type { LiveRecord } from './job-codec.js';
import type { Job } from './job.js';
import { liveRecordContentsOf } from './live-record-contents.js';
import { maxOpenTasksInCompact, encodedSize, maxOpenTasksInV1 } from './record-size.js';
import { encodeRecordV1 } from './record-v1.js';

/** A live record and its size as the state store counts it. */
export interface EncodedRecord {
  readonly record: LiveRecord;
  readonly bytes: number;
}

/** The limits that a controller applies: the current ones and, once they are in force, the announced lower ones. */
export class RecordLimits {
  private lowered = false;
  private readonly minValueBytes: number;
  /** The maximum number of operations in a transaction. The lower of the two limits applies from the start. */
  readonly transactionOps: number;

  /** `onLowered` is called once, when the announced limits are found to be in force. */
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
   * Records that the store refused a transaction as too large. Returns true if this shows that the announced limits
   * are in force, so that later records are encoded smaller; false if that was known or no limits are announced.
   */
  onSizeRefusal(): boolean {
    if (this.lowered || this.limits.next === undefined) return false;
    this.lowered = true;
    this.onLowered();
    return true;
  }

  /** Checks a record that was read: format 2 shows that another controller has found the lower limits in force. */
  onRecordRead(data: unknown): void {
    if (!this.lowered && isCompact(data)) this.onSizeRefusal();
  }

  /** Encodes a job in the format that must be written now. */
  encode(job: Job, epoch: Epoch): EncodedRecord {
    const contents = liveRecordContentsOf(job, epoch);
    const record = encodeRecordV1(contents);
    const bytes = encodedSize(record);
    if (!this.lowered || bytes <= this.minValueBytes) return { record, bytes };
    const compact = encodeCompactRecord(contents);
    return { record: compact, bytes: encodedSize(compact) };
  }

  /**
   * How many tasks of a job may be open at once, so that its record fits in whatever order they end; at least one.
   * `maxUnnumberedNameLength` is the length of the longest machine name that does not end in a number.
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

  /** Whether the record of a job with at least `openTasks` open tasks fits, under the current and announced limits. */
  canStoreRecord(spec: JobSpec, openTasks: number): boolean {
    if (openTasks > maxOpenTasksInV1(spec, this.limits.valueBytes)) return false;
    return this.limits.next === undefined || openTasks <= this.maxOpenTasksOnceLowered(spec, 0);
  }
}
