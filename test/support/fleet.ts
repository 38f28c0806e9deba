import { Fleet } from '../../src/fleet/fleet.js';
import { SteadyMs, type DurationMs } from '../../src/units/index.js';

/** A fleet that knows nothing yet, under an epoch that has just begun. */
export const emptyFleet = (lease: DurationMs): Fleet =>
  new Fleet({
    startedAt: SteadyMs(0),
    lease,
    cacheSizeOf: () => 20,
    imageHintsFor: () => [],
    resourcesOf: () => undefined,
  });
