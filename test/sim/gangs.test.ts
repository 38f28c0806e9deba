/** Worlds with gangs: whole starts, checkpoints, lost machines, cancellations, and ends of the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../../src/wire/index.js';
import { badDay, settle, submitGang } from '../standin/day.js';
import type { GangRun } from '../standin/gang-run.js';
import { World } from '../standin/world.js';

const GANG: Partial<JobSpec> = {
  kind: 'ensemble',
  taskCount: 4,
  cpus: 3,
  singleZone: true,
  checkpointIntervalSeconds: 5,
  checkpointSeconds: 2,
};

function gangOf(world: World, id: string): GangRun {
  const gang = world.jobs.get(id)?.gang;
  assert.ok(gang);
  return gang;
}

/** A world in which one gang is submitted. */
async function worldWithGang(seed: number, change: Partial<JobSpec>, runMs: number) {
  const world = new World({ seed });
  await world.run(2500);
  const id = world.users.submit({ ...GANG, ...change }, runMs);
  return { world, id, gang: gangOf(world, id) };
}

async function untilRunning(world: World, gang: GangRun): Promise<void> {
  for (let i = 0; i < 300 && gang.starts === 0; i++) await world.run(200);
  assert.equal(gang.starts, 1);
}

const firstMachine = (world: World, id: string): string => world.machinesOf(id)[0] ?? '';

void test('gangs of several sizes run whole, once, and are done', async () => {
  const world = new World({ seed: 11 });
  await world.run(2500);
  const ids = [
    world.users.submit({ ...GANG, taskCount: 2 }, 5000),
    world.users.submit({ ...GANG, taskCount: 5, cpus: 2, allowSpot: false }, 8000),
    world.users.submit({ ...GANG, singleZone: false, taskCount: 3 }, 8000),
    world.users.submit({ ...GANG, singleZone: false, spreadZones: true, taskCount: 4 }, 8000),
  ];
  world.users.submit({ taskCount: 6 }, 6000);
  await settle(world, 'quiet');
  for (const id of ids) assert.equal(gangOf(world, id).starts, 1, id);
});

void test('a gang that loses a machine goes on from its checkpoint, once all of it is gone', async () => {
  for (const seed of [21, 22, 23]) {
    const { world, id, gang } = await worldWithGang(seed, {}, 20_000);
    await untilRunning(world, gang);
    await world.run(12_000);
    const lost = firstMachine(world, id);
    if (seed === 22) world.hangWorker(lost, true);
    else world.cloud.end(lost);
    await world.run(40_000);
    assert.equal(gang.savedMs, 10_000, 'the last checkpoint');
    await settle(world, `seed ${seed}`);
    assert.equal(gang.starts, 2);
  }
});

void test('a gang that loses a machine before it runs does not wait for its time to gather', async () => {
  const { world, id, gang } = await worldWithGang(31, { imageSizeGb: 6 }, 8000);
  for (let i = 0; i < 100 && world.machinesHolding(id).length < 2; i++) await world.run(200);
  await world.run(3000);
  assert.equal(gang.starts, 0);
  world.cloud.end(world.machinesHolding(id)[0] ?? '');
  // The proof of the loss takes about nine seconds, fetching twelve, booting ten; gathering takes 45.
  await world.run(42_000);
  assert.equal(gang.starts, 1);
  await settle(world, 'lost before it ran');
});

void test('a gang whose machine is reclaimed with notice saves as a whole', async () => {
  const { world, id, gang } = await worldWithGang(41, {}, 40_000);
  await untilRunning(world, gang);
  await world.run(2500);
  world.reclaimMachine(firstMachine(world, id), 16_000);
  await world.run(40_000);
  assert.ok(gang.savedMs > 10_000 && gang.savedMs % 5000 !== 0, `saved ${gang.savedMs}`);
  await settle(world, 'notice');
  assert.equal(gang.starts, 2);
});

void test('a gang that was cancelled is gone, whether it gathers, runs or saves', async () => {
  for (const seed of [51, 52, 53]) {
    const { world, id, gang } = await worldWithGang(seed, { imageSizeGb: 3 }, 200_000);
    if (seed !== 51) await untilRunning(world, gang);
    else
      for (let i = 0; i < 200 && world.machinesHolding(id).length === 0; i++) await world.run(200);
    if (seed === 53) {
      world.reclaimMachine(firstMachine(world, id), 6000);
      await world.run(2500);
    }
    world.users.cancel(id);
    await settle(world, `seed ${seed}`);
    assert.equal(world.machinesOf(id).length, 0);
    assert.equal(world.jobs.get(id)?.lastStatus, 'aborted');
  }
});

void test('the leader ends at every step of a gang', async () => {
  for (let step = 1; step <= 40; step++) {
    const world = new World({ seed: 600 + step });
    await world.run(2000);
    let left = step;
    world.network.onSend = (from) => {
      const leader = world.leaderNode();
      if (leader === undefined || from !== `node-${leader}` || --left !== 0) return;
      world.killNode(leader);
      world.time.after(step % 3 === 0 ? 200 : 5000, () => world.startNode(leader));
    };
    world.users.submit({ ...GANG, taskCount: 3 }, 6000);
    world.users.submit(
      { ...GANG, taskCount: 2, allowSpot: false },
      9000,
      step % 2 ? 15_000 : undefined,
    );
    await settle(world, `killed at step ${step}`);
  }
});

void test('the state service lowers its limits while wide jobs and gangs are submitted and the leader ends', async () => {
  for (const seed of [71, 72, 73, 74]) {
    const nextStateLimits = { value_kb: 2, txn_ops: 4, write_rps: 12 };
    const world = new World({ seed, maxCpus: 0, nextStateLimits });
    await world.run(2500);
    world.provideMachines(30);
    for (let i = 0; i < 4; i++) {
      world.users.submit({ taskCount: 70, cpus: 2 }, 20_000, i === 0 ? 32_000 : undefined);
      submitGang(world);
    }
    await world.run(18_000 + seed * 50);
    world.lowerStateLimits();
    await world.run(seed % 2 === 0 ? 200 : 3000);
    const leader = world.leaderNode() ?? 0;
    world.killNode(leader);
    world.time.after(3000, () => world.startNode(leader));
    for (let i = 0; i < 3; i++) world.users.submit({ taskCount: 60, cpus: 2 }, 12_000);
    submitGang(world);
    await settle(world, `seed ${seed}`);
    assert.ok(world.state.tooLarge <= 8, `${world.state.tooLarge} refused as too large`);
  }
});

void test('days on which everything goes wrong, with gangs', async () => {
  for (let seed = 2001; seed <= 2010; seed++) {
    await settle(await badDay(seed, { gangs: true }), `seed ${seed}`);
  }
});
