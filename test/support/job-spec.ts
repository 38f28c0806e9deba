/** Creates job specs for tests. */
import type { JobSpec } from '../../src/wire/index.js';

/** Creates a valid job spec with the given changes. */
export function jobSpec(changes: Partial<JobSpec>): JobSpec {
  return {
    id: 'run-000001',
    jobClass: 'train',
    team: 'vision',
    kind: 'sweep',
    priority: 'normal',
    taskCount: 4,
    cpus: 2,
    gpus: 0,
    memoryGb: 4,
    image: 'img-01',
    imageSizeGb: 1,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    allowSpot: true,
    expectedRuntimeSeconds: 10,
    checkpointIntervalSeconds: 0,
    checkpointSeconds: 0,
    deadlineSeconds: 60,
    ...changes,
  };
}
