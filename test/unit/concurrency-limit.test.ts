/**
 * How many requests may be in flight to a peer. Guards against a limit that stays high while requests queue at the peer,
 * and against one that stays low once the peer is fast again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConcurrencyLimit, type Permit } from '../../src/relay/concurrency-limit.js';
import { SteadyMs } from '../../src/units/index.js';

/** Acquires as many permits as there are. */
function acquireAll(limit: ConcurrencyLimit, now: number, isPreferred = false): Permit[] {
  const permits: Permit[] = [];
  for (;;) {
    const permit = limit.acquire(SteadyMs(now), isPreferred);
    if (!permit) return permits;
    permits.push(permit);
  }
}

/** Runs rounds in which all permits are used, and returns how many there are afterwards. */
function limitAfter(rounds: number, responseTimeMs: number): number {
  const limit = new ConcurrencyLimit();
  let now = 1000;
  for (let round = 0; round < rounds; round++) {
    const permits = acquireAll(limit, now);
    now += responseTimeMs;
    for (const permit of permits) limit.release(permit, SteadyMs(now));
    now++;
  }
  return acquireAll(limit, now).length;
}

void test('the limit follows the response time of the peer', () => {
  const cases: [rounds: number, responseTimeMs: number, expected: number][] = [
    [0, 0, 128],
    [1, 100, 144],
    [2, 250, 159],
    [500, 10, 1024],
    [3, 450, 128],
    [1, 1200, 89],
    [2, 1200, 64],
    [20, 1200, 64],
  ];
  for (const [rounds, responseTimeMs, expected] of cases) {
    assert.equal(limitAfter(rounds, responseTimeMs), expected, `${rounds} of ${responseTimeMs} ms`);
  }
});

void test('preferred requests find room when others do not', () => {
  const limit = new ConcurrencyLimit();
  assert.equal(acquireAll(limit, 0).length, 128);
  assert.equal(acquireAll(limit, 0, true).length, 32);
});
