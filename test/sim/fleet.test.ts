/** Worlds in which the fleet is at stake: what keeps machines, what gives them up, and what finds them again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Endpoint, ms } from '../../src/units/index.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { ProcessClock } from '../standin/clock.js';
import { REGION } from '../standin/network.js';
import { NODES } from '../standin/platform.js';
import { World } from '../standin/world.js';

/** A world whose machines all boot, so that a test finds the fleet that it counts on. */
function reliableWorld(seed: number): World {
  const world = new World({ seed });
  world.cloud.bootFailureShare = 0;
  return world;
}

/** A world in which a long job runs and the fleet has been up for longer than any boot takes. */
async function worldWithFleet(seed: number): Promise<{ world: World; fleet: string[] }> {
  const world = reliableWorld(seed);
  await world.run(3000);
  world.users.submit({ taskCount: 8, cpus: 3 }, 200_000);
  await world.run(70_000);
  const fleet = [...world.workers.keys()];
  assert.ok(fleet.length >= 2);
  return { world, fleet };
}

void test('a failover keeps the fleet: a machine that is listed as running and has not reported yet has not failed to boot', async () => {
  const { world, fleet } = await worldWithFleet(11);
  const leader = world.leaderNode() ?? 0;
  world.killNode(leader);
  world.time.after(5000, () => world.startNode(leader));
  await world.run(30_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
  );
  assert.deepEqual(world.violations, []);
});

void test('a machine that reports late after a failover is not given up because others were faster', async () => {
  const { world, fleet } = await worldWithFleet(54);
  const leader = world.leaderNode() ?? 0;
  const slow = fleet[0] ?? '';
  world.hangWorker(slow, true);
  world.killNode(leader);
  world.time.after(5000, () => world.startNode(leader));
  // Longer than a machine that has reported before may be silent, and within its lease.
  await world.run(17_000);
  world.hangWorker(slow, false);
  await world.run(30_000);
  assert.ok(world.workers.has(slow));
  assert.deepEqual(world.violations, []);
});

void test('an outage of the state service keeps the fleet: a machine whose heartbeats stay unanswered is not silent', async () => {
  const { world, fleet } = await worldWithFleet(12);
  world.state.outage(true);
  await world.run(34_000);
  world.state.outage(false);
  await world.run(10_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
  );
  assert.deepEqual(world.violations, []);
});

void test('a direct start that arrives long after its job was cancelled runs nothing', async () => {
  // Cancelled before a report could deliver the start, and while the task ran by a report's answer.
  for (const [seed, abortAfter] of [
    [21, 150],
    [22, 8000],
  ] as const) {
    const world = reliableWorld(seed);
    await world.run(3000);
    // Its machine holds the image, has free resources, and is not released meanwhile.
    const other = world.users.submit({ taskCount: 1 }, 300_000);
    await world.run(25_000);
    assert.equal(world.workers.size, 1);
    const before = world.starts;
    world.network.hold('/commands');
    world.users.submit({ taskCount: 1 }, 200_000, abortAfter);
    await world.run(abortAfter + 60_000);
    const started = world.starts - before;
    assert.deepEqual(
      world.users.unfinished(),
      [`${other} running`],
      `cancelled after ${abortAfter} ms`,
    );
    world.network.hold(undefined);
    await world.run(10_000);
    assert.equal(world.starts - before, started, 'the late start is a repeat');
    assert.deepEqual(world.violations, []);
  }
});

void test('a job of very many tasks keeps its record within a value of the store', async () => {
  const world = reliableWorld(31);
  await world.run(3000);
  world.users.submit({ taskCount: 100_000, cpus: 0.1, memoryGb: 0.1 }, 2000, 60_000);
  await world.run(100_000);
  assert.ok(world.starts > 500, `${world.starts} tasks started`);
  assert.ok(Math.max(...world.state.valueSizes) <= 8192);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.unfinished(), []);
});

void test('a completion stays on its worker until it is in the store', async () => {
  const world = reliableWorld(41);
  await world.run(3000);
  const other = world.users.submit({ taskCount: 1 }, 300_000);
  await world.run(25_000);
  const before = world.starts;
  world.users.submit({ taskCount: 1 }, 6000);
  await world.run(5000);
  const leader = world.leaderNode() ?? 0;
  world.state.outage(true);
  // It completes while nothing can be written and the leader still answers heartbeats; then the leader ends.
  await world.run(3500);
  world.killNode(leader);
  world.state.outage(false);
  world.time.after(3000, () => world.startNode(leader));
  await world.run(30_000);
  assert.deepEqual(world.users.unfinished(), [`${other} running`]);
  assert.equal(world.starts - before, 1, 'what was completed is not run again');
  assert.deepEqual(world.violations, []);
});

