/** Amounts of resources that tasks need and machines have. */
import type { MachineType, JobSpec } from '../wire/index.js';

/** What a task needs, or what a machine has. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Tolerance of comparisons: amounts are decimal fractions, and floating-point sums of them are not exact. */
export const RESOURCE_TOLERANCE = 1e-6;

/** Whether the needed resources are within the free ones. */
export const fits = (needed: Resources, free: Resources): boolean =>
  needed.cpus <= free.cpus + RESOURCE_TOLERANCE &&
  needed.gpus <= free.gpus + RESOURCE_TOLERANCE &&
  needed.memoryGb <= free.memoryGb + RESOURCE_TOLERANCE;

/** What each task of a job needs. */
export const taskResources = (spec: JobSpec): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
});

/** The total resources of a machine of a type. */
export const machineResources = (machineType: MachineType): Resources => ({
  cpus: machineType.cpus,
  gpus: machineType.gpus,
  memoryGb: machineType.memoryGb,
});

/** What is left of `total`; negative where `used` exceeds it. */
export const subtractResources = (total: Resources, used: Resources): Resources => ({
  cpus: total.cpus - used.cpus,
  gpus: total.gpus - used.gpus,
  memoryGb: total.memoryGb - used.memoryGb,
});
