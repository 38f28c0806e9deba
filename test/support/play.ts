import type { Job } from '../../src/ledger/job.js';
import { SteadyMs, type MachineId } from '../../src/units/index.js';

export interface Play {
  /** How many of its tasks may be open at once. */
  readonly limit: number;
  /** Placed at once: at most the number picked modulo this, and one. */
  readonly batch: number;
  readonly machineOf: (pick: number, index: number) => MachineId;
}

/** Plays placements (0), ends (1) and losses on a job as the leader would, lowest index first. */
export function play(
  job: Job,
  moves: readonly (readonly [kind: number, pick: number])[],
  { limit, batch, machineOf }: Play,
): void {
  for (const [kind, pick] of moves) {
    const placed = [...job.placements.keys()];
    const chosen = placed[pick % Math.max(1, placed.length)];
    if (kind === 0) {
      const tasks: { index: number; machine: MachineId }[] = [];
      for (const index of job.waiting.indexes()) {
        if (tasks.length > pick % batch || job.openTaskCount + tasks.length >= limit) break;
        tasks.push({ index, machine: machineOf(pick, index) });
      }
      if (tasks.length > 0) job.placeTasks(tasks, SteadyMs(0));
    } else if (chosen !== undefined) {
      if (kind === 1) job.complete(chosen);
      else job.requeue(chosen);
    }
  }
}
