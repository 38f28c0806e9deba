/** The permanent record of a finished job. It is written once and never changed. */
import * as z from 'zod';
import { JobStatus, TEAM_FIELD } from '../wire/index.js';
import type { FinalState } from './job.js';
import { RecordError } from './live-record-contents.js';
import { FORMAT_V1 } from './record-v1.js';

const count = z.number().int().nonnegative();

const FinalRecord = z.object({
  /** The format number. */
  f: z.literal(FORMAT_V1),
  /** The status. */
  s: z.enum([JobStatus.done, JobStatus.cancelled]),
  /** How many tasks the job had. */
  n: count,
  /** How many of them are done. */
  d: count,
  [TEAM_FIELD]: z.string(),
  /** The reason for the status. */
  why: z.string(),
});

/** A final record as it is stored. */
export type FinalRecord = z.infer<typeof FinalRecord>;

/** Encodes the final record of a job. */
export const encodeFinal = (final: FinalState): FinalRecord => ({
  f: FORMAT_V1,
  s: final.status,
  n: final.taskCount,
  d: final.doneCount,
  [TEAM_FIELD]: final.team,
  why: final.reason,
});

/** Decodes a final record; throws `RecordError` if the data are invalid. */
export function decodeFinal(data: unknown): FinalState {
  const parsed = FinalRecord.safeParse(data);
  if (!parsed.success)
    throw new RecordError("can't decode the final record of a job", { cause: parsed.error });
  const { s: status, n: taskCount, d: doneCount, [TEAM_FIELD]: team, why: reason } = parsed.data;
  return { status, taskCount, doneCount, team, reason };
}
