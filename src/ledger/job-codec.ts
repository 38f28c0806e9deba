/**
 * Converts jobs in memory to live records and back. Format 1 is what production writes. Format 2, the compact one, is
 * written only once the state store has lowered its size limit for values (`record-limits.ts`).
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
import {
  RecordError,
  liveRecordContentsOf,
  type LiveRecordContents,
  type WriteId,
} from './live-record-contents.js';
import { decodeRecordV1, encodeRecordV1, type RecordV1 } from './record-v1.js';

/** A live record as it is stored. */
export type LiveRecord = RecordV1 | CompactRecord;

/** Encodes a job in format 1. */
export const encodeJob = (job: Job, epoch: Epoch): RecordV1 =>
  encodeRecordV1(liveRecordContentsOf(job, epoch));

/** Encodes a job in format 2, the compact one. */
export const encodeJobCompactly = (job: Job, epoch: Epoch): CompactRecord =>
  encodeCompactRecord(liveRecordContentsOf(job, epoch));

const count = z.number().int().nonnegative();
const StoredWriteId = z.object({ e: count, v: count });

/** Identifies the write that produced a record, whatever its format; undefined if the record does not tell. */
export function writeIdOf(data: unknown): WriteId | undefined {
  const parsed = StoredWriteId.safeParse(data);
  return parsed.success ? { epoch: parsed.data.e, version: parsed.data.v } : undefined;
}

/** Decodes a live record of either format; throws `RecordError` if that fails. */
export function decodeJob(id: JobId, data: unknown, revision: Revision, now: SteadyMs): Job {
  try {
    const record = isCompact(data) ? decodeCompactRecord(id, data) : decodeRecordV1(data);
    return restoreJob(id, record, revision, now);
  } catch (error) {
    throw new RecordError(`can't decode the record of job ${id}: ${describeError(error)}`, {
      cause: error,
    });
  }
}

function describeError(error: unknown): string {
  const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
  if (issue) return `${issue.path.join('.')}: ${issue.message}`;
  return error instanceof Error ? error.message : String(error);
}

function restoreJob(id: JobId, record: LiveRecordContents, revision: Revision, now: SteadyMs): Job {
  const job = new Job(id, record.spec, record.submittedAt, revision);
  job.waitingTasks.replaceWith(record.waitingTasks);
  job.isCancelled = record.isCancelled;
  job.boundZone = record.boundZone;
  job.nextAttempt = record.nextAttempt;
  for (const { from, to, attempt, machine } of record.placements) {
    for (let index = from; index < to; index++) {
      if (job.waitingTasks.has(index) || job.placements.has(index)) {
        throw new RecordError(`task ${index} is both waiting and placed, or placed twice`);
      }
      job.placements.set(
        index,
        newPlacement({ machine, attempt, version: 0, isInherited: true, placedAt: now }),
      );
    }
  }
  if (job.placements.size > 0) job.lastPlacedAt = now;
  // The tasks of a lost range would be mistaken for done ones.
  if (job.doneCount !== record.doneCount) {
    throw new RecordError(
      `d: ${record.doneCount} tasks are done, but the task ranges imply ${job.doneCount}`,
    );
  }
  job.version = 1;
  job.committedVersion = 1;
  job.committedProgress = job.progress();
  return job;
}
