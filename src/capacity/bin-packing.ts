/** Bins for the scale-out planner: existing or planned machines into which tasks are packed. */
import { RESOURCE_TOLERANCE, type Resources } from '../fleet/resources.js';
import type { Offer } from './types.js';

/** A machine and the resources that are left on it. */
export interface Bin {
  readonly offer: Offer;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Creates a bin with the given free resources. */
export const createBin = (offer: Offer, free: Resources): Bin => ({
  offer,
  cpus: free.cpus,
  gpus: free.gpus,
  memoryGb: free.memoryGb,
});

/** How many tasks of the given size fit into the free resources. */
export const countTaskSlots = (free: Resources, task: Resources): number =>
  Math.floor(
    Math.min(
      free.cpus / task.cpus,
      task.gpus > 0 ? free.gpus / task.gpus : Infinity,
      task.memoryGb > 0 ? free.memoryGb / task.memoryGb : Infinity,
    ) + RESOURCE_TOLERANCE,
  );

/** Packs at most `maxTasks` tasks of the given size into a bin; returns how many were packed. */
export function packTasks(bin: Bin, task: Resources, maxTasks: number): number {
  if (bin.cpus < task.cpus - RESOURCE_TOLERANCE) return 0;
  const count = Math.min(maxTasks, countTaskSlots(bin, task));
  bin.cpus -= count * task.cpus;
  bin.gpus -= count * task.gpus;
  bin.memoryGb -= count * task.memoryGb;
  return count;
}
