/**
 * Gangs under faults. Guards against gangs that start only in part, that run twice, that lose their checkpoint or
 * that never end, when machines are lost or reclaimed, jobs are cancelled, the leader is killed at any step or the
 * store lowers its limits.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../../src/wire/index.js';
import { runFaultScenario, recoverAndVerify, submitRandomGang } from '../standin/fault-scenario.js';
import type { GangRun } from '../standin/gang-run.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

const GANG: Partial<JobSpec> = {
  kind: 'ensemble',
  taskCount: 4,
  cpus: 3,
  singleZone: true,
  checkpointIntervalSeconds: 5,
  checkpointSeconds: 2,
};

function gangOf(cluster: SimulatedCluster, id: string): GangRun {
  const gang = cluster.jobs.get(id)?.gang;
  assert.ok(gang);
  return gang;
}

/** Creates a cluster and submits one gang to it. */
async function createClusterWithGang(seed: number, change: Partial<JobSpec>, runMs: number) {
  const cluster = new SimulatedCluster({ seed });
  await cluster.run(2500);
  const id = cluster.users.submit({ ...GANG, ...change }, runMs);
  return { cluster, id, gang: gangOf(cluster, id) };
}

async function waitUntilRunning(cluster: SimulatedCluster, gang: GangRun): Promise<void> {
  for (let i = 0; i < 300 && gang.startCount === 0; i++) await cluster.run(200);
  assert.equal(gang.startCount, 1);
}

const firstMachine = (cluster: SimulatedCluster, id: string): string =>
  cluster.machinesOf(id)[0] ?? '';

void test('gangs of several sizes start as a whole, run once and finish', async () => {
  const cluster = new SimulatedCluster({ seed: 11 });
  await cluster.run(2500);
  const ids = [
    cluster.users.submit({ ...GANG, taskCount: 2 }, 5000),
    cluster.users.submit({ ...GANG, taskCount: 5, cpus: 2, allowSpot: false }, 8000),
    cluster.users.submit({ ...GANG, singleZone: false, taskCount: 3 }, 8000),
    cluster.users.submit({ ...GANG, singleZone: false, spreadZones: true, taskCount: 4 }, 8000),
  ];
  cluster.users.submit({ taskCount: 6 }, 6000);
  await recoverAndVerify(cluster, 'without faults');
  for (const id of ids) assert.equal(gangOf(cluster, id).startCount, 1, id);
});

void test('a gang that loses a machine resumes from its checkpoint after all its tasks have ended', async () => {
  for (const seed of [21, 22, 23]) {
    const { cluster, id, gang } = await createClusterWithGang(seed, {}, 20_000);
    await waitUntilRunning(cluster, gang);
    await cluster.run(12_000);
    const lost = firstMachine(cluster, id);
    if (seed === 22) cluster.setMachineHung(lost, true);
    else cluster.cloud.end(lost);
    await cluster.run(40_000);
    assert.equal(gang.savedProgressMs, 10_000, 'the last checkpoint');
    await recoverAndVerify(cluster, `seed ${seed}`);
    assert.equal(gang.startCount, 2);
  }
});

void test('a gang that loses a machine before it runs restarts before the gathering timeout', async () => {
  const { cluster, id, gang } = await createClusterWithGang(31, { imageSizeGb: 6 }, 8000);
  for (let i = 0; i < 100 && cluster.machinesHolding(id).length < 2; i++) await cluster.run(200);
  await cluster.run(3000);
  assert.equal(gang.startCount, 0);
  cluster.cloud.end(cluster.machinesHolding(id)[0] ?? '');
  // Detecting the loss takes about nine seconds, fetching twelve and booting ten; the gathering timeout is 45 seconds.
  await cluster.run(42_000);
  assert.equal(gang.startCount, 1);
  await recoverAndVerify(cluster, 'machine lost before the gang ran');
});

