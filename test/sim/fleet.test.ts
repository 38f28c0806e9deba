/** Worlds in which the fleet is at stake: what keeps machines, what gives them up, and what finds them again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Endpoint, ms } from '../../src/units/index.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { ProcessClock } from '../standin/clock.js';
import { NO_ZONE } from '../standin/network.js';
import { CONTROLLERS } from '../standin/cluster-settings.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** A cluster whose machines all boot, so that a test finds the fleet that it counts on. */
function createReliableCluster(seed: number): SimulatedCluster {
  const cluster = new SimulatedCluster({ seed });
  cluster.cloud.bootFailureShare = 0;
  return cluster;
}

/** A cluster in which a long job runs and the fleet has been up for longer than any boot takes. */
async function createClusterWithFleet(
  seed: number,
): Promise<{ cluster: SimulatedCluster; fleet: string[] }> {
  const cluster = createReliableCluster(seed);
  await cluster.run(3000);
  cluster.users.submit({ taskCount: 8, cpus: 3 }, 200_000);
  await cluster.run(70_000);
  const fleet = [...cluster.workers.keys()];
  assert.ok(fleet.length >= 2);
  return { cluster, fleet };
}

void test('a failover keeps the fleet: a machine that is listed as running and has not reported yet has not failed to boot', async () => {
  const { cluster, fleet } = await createClusterWithFleet(11);
  const leader = cluster.leader() ?? 0;
  cluster.killController(leader);
  cluster.time.after(5000, () => cluster.startController(leader));
  await cluster.run(30_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
  );
  assert.deepEqual(cluster.violations, []);
});

void test('a machine that reports late after a failover is not given up because others were faster', async () => {
  const { cluster, fleet } = await createClusterWithFleet(54);
  const leader = cluster.leader() ?? 0;
  const slow = fleet[0] ?? '';
  cluster.setMachineHung(slow, true);
  cluster.killController(leader);
  cluster.time.after(5000, () => cluster.startController(leader));
  // Longer than a machine that has reported before may be silent, and within its lease.
  await cluster.run(17_000);
  cluster.setMachineHung(slow, false);
  await cluster.run(30_000);
  assert.ok(cluster.workers.has(slow));
  assert.deepEqual(cluster.violations, []);
});

void test('an outage of the state service keeps the fleet: a machine whose heartbeats stay unanswered is not silent', async () => {
  const { cluster, fleet } = await createClusterWithFleet(12);
  cluster.store.setOutage(true);
  await cluster.run(34_000);
  cluster.store.setOutage(false);
  await cluster.run(10_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
  );
  assert.deepEqual(cluster.violations, []);
});

void test('a direct start that arrives long after its job was cancelled runs nothing', async () => {
  // Cancelled before a report could deliver the start, and while the task ran by a report's answer.
  for (const [seed, abortAfter] of [
    [21, 150],
    [22, 8000],
  ] as const) {
    const cluster = createReliableCluster(seed);
    await cluster.run(3000);
    // Its machine holds the image, has free resources, and is not released meanwhile.
    const other = cluster.users.submit({ taskCount: 1 }, 300_000);
    await cluster.run(25_000);
    assert.equal(cluster.workers.size, 1);
    const before = cluster.startCount;
    cluster.network.holdRequests('/commands');
    cluster.users.submit({ taskCount: 1 }, 200_000, abortAfter);
    await cluster.run(abortAfter + 60_000);
    const started = cluster.startCount - before;
    assert.deepEqual(
      cluster.users.unfinishedJobs(),
      [`${other} running`],
      `cancelled after ${abortAfter} ms`,
    );
    cluster.network.holdRequests(undefined);
    await cluster.run(10_000);
    assert.equal(cluster.startCount - before, started, 'the late start is a repeat');
    assert.deepEqual(cluster.violations, []);
  }
});

void test('a job of very many tasks keeps its record within a value of the store', async () => {
  const cluster = createReliableCluster(31);
  await cluster.run(3000);
  cluster.users.submit({ taskCount: 100_000, cpus: 0.1, memoryGb: 0.1 }, 2000, 60_000);
  await cluster.run(100_000);
  assert.ok(cluster.startCount > 500, `${cluster.startCount} tasks started`);
  assert.ok(Math.max(...cluster.store.valueSizes) <= 8192);
  assert.deepEqual(cluster.violations, []);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
});

void test('a completion stays on its worker until it is in the store', async () => {
  const cluster = createReliableCluster(41);
  await cluster.run(3000);
  const other = cluster.users.submit({ taskCount: 1 }, 300_000);
  await cluster.run(25_000);
  const before = cluster.startCount;
  cluster.users.submit({ taskCount: 1 }, 6000);
  await cluster.run(5000);
  const leader = cluster.leader() ?? 0;
  cluster.store.setOutage(true);
  // It completes while nothing can be written and the leader still answers heartbeats; then the leader ends.
  await cluster.run(3500);
  cluster.killController(leader);
  cluster.store.setOutage(false);
  cluster.time.after(3000, () => cluster.startController(leader));
  await cluster.run(30_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), [`${other} running`]);
  assert.equal(cluster.startCount - before, 1, 'what was completed is not run again');
  assert.deepEqual(cluster.violations, []);
});

