/** Worlds with gangs: whole starts, checkpoints, lost machines, cancellations, and ends of the leader. */
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

/** A cluster in which one gang is submitted. */
async function createClusterWithGang(seed: number, change: Partial<JobSpec>, runMs: number) {
  const cluster = new SimulatedCluster({ seed });
  await cluster.run(2500);
  const id = cluster.users.submit({ ...GANG, ...change }, runMs);
  return { cluster, id, gang: gangOf(cluster, id) };
}

async function untilRunning(cluster: SimulatedCluster, gang: GangRun): Promise<void> {
  for (let i = 0; i < 300 && gang.startCount === 0; i++) await cluster.run(200);
  assert.equal(gang.startCount, 1);
}

const firstMachine = (cluster: SimulatedCluster, id: string): string =>
  cluster.machinesOf(id)[0] ?? '';

void test('gangs of several sizes run whole, once, and are done', async () => {
  const cluster = new SimulatedCluster({ seed: 11 });
  await cluster.run(2500);
  const ids = [
    cluster.users.submit({ ...GANG, taskCount: 2 }, 5000),
    cluster.users.submit({ ...GANG, taskCount: 5, cpus: 2, allowSpot: false }, 8000),
    cluster.users.submit({ ...GANG, singleZone: false, taskCount: 3 }, 8000),
    cluster.users.submit({ ...GANG, singleZone: false, spreadZones: true, taskCount: 4 }, 8000),
  ];
  cluster.users.submit({ taskCount: 6 }, 6000);
  await recoverAndVerify(cluster, 'quiet');
  for (const id of ids) assert.equal(gangOf(cluster, id).startCount, 1, id);
});

void test('a gang that loses a machine goes on from its checkpoint, once all of it is gone', async () => {
  for (const seed of [21, 22, 23]) {
    const { cluster, id, gang } = await createClusterWithGang(seed, {}, 20_000);
    await untilRunning(cluster, gang);
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

void test('a gang that loses a machine before it runs does not wait for its time to gather', async () => {
  const { cluster, id, gang } = await createClusterWithGang(31, { imageSizeGb: 6 }, 8000);
  for (let i = 0; i < 100 && cluster.machinesHolding(id).length < 2; i++) await cluster.run(200);
  await cluster.run(3000);
  assert.equal(gang.startCount, 0);
  cluster.cloud.end(cluster.machinesHolding(id)[0] ?? '');
  // The proof of the loss takes about nine seconds, fetching twelve, booting ten; gathering takes 45.
  await cluster.run(42_000);
  assert.equal(gang.startCount, 1);
  await recoverAndVerify(cluster, 'lost before it ran');
});

void test('a gang whose machine is reclaimed with notice saves as a whole', async () => {
  const { cluster, id, gang } = await createClusterWithGang(41, {}, 40_000);
  await untilRunning(cluster, gang);
  await cluster.run(2500);
  cluster.reclaimMachine(firstMachine(cluster, id), 16_000);
  await cluster.run(40_000);
  assert.ok(
    gang.savedProgressMs > 10_000 && gang.savedProgressMs % 5000 !== 0,
    `saved ${gang.savedProgressMs}`,
  );
  await recoverAndVerify(cluster, 'notice');
  assert.equal(gang.startCount, 2);
});

void test('a gang that was cancelled is gone, whether it gathers, runs or saves', async () => {
  for (const seed of [51, 52, 53]) {
    const { cluster, id, gang } = await createClusterWithGang(seed, { imageSizeGb: 3 }, 200_000);
    if (seed !== 51) await untilRunning(cluster, gang);
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

void test('the leader ends at every step of a gang', async () => {
  for (let step = 1; step <= 40; step++) {
    const cluster = new SimulatedCluster({ seed: 600 + step });
    await cluster.run(2000);
    let left = step;
    cluster.network.onSend = (from) => {
      const leader = cluster.leader();
      if (leader === undefined || from !== `node-${leader}` || --left !== 0) return;
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

void test('the state service lowers its limits while wide jobs and gangs are submitted and the leader ends', async () => {
  for (const seed of [71, 72, 73, 74]) {
    const nextStateLimits = { value_kb: 2, txn_ops: 4, write_rps: 12 };
    const cluster = new SimulatedCluster({
      seed,
      maxCpus: 0,
      announcedStoreLimits: nextStateLimits,
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

void test('days on which everything goes wrong, with gangs', async () => {
  for (let seed = 2001; seed <= 2010; seed++) {
    await recoverAndVerify(await runFaultScenario(seed, { withGangs: true }), `seed ${seed}`);
  }
});
