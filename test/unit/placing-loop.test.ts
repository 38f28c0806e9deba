/** When placement rounds run: batched, slower if they take long, and none after the loop is closed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { PlacementLoop } from '../../src/leader/placement-loop.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

/** A loop whose rounds take so many milliseconds, and the times at which they began. */
function loopOf(roundTakes: (round: number) => number) {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const startedAt: number[] = [];
  const loop = new PlacementLoop(clock, pino({ level: 'silent' }), () => {
    startedAt.push(time.now);
    time.now += roundTakes(startedAt.length);
  });
  return { time, clock, loop, startedAt };
}

void test('events within the batch delay lead to one placement round', async () => {
  const { time, loop, startedAt } = loopOf(() => 0);
  loop.schedule();
  await time.run(4);
  loop.schedule();
  await time.run(100);
  assert.deepEqual(startedAt, [5]);
  loop.schedule();
  await time.run(200);
  assert.deepEqual(startedAt, [5, 105]);
});

void test('the batch delay follows the duration of the last round, within limits', async () => {
  const durations = [10, 100, 0];
  const { time, loop, startedAt } = loopOf((round) => durations[round - 1] ?? 0);
  for (const until of [1000, 2000, 3000, 4000]) {
    loop.schedule();
    await time.run(until);
  }
  assert.deepEqual(startedAt, [5, 1050, 2150, 3005]);
});

void test('a round that fails does not end the loop', async () => {
  const { time, loop, startedAt } = loopOf((round) => {
    if (round === 1) throw new Error('unreadable');
    return 0;
  });
  for (const until of [100, 200]) {
    loop.schedule();
    await time.run(until);
  }
  assert.deepEqual(startedAt, [5, 105]);
});

void test('no round begins once the loop is closed, not even one that was due', async () => {
  const { time, clock, loop, startedAt } = loopOf(() => 0);
  loop.schedule();
  // The timer fires while the process stands still, so it can no longer be cancelled.
  clock.freeze(true);
  await time.run(50);
  loop.close();
  clock.freeze(false);
  loop.schedule();
  await time.run(100);
  assert.deepEqual(startedAt, []);
});
