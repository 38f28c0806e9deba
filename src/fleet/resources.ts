import type { MachineType, JobSpec } from '../wire/index.js';

/** What a task takes of its machine, or a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Amounts are decimal numbers, and sums of them are not exact. */
export const EPSILON = 1e-6;

export const fits = (size: Resources, room: Resources): boolean =>
  size.cpus <= room.cpus + EPSILON &&
  size.gpus <= room.gpus + EPSILON &&
  size.memoryGb <= room.memoryGb + EPSILON;

export const taskResources = (s: JobSpec): Resources => ({
  cpus: s.cpus,
  gpus: s.gpus,
  memoryGb: s.memoryGb,
});

export const machineResources = (f: MachineType): Resources => ({
  cpus: f.cpus,
  gpus: f.gpus,
  memoryGb: f.memoryGb,
});

export const subtract = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  memoryGb: a.memoryGb - b.memoryGb,
});