void test('a gang saves a checkpoint as a whole when a machine of it gets a reclaim notice', async () => {
  const { cluster, id, gang } = await createClusterWithGang(41, {}, 40_000);
  await waitUntilRunning(cluster, gang);
  await cluster.run(2500);
  cluster.reclaimMachine(firstMachine(cluster, id), 16_000);
  await cluster.run(40_000);
  assert.ok(
    gang.savedProgressMs > 10_000 && gang.savedProgressMs % 5000 !== 0,
    `saved ${gang.savedProgressMs}`,
  );
  await recoverAndVerify(cluster, 'reclaim notice');
  assert.equal(gang.startCount, 2);
});

void test('a cancelled gang ends, whether it gathers, runs or saves a checkpoint', async () => {
  for (const seed of [51, 52, 53]) {
    const { cluster, id, gang } = await createClusterWithGang(seed, { imageSizeGb: 3 }, 200_000);
    if (seed !== 51) await waitUntilRunning(cluster, gang);
    else
      for (let i = 0; i < 200 && cluster.machinesHolding(id).length === 0; i++)
        await cluster.run(200);
    if (seed === 53) {
      cluster.reclaimMachine(firstMachine(cluster, id), 6000);
      await cluster.run(2500);
    }
    cluster.users.cancel(id);
    await recoverAndVerify(cluster, `seed ${seed}`);
    assert.equal(cluster.machinesOf(id).length, 0);
    assert.equal(cluster.jobs.get(id)?.lastStatus, 'aborted');
  }
});

void test('gangs finish although the leader is killed at any of its first messages', async () => {
  for (let step = 1; step <= 40; step++) {
    const cluster = new SimulatedCluster({ seed: 600 + step });
    await cluster.run(2000);
    let remaining = step;
    cluster.network.onSend = (from) => {
      const leader = cluster.leader();
      if (leader === undefined || from !== `node-${leader}` || --remaining !== 0) return;
      cluster.killController(leader);
      cluster.time.after(step % 3 === 0 ? 200 : 5000, () => cluster.startController(leader));
    };
    cluster.users.submit({ ...GANG, taskCount: 3 }, 6000);
    cluster.users.submit(
      { ...GANG, taskCount: 2, allowSpot: false },
      9000,
      step % 2 ? 15_000 : undefined,
    );
    await recoverAndVerify(cluster, `killed at step ${step}`);
  }
});

void test('jobs with many tasks and gangs finish although the store lowers its limits and the leader is killed', async () => {
  for (const seed of [71, 72, 73, 74]) {
    const announcedStoreLimits = { value_kb: 2, txn_ops: 4, write_rps: 12 };
    const cluster = new SimulatedCluster({
      seed,
      maxCpus: 0,
      announcedStoreLimits,
    });
    await cluster.run(2500);
    cluster.rentMachines(30);
    for (let i = 0; i < 4; i++) {
      cluster.users.submit({ taskCount: 70, cpus: 2 }, 20_000, i === 0 ? 32_000 : undefined);
      submitRandomGang(cluster);
    }
    await cluster.run(18_000 + seed * 50);
    cluster.applyAnnouncedStoreLimits();
    await cluster.run(seed % 2 === 0 ? 200 : 3000);
    const leader = cluster.leader() ?? 0;
    cluster.killController(leader);
    cluster.time.after(3000, () => cluster.startController(leader));
    for (let i = 0; i < 3; i++) cluster.users.submit({ taskCount: 60, cpus: 2 }, 12_000);
    submitRandomGang(cluster);
    await recoverAndVerify(cluster, `seed ${seed}`);
    assert.ok(
      cluster.store.tooLargeCount <= 8,
      `${cluster.store.tooLargeCount} refused as too large`,
    );
  }
});

void test('arrays and gangs finish under random faults', async () => {
  for (let seed = 2001; seed <= 2010; seed++) {
    await recoverAndVerify(await runFaultScenario(seed, { withGangs: true }), `seed ${seed}`);
  }
});
