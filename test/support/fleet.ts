/** Creates fleets and placed tasks for unit tests. */
import assert from 'node:assert/strict';
import { Fleet } from '../../src/fleet/fleet.js';
import { taskResources } from '../../src/fleet/resources.js';
import { Job, type Placement } from '../../src/ledger/job.js';
import {
  JobId,
  Revision,
  SteadyMs,
  WallMs,
  taskKey,
  type DurationMs,
  type MachineId,
  type TaskKey,
} from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { jobSpec } from './job-spec.js';

/** Creates a fleet without machines, as at the start of a term. */
export const emptyFleet = (lease: DurationMs): Fleet =>
  new Fleet({
    startedAt: SteadyMs(0),
    lease,
    cacheSizeOf: () => 20,
    imageHintsFor: () => [],
    resourcesOf: () => undefined,
  });

/** A task that is placed on a machine, with its job. */
export interface PlacedTask {
  readonly job: Job;
  readonly placement: Placement;
  readonly key: TaskKey;
}

/** Creates a job with one task, which is placed on the machine and whose record is committed. */
export function createPlacedTask(
  fleet: Fleet,
  machine: MachineId,
  now: SteadyMs,
  change: Partial<JobSpec> = {},
): PlacedTask {
  const job = new Job(
    JobId('run-000001'),
    jobSpec({ taskCount: 1, ...change }),
    WallMs(0),
    Revision(1),
  );
  job.placeTasks([{ index: 0, machine }], now);
  job.committedVersion = job.version;
  const placement = job.placements.get(0);
  assert.ok(placement);
  const key = taskKey(job.id, 0);
  fleet.assign(machine, key, {
    job: job.id,
    index: 0,
    attempt: placement.attempt,
    resources: taskResources(job.spec),
    image: job.spec.image,
    placedAt: now,
  });
  return { job, placement, key };
}
