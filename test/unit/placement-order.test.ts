/**
 * Checks the order in which waiting jobs are placed: by priority, deadline and starvation. A wrong order misses
 * deadlines that could be met, or leaves a job without any task for minutes while others run.
 */
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

const createJob = (change: Partial<JobSpec>, number = 1): Job => {
  const id = JobId(`run-${String(number).padStart(6, '0')}`);
  return new Job(id, jobSpec({ id, ...change }), WallMs(0), Revision(1));
};

const createObjective = (change: Partial<Objective>): Objective => ({
  kind: 'deadline',
  jobClass: 'train',
  within: undefined,
  deadlineFactor: 1,
  ...change,
});

void test('the next deadline is the first that can still be met, or else the last one', () => {
  const relaxed = createObjective({ deadlineFactor: 3 });
  const finished = createObjective({ kind: 'finished', within: seconds(100) });
  const wait = createObjective({ kind: 'wait', within: seconds(20) });
  const gang = { kind: JobKind.gang, deadlineSeconds: null, expectedRuntimeSeconds: 10 };
  const cases: [string, Partial<JobSpec>, Objective[], number, number, boolean][] = [
    ['the deadline of the user', { deadlineSeconds: 60 }, [], 0, 60_000, false],
    ['the latest time to meet it', { deadlineSeconds: 60 }, [], 50_000, 60_000, false],
    ['just after the latest time to meet it', { deadlineSeconds: 60 }, [], 50_001, 60_000, true],
    [
      'an objective allows a multiple of it',
      { deadlineSeconds: 60 },
      [relaxed],
      50_001,
      180_000,
      false,
    ],
    ['all deadlines are missed', { deadlineSeconds: 60 }, [relaxed], 200_000, 180_000, true],
    [
      'the objective is for another job class',
      { deadlineSeconds: 60, jobClass: 'x' },
      [relaxed],
      50_001,
      60_000,
      true,
    ],
    ['no deadline is set', { deadlineSeconds: null }, [], 0, 600_000, false],
    ['an objective sets the deadline', { deadlineSeconds: null }, [finished], 0, 100_000, false],
    [
      "the user's deadline replaces that of the objective",
      { deadlineSeconds: 60 },
      [finished],
      70_000,
      60_000,
      true,
    ],
    ['a gang with a wait objective', gang, [wait], 0, 30_000, false],
    [
      'an array job with a wait objective, which is for gangs only',
      { deadlineSeconds: null },
      [wait],
      0,
      600_000,
      false,
    ],
    [
      'an objective of an unknown kind',
      { deadlineSeconds: null },
      [createObjective({ kind: 'x' })],
      0,
      600_000,
      false,
    ],
  ];
  for (const [name, change, objectives, now, dueAt, isLate] of cases) {
    const job = createJob(change);
    const runtime = ms(10_000);
    assert.deepEqual(nextDeadline(job, objectives, WallMs(now), runtime), { dueAt, isLate }, name);
  }
});

void test('jobs are ordered by priority, then by whether they can be in time, then by deadline and id', () => {
  const now = 100_000;
  const jobs = [
    createJob({ deadlineSeconds: 300 }, 5),
    createJob({ deadlineSeconds: 50 }, 6),
    createJob({ deadlineSeconds: 300 }, 4),
    createJob({ deadlineSeconds: 200 }, 3),
    createJob({ priority: 'low', deadlineSeconds: 150 }, 7),
    createJob({ priority: 'high', deadlineSeconds: 50 }, 2),
    createJob({ priority: 'prod' }, 1),
  ];
  const order = jobs
    .map((job) => queueEntryFor(job, [], WallMs(now), SteadyMs(now)))
    .sort(compareQueueEntries)
    .map((entry) => Number(entry.job.id.slice(4)));
  assert.deepEqual(order, [1, 2, 3, 4, 5, 6, 7]);
});

void test('a job without a placement for two minutes goes first, with a tenth of its tasks', () => {
  const job = createJob({ taskCount: 45, priority: 'low' });
  const entryAt = (now: number) => queueEntryFor(job, [], WallMs(now), SteadyMs(now));
  const positionAt = (now: number) => {
    const { rank, taskCount, mustStart } = entryAt(now);
    return { rank, taskCount, mustStart };
  };
  assert.deepEqual(positionAt(60_000), { rank: 3, taskCount: 45, mustStart: false });
  assert.deepEqual(positionAt(60_001), { rank: 3, taskCount: 45, mustStart: true });
  assert.deepEqual(positionAt(120_000), { rank: 3, taskCount: 45, mustStart: true });
  assert.deepEqual(positionAt(120_001), { rank: -1, taskCount: 5, mustStart: true });
  const urgent = queueEntryFor(createJob({ priority: 'prod' }, 2), [], WallMs(0), SteadyMs(0));
  assert.ok(compareQueueEntries(entryAt(120_001), urgent) < 0);
  job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], SteadyMs(120_001));
  assert.deepEqual(positionAt(240_001), { rank: 3, taskCount: 44, mustStart: false });
  assert.deepEqual(positionAt(240_002), { rank: -1, taskCount: 5, mustStart: false });
});
