/**
 * Live records, from a job in memory to what is stored and back. Format 1 is what production writes; format 2,
 * the compact one, is written only once the state service takes smaller values (`record-limits.ts`).
 */
import * as z from 'zod';
import { type Epoch, type JobId, type Revision, type SteadyMs } from '../units/index.js';
import {
  decodeCompactRecord,
  encodeCompactRecord,
  isCompact,
  type CompactRecord,
} from './compact-record.js';
import { Job, newPlacement } from './job.js';
import { decodeRecordV1, encodeRecordV1, type RecordV1 } from './record-v1.js';
import { RecordError, recordOf, type JobRecord, type WriteId } from './record.js';

/** A live record as the state service holds it. */
export type LiveRecord = RecordV1 | CompactRecord;

/** The record of a job in format 1. */
export const encodeJob = (job: Job, epoch: Epoch): RecordV1 => encodeRecordV1(recordOf(job, epoch));

/** The record of a job in the format that takes least space. */
export const encodeJobCompactly = (job: Job, epoch: Epoch): CompactRecord =>
  encodeCompactRecord(recordOf(job, epoch));

const count = z.number().int().nonnegative();
const StoredWriteId = z.object({ e: count, v: count });

/** Who wrote a record, whatever else is in it; undefined if it does not say. */
export function writeIdOf(data: unknown): WriteId | undefined {
  const parsed = StoredWriteId.safeParse(data);
  return parsed.success ? { epoch: parsed.data.e, version: parsed.data.v } : undefined;
}

/** The job that a live record of either format describes; throws `RecordError` if it can't be read. */
export function decodeJob(id: JobId, data: unknown, revision: Revision, now: SteadyMs): Job {
  try {
    const record = isCompact(data) ? decodeCompactRecord(id, data) : decodeRecordV1(data);
    return restoreJob(id, record, revision, now);
  } catch (error) {
    throw new RecordError(`record of ${id}: ${describeError(error)}`, { cause: error });
  }
}

function describeError(error: unknown): string {
  const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
  if (issue) return `${issue.path.join('.')}: ${issue.message}`;
  return error instanceof Error ? error.message : String(error);
}

function restoreJob(id: JobId, record: JobRecord, revision: Revision, now: SteadyMs): Job {
  const job = new Job(id, record.spec, record.submittedAt, revision);
  job.waitingTasks.replaceWith(record.waitingTasks);
  job.isCancelled = record.isCancelled;
  job.boundZone = record.boundZone;
  job.nextAttempt = record.nextAttempt;
  for (const { from, to, attempt, machine } of record.placements) {
    for (let index = from; index < to; index++) {
      if (job.waitingTasks.has(index) || job.placements.has(index)) {
        throw new RecordError(`task ${index} is in two states`);
      }
      job.placements.set(
        index,
        newPlacement({ machine, attempt, version: 0, isInherited: true, placedAt: now }),
      );
    }
  }
  if (job.placements.size > 0) job.lastPlacedAt = now;
  // A range that was lost would pass for finished work.
  if (job.doneCount !== record.doneCount) {
    throw new RecordError(`d: ${record.doneCount} tasks done, by the ranges ${job.doneCount}`);
  }
  job.version = 1;
  job.committedVersion = 1;
  job.committedProgress = job.progress();
  return job;
}
