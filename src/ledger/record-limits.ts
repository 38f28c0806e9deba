/**
 * How large records and transactions may be, when the state service is to lower its limits at some moment
 * that nobody announces.
 *
 * Until then a record that fits both limits, or none but the present one, is written in format 1, which
 * the version before reads too. The first refusal of something too large shows that the moment has come; it
 * comes after an upgrade, so that from then on every node reads format 2.
 */
import type { StoreLimits } from '../config/settings.js';
import type { Epoch } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import {
  compactOpenTaskLimit,
  encodeJob,
  encodeJobCompactly,
  isCompact,
  openTaskLimit,
  encodedSize,
  type LiveRecord,
} from './codec.js';
import type { Job } from './job.js';

export interface EncodedRecord {
  readonly record: LiveRecord;
  readonly bytes: number;
}

export class RecordLimits {
  private lowered = false;
  private readonly minValueBytes: number;
  /** The most changes of one transaction, under the present limits and under those to come. */
  readonly transactionOps: number;

  constructor(
    private readonly limits: StoreLimits & { readonly next: StoreLimits | undefined },
    /** The limits to come are in force. */
    private readonly onLowered: () => void = () => undefined,
  ) {
    const { next } = limits;
    this.minValueBytes = Math.min(limits.valueBytes, next?.valueBytes ?? Infinity);
    this.transactionOps = Math.min(limits.transactionOps, next?.transactionOps ?? Infinity);
  }

  get isLowered(): boolean {
    return this.lowered;
  }

  /** Something was refused as too large; true if that is news, and what is written next will be smaller. */
  noteRefusal(): boolean {
    if (this.lowered || this.limits.next === undefined) return false;
    this.lowered = true;
    this.onLowered();
    return true;
  }

  /** A record was read: one in format 2 shows that another node met the new limits. */
  noteRecord(data: unknown): void {
    if (!this.lowered && isCompact(data)) this.noteRefusal();
  }

  encode(job: Job, epoch: Epoch): EncodedRecord {
    const record = encodeJob(job, epoch);
    const bytes = encodedSize(record);
    if (!this.lowered || bytes <= this.minValueBytes) return { record, bytes };
    const compact = encodeJobCompactly(job, epoch);
    return { record: compact, bytes: encodedSize(compact) };
  }

  /** How many tasks of a job may be open at once, so that its record fits however they end. */
  openTasks(spec: JobSpec, longestOtherName: number): number {
    const most = this.lowered
      ? this.openTasksLowered(spec, longestOtherName)
      : openTaskLimit(spec, this.limits.valueBytes);
    return Math.max(1, most);
  }

  private openTasksLowered(spec: JobSpec, longestOtherName: number): number {
    return Math.max(
      openTaskLimit(spec, this.minValueBytes),
      compactOpenTaskLimit(spec, this.minValueBytes, longestOtherName),
    );
  }

  /** Whether a job with so many open tasks at the least can be recorded, now and later. */
  canRecord(spec: JobSpec, openTasks: number): boolean {
    if (openTasks > openTaskLimit(spec, this.limits.valueBytes)) return false;
    return this.limits.next === undefined || openTasks <= this.openTasksLowered(spec, 0);
  }
}