void test('a machine whose heartbeats arrive while answers do not: its tasks run elsewhere, and it is released', async () => {
  const { cluster, fleet } = await createClusterWithFleet(51);
  const unreachable = fleet[0] ?? '';
  // Alone, the leader gets its heartbeats often enough not to miss it: each try at a dead node ends at once.
  const leader = cluster.leader();
  for (const node of CONTROLLERS) if (node !== leader) cluster.killController(node);
  cluster.setIncomingDropped(unreachable, true);
  const beganAt = cluster.time.now;
  for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 2, cpus: 1 }, 4000);
  await cluster.run(75_000);
  assert.deepEqual(
    cluster.users.unfinishedJobs().filter((job) => !job.startsWith('run-000001')),
    [],
    `after ${cluster.time.now - beganAt} ms`,
  );
  assert.ok(!cluster.workers.has(unreachable));
  await cluster.run(340_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('a late copy of the heartbeat of a machine that is long gone delays no start', async () => {
  const cluster = createReliableCluster(52);
  await cluster.run(20_000);
  const leader = cluster.leader() ?? 0;
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
  const client = cluster.network.client('late', 'a', new ProcessClock(cluster.time, 0, 0));
  const endpoint = Endpoint(`10.0.0.${leader + 1}:8080`);
  void client.send({
    endpoint,
    method: 'POST',
    path: '/agent/beat',
    body: copy,
    timeout: ms(4000),
  });
  await cluster.run(200);
  const before = cluster.startCount;
  cluster.users.submit({ taskCount: 3, cpus: 1, allowSpot: false }, 4000);
  await cluster.run(18_000);
  assert.equal(cluster.startCount - before, 3);
  assert.deepEqual(cluster.violations, []);
});

void test('a worker that restarts and numbers its heartbeats from the start is used again', async () => {
  const { cluster, fleet } = await createClusterWithFleet(53);
  for (const id of fleet) cluster.restartWorker(id);
  await cluster.run(20_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
    'none is given up as silent',
  );
  await cluster.run(260_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('no request is answered with an older status than the store may already show of an end', async () => {
  // The write was carried out and its answer got lost, or it is still under way and may yet be.
  for (const isHeld of [false, true]) {
    const cluster = createReliableCluster(61);
    await cluster.run(3000);
    const id = cluster.users.submit({ taskCount: 1 }, 300_000);
    await cluster.run(25_000);
    const endpoint = Endpoint(`10.0.0.${(cluster.leader() ?? 0) + 1}:8080`);
    const client = cluster.network.client('user', NO_ZONE, new ProcessClock(cluster.time, 0, 0));
    const ask = (path: string, body?: unknown) =>
      client.send({ endpoint, method: 'POST', path, body, timeout: ms(5000) });
    if (isHeld) cluster.network.holdRequests('/multi');
    else cluster.network.losesResponse = (path) => path === '/multi';
    void ask(`/v1/jobs/${id}/abort`);
    // Under way, the store is asked what it holds, and the write is not repeated at once.
    await cluster.run(isHeld ? 2060 : 400);
    const known = cluster.jobs.get(id);
    assert.ok(known);
    const again = ask('/v1/jobs', encodeJobSpec(known.spec));
    await cluster.run(4000);
    cluster.network.losesResponse = undefined;
    cluster.network.holdRequests(undefined);
    const outcome = await again;
    assert.ok(outcome.kind === 'answer');
    const status = (outcome.body as { status?: string } | undefined)?.status;
    assert.ok(outcome.status === 503 || status === 'aborted', `${outcome.status} ${status ?? ''}`);
  }
});

void test('over a thousand machines: all report to a new leader, and none is given up', async () => {
  const cluster = new SimulatedCluster({ seed: 71, maxCpus: 0 });
  cluster.cloud.bootFailureShare = 0;
  cluster.rentMachines(1050);
  // All have been busy for longer than the shortest time that a machine is paid for.
  for (let i = 0; i < 20; i++)
    cluster.users.submit({ taskCount: 100, cpus: 4, expectedRuntimeSeconds: 60 }, 60_000);
  await cluster.run(24_000);
  const fleet = [...cluster.workers.keys()];
  assert.ok(fleet.length >= 1050);
  const { startCount: starts } = cluster;
  assert.ok(starts >= 1900, `${starts} started`);
  for (const node of CONTROLLERS) cluster.killController(node);
  for (const node of CONTROLLERS) cluster.time.after(5000, () => cluster.startController(node));
  await cluster.run(22_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
  );
  assert.ok(cluster.startCount <= 2000 * 1.01, 'what ran goes on and is not started again');
  await cluster.run(60_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('a leader whose key is older than the changes that the store keeps starts few watches', async () => {
  const cluster = createReliableCluster(81);
  cluster.store.maxRetainedChanges = 10;
  await cluster.run(3000);
  for (let i = 0; i < 10; i++) cluster.users.submit({ taskCount: 2, cpus: 1 }, 3000);
  await cluster.run(30_000);
  const before = cluster.store.watchCount;
  await cluster.run(30_000);
  // Each of three nodes waits for ten seconds at a time, the leader for notices.
  assert.ok(
    cluster.store.watchCount - before <= 15,
    `${cluster.store.watchCount - before} watches`,
  );
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
});
