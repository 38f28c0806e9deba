/** Fleets for unit tests. */
import { Fleet } from '../../src/fleet/fleet.js';
import { SteadyMs, type DurationMs } from '../../src/units/index.js';

/** A fleet without machines, at the beginning of a term. */
export const emptyFleet = (lease: DurationMs): Fleet =>
  new Fleet({
    startedAt: SteadyMs(0),
    lease,
    cacheSizeOf: () => 20,
    imageHintsFor: () => [],
    resourcesOf: () => undefined,
  });
