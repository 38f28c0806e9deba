/**
 * A short soak: real controller processes under random faults, and then a time without faults that is longer than any
 * invariant allows a job to wait. Guards against faults that show only between real processes, sockets and clocks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSeed } from '../standin/soak/soak-run.js';

const SEED = 101;

void test('real controllers keep the invariants under random faults', async () => {
  const options = { workers: 12, faultSeconds: 20, quietSeconds: 95 };
  const { startCount, violations } = await runSeed(SEED, options, `target/soak/ci-${SEED}`);
  assert.deepEqual(violations, []);
  assert.ok(startCount > 0, 'no task started');
});
