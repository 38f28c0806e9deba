/** For which submissions capacity is kept on standby, how much, and for how long. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DemandForecast } from '../../src/leader/demand-forecast.js';
import { SteadyMs, seconds } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';

const at = (time: number): SteadyMs => SteadyMs(seconds(time));
const objectives = [{ kind: 'wait', jobClass: 'merge', within: seconds(5), times: 1 }];

void test('capacity is kept for urgent jobs and awaited gangs, as long as they are recent', () => {
  const cases: [name: string, change: Partial<JobSpec>, askedAt: number, isExpected: boolean][] = [
    ['urgent', { priority: 'high' }, 10, true],
    ['a gang whose users wait for its start', { jobClass: 'merge', kind: 'ensemble' }, 10, true],
    ['an array whose users wait for its start', { jobClass: 'merge' }, 10, false],
    ['another gang', { kind: 'ensemble' }, 10, false],
    ['neither', {}, 10, false],
    ['long ago', { priority: 'high' }, 200, false],
  ];
  for (const [name, change, askedAt, isExpected] of cases) {
    const work = new DemandForecast(objectives);
    work.recordSubmission(spec({ taskCount: 4, cpus: 2, ...change }), at(0));
    // The forecast is read before the reserve, which is not read while nothing waits: it drops old images itself.
    const forecast = work.anticipatedSubmissions(1000, at(askedAt));
    assert.deepEqual(
      forecast.map((submission) => submission.taskCount),
      isExpected ? [4] : [],
      name,
    );
    assert.equal(
      work.reservedCpus(1000, at(askedAt)).get('img-01'),
      isExpected ? 16 : undefined,
      name,
    );
  }
});
