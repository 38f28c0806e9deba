/** What the stand-in cloud offers in the tests that bring no offer of their own. */
import type { MachineType } from '../../src/wire/index.js';

/** One type, in every zone. */
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
