/**
 * Checks which submissions keep capacity on standby, how much, and for how long. Without the standby capacity,
 * urgent jobs wait for a boot; if it outlives the submissions that it is for, idle machines are paid for.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandForecast } from '../../src/leader/demand-forecast.js';
import { SteadyMs, seconds } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { jobSpec } from '../support/job-spec.js';

const atSecond = (second: number): SteadyMs => SteadyMs(seconds(second));
const objectives = [{ kind: 'wait', jobClass: 'merge', within: seconds(5), deadlineFactor: 1 }];

void test('capacity is kept for recent urgent jobs and for recent gangs whose users wait for their start', () => {
  const cases: [name: string, change: Partial<JobSpec>, readAt: number, isExpected: boolean][] = [
    ['an urgent job', { priority: 'high' }, 10, true],
    ['a gang whose users wait for its start', { jobClass: 'merge', kind: 'ensemble' }, 10, true],
    ['an array job whose users wait for its start', { jobClass: 'merge' }, 10, false],
    ['a gang without a wait objective', { kind: 'ensemble' }, 10, false],
    ['an array job without a wait objective', {}, 10, false],
    ['an urgent job submitted long ago', { priority: 'high' }, 200, false],
  ];
  for (const [name, change, readAt, isExpected] of cases) {
    const forecast = new DemandForecast(objectives);
    forecast.recordSubmission(jobSpec({ taskCount: 4, cpus: 2, ...change }), atSecond(0));
    // The reserve is not read while no task waits, so the forecast must drop old images itself: it is read first.
    const submissions = forecast.anticipatedSubmissions(1000, atSecond(readAt));
    assert.deepEqual(
      submissions.map((submission) => submission.taskCount),
      isExpected ? [4] : [],
      name,
    );
    assert.equal(
      forecast.reservedCpus(1000, atSecond(readAt)).get('img-01'),
      isExpected ? 16 : undefined,
      name,
    );
  }
});
