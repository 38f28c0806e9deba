/** The machine types that the simulated cloud offers by default. */
import type { MachineType } from '../../src/wire/index.js';

/** One type, available in every zone. */
export const machineTypes: readonly MachineType[] = [
  {
    name: 'small',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 20,
    fetchGbPerSecond: 0.5,
    onDemandPrice: 0.4,
    spotPrice: 0.15,
    bootSeconds: 10,
    zones: ['a', 'b', 'c'],
  },
];
