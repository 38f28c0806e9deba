import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../standin/world.js';

/** Lets everything heal and settle, then asserts that no rule was broken and all work was done. */
async function settle(world: World, name: string): Promise<void> {
  world.network.loss = 0;
  world.state.outage(false);
  world.cloud.out = false;
  for (const n of [0, 1, 2]) {
    world.state.outageFor(`node-${n}`, false);
    world.startNode(n);
  }
  for (const [a, b] of [
    ['a', 'b'],
    ['b', 'c'],
    ['a', 'c'],
  ] as const) {
    world.network.cut(a, b, false);
  }
  for (const id of world.workers.keys()) world.hangWorker(id, false);
  await world.run(240_000);
  assert.deepEqual(world.broken, [], name);
  assert.deepEqual(world.unfinished(), [], name);
}

void test('a quiet day: every job runs to its end', async () => {
  const world = new World({ seed: 1 });
  await world.run(3000);
  for (let i = 0; i < 6; i++) world.submit({ entries: 1 + i, vcpus: 1 + (i % 3) }, 4000);
  world.submit({ entries: 3, hall: 'b', loaners: false }, 3000);
  world.submit({ entries: 5, apart: true }, 3000);
  world.submit({ entries: 4, together: true }, 3000);
  world.submit({ entries: 6, vcpus: 8 }, 20_000, 15_000);
  world.probeUnknown();
  await settle(world, 'quiet');
  assert.ok(world.starts >= 30);
});

void test('the leader is killed at every step', async () => {
  // The nth message of the leader is the last thing it does; what was sent before still arrives.
  for (let step = 1; step <= 60; step += 1) {
    const world = new World({ seed: 100 + step });
    await world.run(2000);
    let left = step;
    world.network.onSend = (from) => {
      const leader = world.leaderNode();
      if (leader === undefined || from !== `node-${leader}` || left <= 0) return;
      left--;
      if (left > 0) return;
      world.killNode(leader);
      world.time.after(step % 3 === 0 ? 200 : 5000, () => world.startNode(leader));
    };
    world.submit({ entries: 3 }, 3000);
    world.submit({ entries: 2, vcpus: 4 }, 6000, step % 2 === 0 ? 14_000 : undefined);
    await world.run(30_000);
    await settle(world, `killed at step ${step}`);
  }
});

void test('a cancellation during an outage, and while the leader is cut off', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const world = new World({ seed: 200 + seed });
    await world.run(2000);
    for (let i = 0; i < 4; i++) world.submit({ entries: 4 }, 90_000, 26_000 + i * 1500);
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
    for (let i = 0; i < 5; i++) world.submit({ entries: 4 }, 12_000, i === 0 ? 22_000 : undefined);
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

void test('days on which everything goes wrong', async () => {
  for (let seed = 1; seed <= 25; seed++) {
    const world = new World({ seed: 1000 + seed, loss: 0.01 });
    const r = world.random;
    const pick = <T>(list: readonly T[]): T => list[Math.floor(r() * list.length)] as T;
    await world.run(1500);
    const zones = ['a', 'b', 'c'] as const;
    for (let s = 0; s < 40; s++) {
      for (let k = 0; k < 2; k++) {
        if (r() < 0.4) {
          world.submit(
            {
              entries: 1 + Math.floor(r() * 6),
              vcpus: 1 + Math.floor(r() * 4),
              urgency: pick(['high', 'normal', 'low'] as const),
              apart: r() < 0.15,
              together: r() < 0.15,
              loaners: r() < 0.7,
              hall: r() < 0.2 ? pick(zones) : null,
              bundle: pick(['x', 'y', 'z']),
            },
            2000 + r() * 15_000,
            r() < 0.25 ? r() * 25_000 : undefined,
          );
        }
      }
      const n = Math.floor(r() * 3);
      const later = (delay: number, run: () => void): void => {
        world.time.after(delay, run);
      };
      const [x, y] = pick([
        ['a', 'b'],
        ['b', 'c'],
        ['a', 'c'],
      ] as const);
      const ids = [...world.workers.keys()];
      switch (Math.floor(r() * 16)) {
        case 0:
        case 1: {
          const victim = r() < 0.6 ? (world.leaderNode() ?? n) : n;
          world.killNode(victim);
          later(r() < 0.4 ? 300 : 6000, () => world.startNode(victim));
          break;
        }
        case 2:
          for (const k of [0, 1, 2]) world.killNode(k);
          for (const k of [0, 1, 2]) later(1000 + r() * 6000, () => world.startNode(k));
          break;
        case 3:
          world.network.cut(x, y, true);
          later(3000 + r() * 40_000, () => world.network.cut(x, y, false));
          break;
        case 4:
          world.state.outage(true);
          later(2000 + r() * 20_000, () => world.state.outage(false));
          break;
        case 5:
          world.state.outageFor(`node-${n}`, true);
          later(4000 + r() * 20_000, () => world.state.outageFor(`node-${n}`, false));
          break;
        case 6:
          world.cloud.out = true;
          later(2000 + r() * 20_000, () => (world.cloud.out = false));
          break;
        case 7:
        case 8:
          if (ids.length > 0) {
            const id = pick(ids);
            world.hangWorker(id, true);
            later(r() * 30_000, () => world.hangWorker(id, false));
          }
          break;
        case 9:
          if (ids.length > 0) world.cloud.end(pick(ids));
          break;
        case 10:
          if (ids.length > 0) world.recall(pick(ids), r() * 20_000);
          break;
        case 11:
          for (const id of ids) if (r() < 0.4) world.cloud.end(id);
          break;
        default:
      }
      world.probeUnknown();
      await world.run(2500 + r() * 3000);
    }
    await settle(world, `seed ${seed}`);
  }
});
