/** Sequences of what happens to a job, for properties that hold after any of them. */
import type { Job } from '../../src/ledger/job.js';
import { SteadyMs, type MachineId } from '../../src/units/index.js';

/** What bounds a sequence, and where its tasks are placed. */
export interface Play {
  /** How many tasks of the job may be open at once. */
  readonly limit: number;
  /** How many tasks are placed at once at most; how many of them it is depends on the move's pick. */
  readonly batch: number;
  readonly machineOf: (pick: number, index: number) => MachineId;
}

/** One thing that happens; a kind of 2 or more is the loss of a task. */
export type Move = readonly [kind: number, pick: number];

const PLACE = 0;
const COMPLETE = 1;

/** Places a batch of tasks as the leader would, lowest index first. */
function placeBatch(job: Job, pick: number, { limit, batch, machineOf }: Play): void {
  const tasks: { index: number; machine: MachineId }[] = [];
  for (const index of job.waiting.indexes()) {
    if (tasks.length > pick % batch || job.openTaskCount + tasks.length >= limit) break;
    tasks.push({ index, machine: machineOf(pick, index) });
  }
  if (tasks.length > 0) job.placeTasks(tasks, SteadyMs(0));
}

/** Plays moves on a job: placements, and completions and losses of the placed task that the pick chooses. */
export function play(job: Job, moves: readonly Move[], options: Play): void {
  for (const [kind, pick] of moves) {
    if (kind === PLACE) {
      placeBatch(job, pick, options);
      continue;
    }
    const placed = [...job.placements.keys()];
    const chosen = placed[pick % Math.max(1, placed.length)];
    if (chosen === undefined) continue;
    if (kind === COMPLETE) job.complete(chosen);
    else job.requeue(chosen);
  }
}
