/**
 * The fleet across failovers, outages and late messages. Guards against deleting machines that work, because a new
 * leader hasn't heard from them yet or nobody can respond to them, against keeping unreachable machines, and against
 * starting cancelled or completed tasks again from late or lost messages.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Endpoint, ms } from '../../src/units/index.js';
import { encodeJobSpec } from '../../src/wire/index.js';
import { ProcessClock } from '../standin/clock.js';
import { NO_ZONE } from '../standin/network.js';
import { CONTROLLERS } from '../standin/cluster-settings.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** Creates a cluster without boot failures, so that a test gets the fleet that it expects. */
function createReliableCluster(seed: number): SimulatedCluster {
  const cluster = new SimulatedCluster({ seed });
  cluster.cloud.bootFailureShare = 0;
  return cluster;
}

/** Creates a cluster in which a long job runs, and all machines have been running for longer than any boot takes. */
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

void test('a failover keeps running machines from which the new leader has no heartbeat yet', async () => {
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

void test('a failover keeps a machine whose first heartbeat arrives later than those of the others', async () => {
  const { cluster, fleet } = await createClusterWithFleet(54);
  const leader = cluster.leader() ?? 0;
  const slow = fleet[0] ?? '';
  cluster.setMachineHung(slow, true);
  cluster.killController(leader);
  cluster.time.after(5000, () => cluster.startController(leader));
  // Longer than a machine that has sent a heartbeat may be silent before it counts as lost, but within its lease.
  await cluster.run(17_000);
  cluster.setMachineHung(slow, false);
  await cluster.run(30_000);
  assert.ok(cluster.workers.has(slow));
  assert.deepEqual(cluster.violations, []);
});

void test('an outage of the store keeps the fleet, although heartbeats get no responses meanwhile', async () => {
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

void test('a direct start command that arrives long after its job was cancelled starts nothing', async () => {
  // Cancelled before the response to a heartbeat can deliver the start, and while the task runs after it did.
  for (const [seed, cancelAfterMs] of [
    [21, 150],
    [22, 8000],
  ] as const) {
    const cluster = createReliableCluster(seed);
    await cluster.run(3000);
    // Keeps a machine that has the image and free resources, and isn't deleted meanwhile.
    const other = cluster.users.submit({ taskCount: 1 }, 300_000);
    await cluster.run(25_000);
    assert.equal(cluster.workers.size, 1);
    const before = cluster.startCount;
    cluster.network.holdRequests('/commands');
    cluster.users.submit({ taskCount: 1 }, 200_000, cancelAfterMs);
    await cluster.run(cancelAfterMs + 60_000);
    const started = cluster.startCount - before;
    assert.deepEqual(
      cluster.users.unfinishedJobs(),
      [`${other} running`],
      `cancelled after ${cancelAfterMs} ms`,
    );
    cluster.network.holdRequests(undefined);
    await cluster.run(10_000);
    assert.equal(cluster.startCount - before, started, 'the late command starts nothing');
    assert.deepEqual(cluster.violations, []);
  }
});

void test('the record of a job with 100,000 tasks stays within the largest value of the store', async () => {
  const cluster = createReliableCluster(31);
  await cluster.run(3000);
  cluster.users.submit({ taskCount: 100_000, cpus: 0.1, memoryGb: 0.1 }, 2000, 60_000);
  await cluster.run(100_000);
  assert.ok(cluster.startCount > 500, `${cluster.startCount} tasks started`);
  assert.ok(Math.max(...cluster.store.valueSizes) <= 8192);
  assert.deepEqual(cluster.violations, []);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
});

void test('a worker keeps reporting a completion until it is in the store', async () => {
  const cluster = createReliableCluster(41);
  await cluster.run(3000);
  const other = cluster.users.submit({ taskCount: 1 }, 300_000);
  await cluster.run(25_000);
  const before = cluster.startCount;
  cluster.users.submit({ taskCount: 1 }, 6000);
  await cluster.run(5000);
  const leader = cluster.leader() ?? 0;
  cluster.store.setOutage(true);
  // The task completes while nothing can be written and the leader still handles heartbeats; then the leader is killed.
  await cluster.run(3500);
  cluster.killController(leader);
  cluster.store.setOutage(false);
  cluster.time.after(3000, () => cluster.startController(leader));
  await cluster.run(30_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), [`${other} running`]);
  assert.equal(cluster.startCount - before, 1, 'the completed task does not run again');
  assert.deepEqual(cluster.violations, []);
});

void test('tasks of a machine that gets no responses run elsewhere, and the machine is deleted', async () => {
  const { cluster, fleet } = await createClusterWithFleet(51);
  const unreachable = fleet[0] ?? '';
  // With the other controllers down, the leader gets enough of its heartbeats not to count it as lost: each attempt
  // at a dead controller fails at once.
  const leader = cluster.leader();
  for (const controller of CONTROLLERS)
    if (controller !== leader) cluster.killController(controller);
  cluster.setIncomingDropped(unreachable, true);
  const startedAt = cluster.time.now;
  for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 2, cpus: 1 }, 4000);
  await cluster.run(75_000);
  assert.deepEqual(
    cluster.users.unfinishedJobs().filter((job) => !job.startsWith('run-000001')),
    [],
    `after ${cluster.time.now - startedAt} ms`,
  );
  assert.ok(!cluster.workers.has(unreachable));
  await cluster.run(340_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('a late copy of a heartbeat from a machine that no longer exists delays no start', async () => {
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

void test('a worker that restarts and numbers its heartbeats from 1 again is used again', async () => {
  const { cluster, fleet } = await createClusterWithFleet(53);
  for (const id of fleet) cluster.restartWorker(id);
  await cluster.run(20_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
    'no machine is deleted as lost',
  );
  await cluster.run(260_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('no response contains a status that a write with an unknown outcome may have made obsolete', async () => {
  // The write was carried out and its response was lost, or it is still in flight and may be carried out later.
  for (const isHeld of [false, true]) {
    const cluster = createReliableCluster(61);
    await cluster.run(3000);
    const id = cluster.users.submit({ taskCount: 1 }, 300_000);
    await cluster.run(25_000);
    const endpoint = Endpoint(`10.0.0.${(cluster.leader() ?? 0) + 1}:8080`);
    const client = cluster.network.client('user', NO_ZONE, new ProcessClock(cluster.time, 0, 0));
    const post = (path: string, body?: unknown) =>
      client.send({ endpoint, method: 'POST', path, body, timeout: ms(5000) });
    if (isHeld) cluster.network.holdRequests('/multi');
    else cluster.network.losesResponse = (path) => path === '/multi';
    void post(`/v1/jobs/${id}/abort`);
    // While the write is in flight, the controller reads the store and doesn't repeat the write at once.
    await cluster.run(isHeld ? 2060 : 400);
    const job = cluster.jobs.get(id);
    assert.ok(job);
    const repeated = post('/v1/jobs', encodeJobSpec(job.spec));
    await cluster.run(4000);
    cluster.network.losesResponse = undefined;
    cluster.network.holdRequests(undefined);
    const outcome = await repeated;
    assert.ok(outcome.kind === 'response');
    const status = (outcome.body as { status?: string } | undefined)?.status;
    assert.ok(outcome.status === 503 || status === 'aborted', `${outcome.status} ${status ?? ''}`);
  }
});

void test('a new leader keeps all of over a thousand machines and their tasks', async () => {
  const cluster = new SimulatedCluster({ seed: 71, maxCpus: 0 });
  cluster.cloud.bootFailureShare = 0;
  cluster.rentMachines(1050);
  // All machines have been busy for longer than the minimal billing time of a machine.
  for (let i = 0; i < 20; i++)
    cluster.users.submit({ taskCount: 100, cpus: 4, expectedRuntimeSeconds: 60 }, 60_000);
  await cluster.run(24_000);
  const fleet = [...cluster.workers.keys()];
  assert.ok(fleet.length >= 1050);
  const { startCount } = cluster;
  assert.ok(startCount >= 1900, `${startCount} started`);
  for (const controller of CONTROLLERS) cluster.killController(controller);
  for (const controller of CONTROLLERS)
    cluster.time.after(5000, () => cluster.startController(controller));
  await cluster.run(22_000);
  assert.deepEqual(
    fleet.filter((id) => !cluster.workers.has(id)),
    [],
  );
  assert.ok(cluster.startCount <= 2000 * 1.01, 'running tasks go on and are not started again');
  await cluster.run(60_000);
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
  assert.deepEqual(cluster.violations, []);
});

void test('a leader whose key is older than the changes that the store retains starts few watches', async () => {
  const cluster = createReliableCluster(81);
  cluster.store.maxRetainedChanges = 10;
  await cluster.run(3000);
  for (let i = 0; i < 10; i++) cluster.users.submit({ taskCount: 2, cpus: 1 }, 3000);
  await cluster.run(30_000);
  const before = cluster.store.watchCount;
  await cluster.run(30_000);
  // Each of the three controllers has one watch for ten seconds at a time, the leader one for inbox entries.
  assert.ok(
    cluster.store.watchCount - before <= 15,
    `${cluster.store.watchCount - before} watches`,
  );
  assert.deepEqual(cluster.users.unfinishedJobs(), []);
});
