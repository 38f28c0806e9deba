/** Changes of a job as a leader makes them, in a drawn order. */
import type { Job } from '../../src/ledger/job.js';
import { SteadyMs, type MachineId } from '../../src/units/index.js';

/** A change, and a number that picks what is changed: tasks are placed (0), or one that is ends (1) or is lost. */
export type JobChange = readonly [kind: number, pick: number];

/** How tasks are placed. */
export interface PlacementRules {
  /** How many tasks of the job may be open at once. */
  readonly maxOpenTasks: number;
  /** So many tasks are placed at once at most: one more than the remainder of the pick by this. */
  readonly maxBatchSize: number;
  readonly machineFor: (pick: number, index: number) => MachineId;
}

/** Makes the changes one after the other. Tasks are placed lowest index first. */
export function applyJobChanges(
  job: Job,
  moves: readonly JobChange[],
  { maxOpenTasks: maxOpen, maxBatchSize: batch, machineFor: machineOf }: PlacementRules,
): void {
  for (const [kind, pick] of moves) {
    const placed = [...job.placements.keys()];
    const chosen = placed[pick % Math.max(1, placed.length)];
    if (kind === 0) {
      const tasks: { index: number; machine: MachineId }[] = [];
      for (const index of job.waitingTasks.indexes()) {
        if (tasks.length > pick % batch || job.openTaskCount + tasks.length >= maxOpen) break;
        tasks.push({ index, machine: machineOf(pick, index) });
      }
      if (tasks.length > 0) job.placeTasks(tasks, SteadyMs(0));
    } else if (chosen !== undefined) {
      if (kind === 1) job.completeTask(chosen);
      else job.requeueTask(chosen);
    }
  }
}
