/**
 * Controllers that are cut off. Guards against users who stay connected to a controller that only refuses their
 * requests while others serve, and against an outage of the store that leaves users without any controller.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from '../standin/simulated-cluster.js';
import { recoverAndVerify } from '../standin/fault-scenario.js';

const JOB_COUNT = 18;
const SEEDS = [1, 2, 3];
/** The times of the protocol within which users leave a controller that fails its health checks. */
const PROBES_MS = 3000;
const CONNECTION_RESET_MS = 5000;
const POLL_MS = 5000 + 2000;
/** After this long without any response a controller knows that it is cut off. */
const SILENCE_MS = 5000;
/** After this long a controller knows that it is cut off from the leader, and that no other leader is elected. */
const LEADER_SILENCE_MS = 10_000;
/** A watch that is open when the simulated store begins to refuse a controller still ends normally. */
const OPEN_WATCH_MS = 10_000;
const MAX_MOVE_MS = PROBES_MS + CONNECTION_RESET_MS + POLL_MS;

async function clusterWithPolledJobs(seed: number, controllerCount = 3): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ seed, controllerCount, maxCpus: 0 });
  cluster.cloud.bootFailureShare = 0;
  await cluster.run(3000);
  for (let i = 0; i < JOB_COUNT; i++) cluster.users.submit({ taskCount: 1 }, 120_000);
  await cluster.run(20_000);
  return cluster;
}

/** The jobs whose users have had no response since a moment. */
const jobsWithoutResponseSince = (cluster: SimulatedCluster, since: number): string[] =>
  [...cluster.jobs].filter(([, job]) => job.lastResponseAt < since).map(([id]) => id);

/** A controller that does not lead. */
const followerOf = (cluster: SimulatedCluster): number => ((cluster.leader() ?? 0) + 1) % 3;

/** Runs the cluster for `durationMs`, and returns the lowest number of healthy controllers in that time. */
async function minHealthyCount(cluster: SimulatedCluster, durationMs: number): Promise<number> {
  let count = Infinity;
  for (const end = cluster.time.now + durationMs; cluster.time.now < end;) {
    await cluster.run(500);
    count = Math.min(count, cluster.loadBalancer.healthyControllers().length);
  }
  return count;
}

for (const controllerCount of [3, 5]) {
  for (const isLeader of [false, true]) {
    const role = isLeader ? 'the leader' : 'a follower';
    void test(`users leave ${role} of ${controllerCount} that is cut off alone just after an outage of the store`, async () => {
      for (const seed of SEEDS) {
        const cluster = await clusterWithPolledJobs(6000 + seed, controllerCount);
        const isolated = isLeader ? (cluster.leader() ?? 0) : followerOf(cluster);
        cluster.store.setOutage(true);
        await cluster.run(20_000);
        cluster.isolateController(isolated, seed % 2 === 0);
        cluster.store.setOutage(false);
        const isolatedAt = cluster.time.now;
        await cluster.run(SILENCE_MS + MAX_MOVE_MS);
        assert.deepEqual(jobsWithoutResponseSince(cluster, isolatedAt), [], `seed ${seed}`);
        await recoverAndVerify(cluster, `seed ${seed}`);
      }
    });
  }

  void test(`an outage of the store for all keeps ${controllerCount} controllers healthy, also while they are partitioned`, async () => {
    for (const seed of SEEDS) {
      const cluster = await clusterWithPolledJobs(6100 + seed, controllerCount);
      cluster.store.setOutage(true);
      assert.equal(await minHealthyCount(cluster, 20_000), controllerCount, 'peers respond');
      cluster.setPeerConnectionsRefused(true);
      assert.equal(await minHealthyCount(cluster, 20_000), controllerCount, 'peers are silent');
      cluster.store.setOutage(false);
      assert.equal(await minHealthyCount(cluster, 20_000), controllerCount, 'the store is back');
      await recoverAndVerify(cluster, `seed ${seed}`);
    }
  });

  void test(`users leave two of ${controllerCount} controllers that are cut off together`, async () => {
    for (const seed of SEEDS) {
      const cluster = await clusterWithPolledJobs(6200 + seed, controllerCount);
      cluster.isolateControllers([0, 1], seed % 2 === 0);
      // By then the authority of a leader among them has ended.
      await cluster.run(SILENCE_MS);
      const silentAt = cluster.time.now;
      await cluster.run(MAX_MOVE_MS);
      assert.deepEqual(jobsWithoutResponseSince(cluster, silentAt), [], `seed ${seed}`);
      await recoverAndVerify(cluster, `seed ${seed}`);
    }
  });
}

void test('users leave a follower that is cut off from the store and the leader, but not from another follower', async () => {
  for (const seed of SEEDS) {
    const cluster = await clusterWithPolledJobs(6300 + seed);
    const follower = followerOf(cluster);
    const zoneOf = (controller: number): string => ['a', 'b', 'c'][controller] ?? 'a';
    cluster.store.setOutageFor(`node-${follower}`, true);
    cluster.network.setPartitioned(zoneOf(cluster.leader() ?? 0), zoneOf(follower), true);
    const isolatedAt = cluster.time.now;
    await cluster.run(OPEN_WATCH_MS + LEADER_SILENCE_MS + MAX_MOVE_MS);
    assert.deepEqual(jobsWithoutResponseSince(cluster, isolatedAt), [], `seed ${seed}`);
    await recoverAndVerify(cluster, `seed ${seed}`);
  }
});

void test('a controller that was suspended is healthy again as soon as it answers its health checks', async () => {
  for (const seed of SEEDS) {
    const cluster = await clusterWithPolledJobs(6400 + seed);
    const follower = followerOf(cluster);
    cluster.setControllerFrozen(follower, true);
    await cluster.run(15_000);
    cluster.setControllerFrozen(follower, false);
    await cluster.run(PROBES_MS);
    assert.ok(cluster.loadBalancer.healthyControllers().includes(follower), `seed ${seed}`);
    await recoverAndVerify(cluster, `seed ${seed}`);
  }
});
