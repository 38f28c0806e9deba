import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnticipatedWork } from '../../src/leader/anticipated-work.js';
import { SteadyMs, seconds } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';

const at = (s: number): SteadyMs => SteadyMs(seconds(s));
const objectives = [{ kind: 'wait', jobClass: 'merge', within: seconds(5), times: 1 }];

void test('for which jobs room stands by, and for how long', () => {
  const cases: [name: string, change: Partial<JobSpec>, asked: number, stands: boolean][] = [
    ['urgent', { priority: 'high' }, 10, true],
    ['a gang whose users wait for its start', { jobClass: 'merge', kind: 'ensemble' }, 10, true],
    ['an array whose users wait for its start', { jobClass: 'merge' }, 10, false],
    ['another gang', { kind: 'ensemble' }, 10, false],
    ['neither', {}, 10, false],
    ['long ago', { priority: 'high' }, 200, false],
  ];
  for (const [name, change, asked, stands] of cases) {
    const standby = new AnticipatedWork(objectives);
    standby.noteSubmission(spec({ taskCount: 4, cpus: 2, ...change }), at(0));
    // Asked for what to rent first, as while nothing waits: nothing else makes it forget.
    const expected = standby.anticipated(1000, at(asked));
    assert.deepEqual(
      expected.map((e) => e.count),
      stands ? [4] : [],
      name,
    );
    assert.equal(standby.reserve(1000, at(asked)).get('img-01'), stands ? 16 : undefined, name);
  }
});
