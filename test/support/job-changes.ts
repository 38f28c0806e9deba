/** Random sequences of the changes that a leader makes to a job, for property tests. */
import type { Job } from '../../src/ledger/job.js';
import { SteadyMs, type MachineId } from '../../src/units/index.js';

/**
 * A change of a job. Kind 0 places waiting tasks, kind 1 completes a placed task, any other kind requeues a placed
 * task as lost. `pick` is a random number that selects the tasks and machines.
 */
export type JobChange = readonly [kind: number, pick: number];

/** How `applyJobChanges` places tasks. */
export interface PlacementRules {
  /** The most tasks of the job that may be open at once. */
  readonly maxOpenTasks: number;
  /** The most tasks that one change places: it places up to `pick % maxBatchSize + 1`. */
  readonly maxBatchSize: number;
  readonly machineFor: (pick: number, index: number) => MachineId;
}

/** Applies the changes in order. Tasks are placed lowest index first. */
export function applyJobChanges(
  job: Job,
  changes: readonly JobChange[],
  { maxOpenTasks, maxBatchSize, machineFor }: PlacementRules,
): void {
  for (const [kind, pick] of changes) {
    const placed = [...job.placements.keys()];
    const selectedTask = placed[pick % Math.max(1, placed.length)];
    if (kind === 0) {
      const tasks: { index: number; machine: MachineId }[] = [];
      for (const index of job.waitingTasks.indexes()) {
        if (tasks.length > pick % maxBatchSize || job.openTaskCount + tasks.length >= maxOpenTasks)
          break;
        tasks.push({ index, machine: machineFor(pick, index) });
      }
      if (tasks.length > 0) job.placeTasks(tasks, SteadyMs(0));
    } else if (selectedTask !== undefined) {
      if (kind === 1) job.completeTask(selectedTask);
      else job.requeueTask(selectedTask);
    }
  }
}