void test('a machine whose heartbeats arrive while answers do not: its tasks run elsewhere, and it is released', async () => {
  const { world, fleet } = await worldWithFleet(51);
  const unreachable = fleet[0] ?? '';
  // Alone, the leader gets its heartbeats often enough not to miss it: each try at a dead node ends at once.
  const leader = world.leaderNode();
  for (const node of NODES) if (node !== leader) world.killNode(node);
  world.dropIncoming(unreachable, true);
  const beganAt = world.time.now;
  for (let i = 0; i < 6; i++) world.users.submit({ taskCount: 2, cpus: 1 }, 4000);
  await world.run(75_000);
  assert.deepEqual(
    world.users.unfinished().filter((job) => !job.startsWith('run-000001')),
    [],
    `after ${world.time.now - beganAt} ms`,
  );
  assert.ok(!world.workers.has(unreachable));
  await world.run(340_000);
  assert.deepEqual(world.users.unfinished(), []);
  assert.deepEqual(world.violations, []);
});

void test('a late copy of the heartbeat of a machine that is long gone delays no start', async () => {
  const world = reliableWorld(52);
  await world.run(20_000);
  const leader = world.leaderNode() ?? 0;
  const copy = {
    box: 'vm-000000',
    addr: '10.9.9.9:9000',
    build: 'small',
    hall: 'a',
    loaners: false,
    shift: 3,
    tally: 400,
    baton: 0,
    recall_s: null,
    entries: [],
  };
  const client = world.network.client('late', 'a', new ProcessClock(world.time, 0, 0));
  const endpoint = Endpoint(`10.0.0.${leader + 1}:8080`);
  void client.send({
    endpoint,
    method: 'POST',
    path: '/agent/beat',
    body: copy,
    timeout: ms(4000),
  });
  await world.run(200);
  const before = world.starts;
  world.users.submit({ taskCount: 3, cpus: 1, allowSpot: false }, 4000);
  await world.run(18_000);
  assert.equal(world.starts - before, 3);
  assert.deepEqual(world.violations, []);
});

void test('a worker that restarts and numbers its heartbeats from the start is used again', async () => {
  const { world, fleet } = await worldWithFleet(53);
  for (const id of fleet) world.restartWorker(id);
  await world.run(20_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
    'none is given up as silent',
  );
  await world.run(260_000);
  assert.deepEqual(world.users.unfinished(), []);
  assert.deepEqual(world.violations, []);
});

void test('no request is answered with an older status than the store may already show of an end', async () => {
  // The write was carried out and its answer got lost, or it is still under way and may yet be.
  for (const isHeld of [false, true]) {
    const world = reliableWorld(61);
    await world.run(3000);
    const id = world.users.submit({ taskCount: 1 }, 300_000);
    await world.run(25_000);
    const endpoint = Endpoint(`10.0.0.${(world.leaderNode() ?? 0) + 1}:8080`);
    const client = world.network.client('user', REGION, new ProcessClock(world.time, 0, 0));
    const ask = (path: string, body?: unknown) =>
      client.send({ endpoint, method: 'POST', path, body, timeout: ms(5000) });
    if (isHeld) world.network.hold('/multi');
    else world.network.losesAnswer = (path) => path === '/multi';
    void ask(`/v1/jobs/${id}/abort`);
    // Under way, the store is asked what it holds, and the write is not repeated at once.
    await world.run(isHeld ? 2060 : 400);
    const known = world.jobs.get(id);
    assert.ok(known);
    const again = ask('/v1/jobs', encodeJobSpec(known.spec));
    await world.run(4000);
    world.network.losesAnswer = undefined;
    world.network.hold(undefined);
    const outcome = await again;
    assert.ok(outcome.kind === 'response');
    const status = (outcome.body as { status?: string } | undefined)?.status;
    assert.ok(outcome.status === 503 || status === 'aborted', `${outcome.status} ${status ?? ''}`);
  }
});

void test('over a thousand machines: all report to a new leader, and none is given up', async () => {
  const world = new World({ seed: 71, maxCpus: 0 });
  world.cloud.bootFailureShare = 0;
  world.provideMachines(1050);
  // All have been busy for longer than the shortest time that a machine is paid for.
  for (let i = 0; i < 20; i++)
    world.users.submit({ taskCount: 100, cpus: 4, expectedRuntimeSeconds: 60 }, 60_000);
  await world.run(24_000);
  const fleet = [...world.workers.keys()];
  assert.ok(fleet.length >= 1050);
  const { starts } = world;
  assert.ok(starts >= 1900, `${starts} started`);
  for (const node of NODES) world.killNode(node);
  for (const node of NODES) world.time.after(5000, () => world.startNode(node));
  await world.run(22_000);
  assert.deepEqual(
    fleet.filter((id) => !world.workers.has(id)),
    [],
  );
  assert.ok(world.starts <= 2000 * 1.01, 'what ran goes on and is not started again');
  await world.run(60_000);
  assert.deepEqual(world.users.unfinished(), []);
  assert.deepEqual(world.violations, []);
});

void test('a leader whose key is older than the changes that the store keeps starts few watches', async () => {
  const world = reliableWorld(81);
  world.state.maxChanges = 10;
  await world.run(3000);
  for (let i = 0; i < 10; i++) world.users.submit({ taskCount: 2, cpus: 1 }, 3000);
  await world.run(30_000);
  const before = world.state.watchCount;
  await world.run(30_000);
  // Each of three nodes waits for ten seconds at a time, the leader for notices.
  assert.ok(world.state.watchCount - before <= 15, `${world.state.watchCount - before} watches`);
  assert.deepEqual(world.users.unfinished(), []);
});
