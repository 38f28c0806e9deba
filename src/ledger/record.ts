/** What a live record says of a job, whatever its format. */
import type { JobSpec } from '../wire/index.js';
import type { Attempt, MachineId } from '../units/index.js';
import type { Job } from './job.js';

export class RecordError extends Error {}

/** Tasks with successive indexes that one attempt placed on one machine. */
export interface PlacedRun {
  readonly from: number;
  readonly to: number;
  readonly attempt: Attempt;
  readonly machine: MachineId;
}

export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  readonly cancelled: boolean;
  readonly boundZone: string | undefined;
  readonly nextAttempt: number;
  /** How many tasks are done: all that neither wait nor are placed. */
  readonly doneCount: number;
  readonly waiting: readonly (readonly [number, number])[];
  readonly placements: readonly PlacedRun[];
}

/** The placed tasks of a job, lowest index first. */
export function placedRuns(job: Job): PlacedRun[] {
  const runs: PlacedRun[] = [];
  for (const [index, { machine, attempt }] of [...job.placements].sort((a, b) => a[0] - b[0])) {
    const last = runs.at(-1);
    if (last && last.to === index && last.attempt === attempt && last.machine === machine) {
      runs[runs.length - 1] = { ...last, to: index + 1 };
    } else runs.push({ from: index, to: index + 1, attempt, machine });
  }
  return runs;
}
