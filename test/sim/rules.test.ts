/** Worlds in which one thing goes wrong at every step, and days on which everything does; the rules hold. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { badDay, settle } from '../standin/day.js';
import { World } from '../standin/world.js';

/** Does something to the leader as its nth message leaves. */
function atLeaderMessage(world: World, n: number, act: (leader: number) => void): void {
  let left = n;
  world.network.onSend = (from) => {
    const leader = world.leaderNode();
    if (leader === undefined || from !== `node-${leader}` || left <= 0) return;
    left--;
    if (left === 0) act(leader);
  };
}

void test('a quiet day: every job runs to its end', async () => {
  const world = new World({ seed: 1 });
  await world.run(3000);
  for (let i = 0; i < 6; i++) world.users.submit({ taskCount: 1 + i, cpus: 1 + (i % 3) }, 4000);
  world.users.submit({ taskCount: 3, zone: 'b', allowSpot: false }, 3000);
  world.users.submit({ taskCount: 5, spreadZones: true }, 3000);
  world.users.submit({ taskCount: 4, singleZone: true }, 3000);
  world.users.submit({ taskCount: 6, cpus: 8 }, 20_000, 15_000);
  world.users.askForUnknownJob();
  await settle(world, 'quiet');
  assert.ok(world.starts >= 30);
});

void test('the leader is killed at every step', async () => {
  // The nth message of the leader is the last thing it does; what was sent before still arrives.
  for (let step = 1; step <= 60; step++) {
    const world = new World({ seed: 100 + step });
    await world.run(2000);
    atLeaderMessage(world, step, (leader) => {
      world.killNode(leader);
      world.time.after(step % 3 === 0 ? 200 : 5000, () => world.startNode(leader));
    });
    world.users.submit({ taskCount: 3 }, 3000);
    world.users.submit({ taskCount: 2, cpus: 4 }, 6000, step % 2 === 0 ? 14_000 : undefined);
    await world.run(30_000);
    await settle(world, `killed at step ${step}`);
  }
});

void test('a cancellation during an outage, and while the leader is cut off', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const world = new World({ seed: 200 + seed });
    await world.run(2000);
    for (let i = 0; i < 4; i++) world.users.submit({ taskCount: 4 }, 90_000, 26_000 + i * 1500);
    await world.run(25_000);
    const leader = world.leaderNode() ?? 0;
    if (seed % 2 === 0) world.state.outage(true);
    else {
      world.state.outageFor(`node-${leader}`, true);
      world.network.cut('a', 'b', true);
    }
    await world.run(18_000);
    await settle(world, `seed ${seed}`);
  }
});

void test('a cut between zones with late delivery, and a machine that hangs', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const world = new World({ seed: 300 + seed });
    await world.run(2000);
    for (let i = 0; i < 5; i++)
      world.users.submit({ taskCount: 4 }, 12_000, i === 0 ? 22_000 : undefined);
    await world.run(16_000);
    const hung = [...world.workers.keys()][seed % Math.max(1, world.workers.size)] ?? '';
    world.hangWorker(hung, true);
    world.network.cut('a', 'b', true);
    if (seed % 2 === 0) world.network.cut('a', 'c', true);
    await world.run(6000 + seed * 4000);
    world.hangWorker(hung, false);
    await settle(world, `seed ${seed}`);
  }
});

void test('the leader is frozen at every step, for a moment or for several leases', async () => {
  for (let step = 1; step <= 45; step++) {
    const world = new World({ seed: 400 + step });
    await world.run(2000);
    atLeaderMessage(world, step, (leader) => {
      world.freezeNode(leader, true);
      const frozenMs = [200, 3000, 5000, 13_000][step % 4] ?? 0;
      world.time.after(frozenMs, () => world.freezeNode(leader, false));
    });
    world.users.submit({ taskCount: 3 }, 3000);
    world.users.submit({ taskCount: 2, cpus: 4 }, 6000, step % 2 === 0 ? 9000 : undefined);
    await world.run(30_000);
    await settle(world, `frozen at step ${step}`);
  }
});

void test('days on which everything goes wrong', async () => {
  for (let seed = 1001; seed <= 1025; seed++) await settle(await badDay(seed), `seed ${seed}`);
});
