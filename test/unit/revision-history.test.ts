/** Since when a revision has been in the store. Guards against an end of a job that counts as older than it is. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RevisionHistory } from '../../src/store/revision-history.js';
import { Revision, SteadyMs } from '../../src/units/index.js';

void test('the store had reached a revision by the first response that showed it or a later one', () => {
  const history = new RevisionHistory();
  const record = (revision: number, now: number): void =>
    history.record(Revision(revision), SteadyMs(now));
  record(10, 1000);
  record(20, 1100);
  record(30, 1300);
  record(25, 1400);
  const cases: [name: string, revision: number, expected: number][] = [
    ['shown by a response', 20, 1100],
    ['between two responses', 15, 1100],
    ['before the first response', 5, 1000],
    ['in a response that arrived after a newer one', 25, 1300],
    ['not shown by any response before', 40, 1500],
  ];
  for (const [name, revision, expected] of cases)
    assert.equal(history.reachedBy(Revision(revision), SteadyMs(1500)), expected, name);
  record(50, 5000);
  record(60, 9000);
  assert.equal(history.reachedBy(Revision(5), SteadyMs(9000)), 5000, 'long before');
});
