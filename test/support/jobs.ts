import type { JobSpec } from '../../src/wire/index.js';

/** A valid submission, with what a case changes. */
export function spec(change: Partial<JobSpec>): JobSpec {
  return {
    name_id: 'run-000001',
    docket: 'train',
    desk: 'vision',
    shape: 'sweep',
    urgency: 'normal',
    entries: 4,
    vcpus: 2,
    gpus: 0,
    ram_gb: 4,
    bundle: 'img-01',
    size_gb: 1,
    builds: null,
    hall: null,
    together: false,
    apart: false,
    loaners: true,
    expected_s: 10,
    stamp_every_s: 0,
    stamp_s: 0,
    due_s: 60,
    ...change,
  };
}
