import type { MachineType, JobSpec } from '../wire/index.js';

/** What a task takes of its machine, or a machine has. */
export interface Size {
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
}

/** Amounts are decimal numbers, and sums of them are not exact. */
export const EPS = 1e-6;

export const fits = (size: Size, room: Size): boolean =>
  size.cpus <= room.cpus + EPS && size.gpus <= room.gpus + EPS && size.ramGb <= room.ramGb + EPS;

export const sizeOfSpec = (s: JobSpec): Size => ({
  cpus: s.cpus,
  gpus: s.gpus,
  ramGb: s.memoryGb,
});

export const sizeOfFlavor = (f: MachineType): Size => ({
  cpus: f.cpus,
  gpus: f.gpus,
  ramGb: f.memoryGb,
});

export const less = (a: Size, b: Size): Size => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});
