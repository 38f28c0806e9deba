/**
 * The contents of a job's live record with named fields, independent of the stored format. `record-v1.ts` and
 * `compact-record.ts` convert them to and from the two stored formats.
 */
import type { Attempt, Epoch, MachineId, WallMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import type { IndexRange } from './index-ranges.js';
import type { Job } from './job.js';

/** Thrown if a stored record can't be decoded or is inconsistent. */
export class RecordError extends Error {}

/** Consecutive tasks, from `from` to before `to`, that are placed on one machine with one attempt number. */
export interface PlacedRun {
  readonly from: number;
  readonly to: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
}

/** Identifies the write that produced a record, so that a controller recognizes its own write if it is applied late. */
export interface WriteId {
  readonly epoch: number;
  readonly version: number;
}

/** The contents of a live record. The job's id is in the key. */
export interface LiveRecordContents {
  readonly spec: JobSpec;
  readonly submittedAt: WallMs;
  readonly isCancelled: boolean;
  /** The zone of a job whose tasks must all be in one zone; undefined before the job is placed. */
  readonly boundZone: string | undefined;
  readonly nextAttempt: Attempt;
  /**
   * How many tasks are done: all that neither wait nor are placed. This follows from the other fields. It is stored
   * as well, so that the tasks of a lost range are not mistaken for done ones.
   */
  readonly doneCount: number;
  readonly waitingTasks: readonly IndexRange[];
  /** Lowest index first. */
  readonly placements: readonly PlacedRun[];
  readonly writeId: WriteId;
}

/** The record of a job in its current version. */
export const liveRecordContentsOf = (job: Job, epoch: Epoch): LiveRecordContents => ({
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
