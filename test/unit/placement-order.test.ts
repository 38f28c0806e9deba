/** The order in which waiting jobs are placed: deadlines, starvation, ranks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Objective } from '../../src/config/settings.js';
import { Job } from '../../src/ledger/job.js';
import {
  compareQueueEntries,
  nextDeadline,
  queueEntryFor,
} from '../../src/ledger/placement-order.js';
import {
  JobId,
  MachineId,
  Revision,
  SteadyMs,
  WallMs,
  ms,
  seconds,
} from '../../src/units/index.js';
import { JobKind, type JobSpec } from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';

const jobOf = (change: Partial<JobSpec>, number = 1): Job => {
  const id = JobId(`run-${String(number).padStart(6, '0')}`);
  return new Job(id, jobSpec({ id, ...change }), WallMs(0), Revision(1));
};

const objective = (change: Partial<Objective>): Objective => ({
  kind: 'deadline',
  jobClass: 'train',
  within: undefined,
  times: 1,
  ...change,
});

void test('the next deadline is the first that can be met, else the last of all', () => {
  const relaxed = objective({ times: 3 });
  const finished = objective({ kind: 'finished', within: seconds(100) });
  const wait = objective({ kind: 'wait', within: seconds(20) });
  const gang = { kind: JobKind.gang, deadlineSeconds: null, expectedRuntimeSeconds: 10 };
  const cases: [string, Partial<JobSpec>, Objective[], number, number, boolean][] = [
    ['that of the user', { deadlineSeconds: 60 }, [], 0, 60_000, false],
    ['just met', { deadlineSeconds: 60 }, [], 50_000, 60_000, false],
    ['just missed', { deadlineSeconds: 60 }, [], 50_001, 60_000, true],
    ['a multiple of it is left', { deadlineSeconds: 60 }, [relaxed], 50_001, 180_000, false],
    ['all are missed', { deadlineSeconds: 60 }, [relaxed], 200_000, 180_000, true],
    ['of another class', { deadlineSeconds: 60, jobClass: 'x' }, [relaxed], 50_001, 60_000, true],
    ['none is set', { deadlineSeconds: null }, [], 0, 600_000, false],
    ['an objective sets it', { deadlineSeconds: null }, [finished], 0, 100_000, false],
    ['the user comes before it', { deadlineSeconds: 60 }, [finished], 70_000, 60_000, true],
    ['a gang that is to start soon', gang, [wait], 0, 30_000, false],
    ['that is for gangs only', { deadlineSeconds: null }, [wait], 0, 600_000, false],
    ['an unknown kind', { deadlineSeconds: null }, [objective({ kind: 'x' })], 0, 600_000, false],
  ];
  for (const [name, change, objectives, now, dueAt, isLate] of cases) {
    const job = jobOf(change);
    const runtime = ms(10_000);
    assert.deepEqual(nextDeadline(job, objectives, WallMs(now), runtime), { dueAt, isLate }, name);
  }
});

void test('jobs are placed by priority, then those that can be in time, then by deadline and id', () => {
  const now = 100_000;
  const jobs = [
    jobOf({ deadlineSeconds: 300 }, 5),
    jobOf({ deadlineSeconds: 50 }, 6),
    jobOf({ deadlineSeconds: 300 }, 4),
    jobOf({ deadlineSeconds: 200 }, 3),
    jobOf({ priority: 'low', deadlineSeconds: 150 }, 7),
    jobOf({ priority: 'high', deadlineSeconds: 50 }, 2),
    jobOf({ priority: 'prod' }, 1),
  ];
  const order = jobs
    .map((job) => queueEntryFor(job, [], WallMs(now), SteadyMs(now)))
    .sort(compareQueueEntries)
    .map((entry) => Number(entry.job.id.slice(4)));
  assert.deepEqual(order, [1, 2, 3, 4, 5, 6, 7]);
});

void test('a job none of whose tasks was placed for two minutes goes first, with a tenth of them', () => {
  const job = jobOf({ taskCount: 45, priority: 'low' });
  const at = (now: number) => queueEntryFor(job, [], WallMs(now), SteadyMs(now));
  const shown = (now: number) => {
    const { rank, taskCount, mustStart } = at(now);
    return { rank, taskCount, mustStart };
  };
  assert.deepEqual(shown(60_000), { rank: 3, taskCount: 45, mustStart: false });
  assert.deepEqual(shown(60_001), { rank: 3, taskCount: 45, mustStart: true });
  assert.deepEqual(shown(120_000), { rank: 3, taskCount: 45, mustStart: true });
  assert.deepEqual(shown(120_001), { rank: -1, taskCount: 5, mustStart: true });
  const urgent = queueEntryFor(jobOf({ priority: 'prod' }, 2), [], WallMs(0), SteadyMs(0));
  assert.ok(compareQueueEntries(at(120_001), urgent) < 0);
  job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], SteadyMs(120_001));
  assert.deepEqual(shown(240_001), { rank: 3, taskCount: 44, mustStart: false });
  assert.deepEqual(shown(240_002), { rank: -1, taskCount: 5, mustStart: false });
});
