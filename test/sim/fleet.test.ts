import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../standin/world.js';

/** A world whose machines all come up, so that a test finds the fleet that it counts on. */
function sure(seed: number): World {
  const world = new World({ seed });
  world.cloud.neverUp = 0;
  return world;
}

/** A world in which a long job runs and the fleet has been up for longer than any boot takes. */
async function working(seed: number): Promise<{ world: World; fleet: string[] }> {
  const world = sure(seed);
  await world.run(3000);
  world.submit({ entries: 8, vcpus: 3 }, 200_000);
  await world.run(70_000);
  const fleet = [...world.workers.keys()];
  assert.ok(fleet.length >= 2);
  return { world, fleet };
}

void test('a takeover keeps the fleet: listed as running and not yet heard from is no lost boot', async () => {
  const { world, fleet } = await working(11);
  const leader = world.leaderNode() ?? 0;
  world.killNode(leader);
  world.time.after(5000, () => world.startNode(leader));
  await world.run(30_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
  );
  assert.deepEqual(world.broken, []);
});

void test('an outage of the state service keeps the fleet: unanswered reports are no silence', async () => {
  const { world, fleet } = await working(12);
  world.state.outage(true);
  await world.run(34_000);
  world.state.outage(false);
  await world.run(10_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
  );
  assert.deepEqual(world.broken, []);
});

void test('a direct start that arrives long after its job was cancelled runs nothing', async () => {
  // Cancelled before a report could deliver the start, and while the task ran by a report's answer.
  for (const [seed, abortAfter] of [
    [21, 150],
    [22, 8000],
  ] as const) {
    const world = sure(seed);
    await world.run(3000);
    // Its machine holds the image, has room, and is not given back meanwhile.
    const other = world.submit({ entries: 1 }, 300_000);
    await world.run(25_000);
    assert.equal(world.workers.size, 1);
    const before = world.starts;
    world.network.hold('/commands');
    world.submit({ entries: 1 }, 200_000, abortAfter);
    await world.run(abortAfter + 60_000);
    const started = world.starts - before;
    assert.deepEqual(world.unfinished(), [`${other} running`], `cancelled after ${abortAfter} ms`);
    world.network.hold(undefined);
    await world.run(10_000);
    assert.equal(world.starts - before, started, 'the late start is a repeat');
    assert.deepEqual(world.broken, []);
  }
});

void test('a job of very many tasks keeps its record within a value of the store', async () => {
  const world = sure(31);
  await world.run(3000);
  world.submit({ entries: 100_000, vcpus: 0.1, ram_gb: 0.1 }, 2000, 60_000);
  await world.run(100_000);
  assert.ok(world.starts > 500, `${world.starts} tasks started`);
  assert.ok(Math.max(...world.state.sizes) <= 8192);
  assert.deepEqual(world.broken, []);
  assert.deepEqual(world.unfinished(), []);
});

void test('a finish stays with its worker until it is in the store', async () => {
  const world = sure(41);
  await world.run(3000);
  const other = world.submit({ entries: 1 }, 300_000);
  await world.run(25_000);
  const before = world.starts;
  world.submit({ entries: 1 }, 6000);
  await world.run(5000);
  const leader = world.leaderNode() ?? 0;
  world.state.outage(true);
  // It ends while nothing can be written and the leader still answers reports; then that one dies.
  await world.run(3500);
  world.killNode(leader);
  world.state.outage(false);
  world.time.after(3000, () => world.startNode(leader));
  await world.run(30_000);
  assert.deepEqual(world.unfinished(), [`${other} running`]);
  assert.equal(world.starts - before, 1, 'what was finished is not run again');
  assert.deepEqual(world.broken, []);
});
