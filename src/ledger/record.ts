/**
 * The contents of a job's live record with named fields, whatever format it is stored in. `record-v1.ts` and
 * `compact-record.ts` map them to the two stored formats.
 */
import type { Attempt, Epoch, MachineId, WallMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import type { IndexRange } from './index-ranges.js';
import type { Job } from './job.js';

/** A stored record can't be read, or contradicts itself. */
export class RecordError extends Error {}

/** Tasks with successive indexes that one attempt placed on one machine: `from` to `to`, without `to`. */
export interface PlacedRun {
  readonly from: number;
  readonly to: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
}

/** Which version of a job under which epoch a record is: tells our own late write from another's. */
export interface WriteId {
  readonly epoch: number;
  readonly version: number;
}

/** What a live record says of a job. Its id is in the key. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: WallMs;
  readonly isCancelled: boolean;
  /** The zone that a job of a single zone is bound to, once it was placed. */
  readonly boundZone: string | undefined;
  readonly nextAttempt: Attempt;
  /**
   * How many tasks are done: all that neither wait nor are placed. It follows from the other fields, and is
   * stored beside them so that a range that was lost can't pass for finished work.
   */
  readonly doneCount: number;
  readonly waitingTasks: readonly IndexRange[];
  /** Lowest index first. */
  readonly placements: readonly PlacedRun[];
  readonly writeId: WriteId;
}

/** The record of a job as it is now. */
export const recordOf = (job: Job, epoch: Epoch): JobRecord => ({
  spec: job.spec,
  submittedAt: job.submittedAt,
  isCancelled: job.isCancelled,
  boundZone: job.boundZone,
  nextAttempt: job.nextAttempt,
  doneCount: job.doneCount,
  waitingTasks: job.waitingTasks.toArray(),
  placements: placedRuns(job),
  writeId: { epoch, version: job.version },
});

function placedRuns(job: Job): PlacedRun[] {
  const runs: PlacedRun[] = [];
  for (const [index, { machine, attempt }] of [...job.placements].sort((a, b) => a[0] - b[0])) {
    const last = runs.at(-1);
    if (last?.to === index && last.attempt === attempt && last.machine === machine) {
      runs[runs.length - 1] = { ...last, to: index + 1 };
    } else runs.push({ from: index, to: index + 1, attempt, machine });
  }
  return runs;
}
