import type { Flavor, JobSpec } from '../wire/index.js';

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
  cpus: s.vcpus,
  gpus: s.gpus,
  ramGb: s.ram_gb,
});

export const sizeOfFlavor = (f: Flavor): Size => ({
  cpus: f.vcpus,
  gpus: f.gpus,
  ramGb: f.ram_gb,
});

export const less = (a: Size, b: Size): Size => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  ramGb: a.ramGb - b.ramGb,
});
