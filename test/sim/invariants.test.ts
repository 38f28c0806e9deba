/**
 * The invariants of the service under one fault at every step, and under random faults. Guards against jobs that are
 * lost, run twice or never finish, when the leader is killed or frozen at any of its messages, when zones are
 * partitioned, when machines hang or when the store has an outage.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runFaultScenario, recoverAndVerify } from '../standin/fault-scenario.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** Applies an action to the leader just before its nth message is sent. */
function onLeaderMessage(
  cluster: SimulatedCluster,
  n: number,
  action: (leader: number) => void,
): void {
  let remaining = n;
  cluster.network.onSend = (from) => {
    const leader = cluster.leader();
    if (leader === undefined || from !== `node-${leader}` || remaining <= 0) return;
    remaining--;
    if (remaining === 0) action(leader);
  };
}

void test('without faults every job finishes', async () => {
  const cluster = new SimulatedCluster({ seed: 1 });
  await cluster.run(3000);
  for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 1 + i, cpus: 1 + (i % 3) }, 4000);
  cluster.users.submit({ taskCount: 3, zone: 'b', allowSpot: false }, 3000);
  cluster.users.submit({ taskCount: 5, spreadZones: true }, 3000);
  cluster.users.submit({ taskCount: 4, singleZone: true }, 3000);
  cluster.users.submit({ taskCount: 6, cpus: 8 }, 20_000, 15_000);
  cluster.users.pollUnknownJob();
  await recoverAndVerify(cluster, 'without faults');
  assert.ok(cluster.startCount >= 30);
});

void test('jobs finish although the leader is killed at any of its first 60 messages', async () => {
  // The leader is killed just before its nth message is sent; what it sent before still arrives.
  for (let step = 1; step <= 60; step++) {
    const cluster = new SimulatedCluster({ seed: 100 + step });
    await cluster.run(2000);
    onLeaderMessage(cluster, step, (leader) => {
      cluster.killController(leader);
      cluster.time.after(step % 3 === 0 ? 200 : 5000, () => cluster.startController(leader));
    });
    cluster.users.submit({ taskCount: 3 }, 3000);
    cluster.users.submit({ taskCount: 2, cpus: 4 }, 6000, step % 2 === 0 ? 14_000 : undefined);
    await cluster.run(30_000);
    await recoverAndVerify(cluster, `killed at step ${step}`);
  }
});

void test('jobs are cancelled during an outage of the store, or while the leader is cut off', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const cluster = new SimulatedCluster({ seed: 200 + seed });
    await cluster.run(2000);
    for (let i = 0; i < 4; i++) cluster.users.submit({ taskCount: 4 }, 90_000, 26_000 + i * 1500);
    await cluster.run(25_000);
    const leader = cluster.leader() ?? 0;
    if (seed % 2 === 0) cluster.store.setOutage(true);
    else {
      cluster.store.setOutageFor(`node-${leader}`, true);
      cluster.network.setPartitioned('a', 'b', true);
    }
    await cluster.run(18_000);
    await recoverAndVerify(cluster, `seed ${seed}`);
  }
});

void test('jobs finish although zones are partitioned with late delivery and a machine hangs', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const cluster = new SimulatedCluster({ seed: 300 + seed });
    await cluster.run(2000);
    for (let i = 0; i < 5; i++)
      cluster.users.submit({ taskCount: 4 }, 12_000, i === 0 ? 22_000 : undefined);
    await cluster.run(16_000);
    const hung = [...cluster.workers.keys()][seed % Math.max(1, cluster.workers.size)] ?? '';
    cluster.setMachineHung(hung, true);
    cluster.network.setPartitioned('a', 'b', true);
    if (seed % 2 === 0) cluster.network.setPartitioned('a', 'c', true);
    await cluster.run(6000 + seed * 4000);
    cluster.setMachineHung(hung, false);
    await recoverAndVerify(cluster, `seed ${seed}`);
  }
});

void test('jobs finish although the leader is frozen at any of its first 45 messages, for 0.2 to 13 seconds', async () => {
  for (let step = 1; step <= 45; step++) {
    const cluster = new SimulatedCluster({ seed: 400 + step });
    await cluster.run(2000);
    onLeaderMessage(cluster, step, (leader) => {
      cluster.setControllerFrozen(leader, true);
      const frozenMs = [200, 3000, 5000, 13_000][step % 4] ?? 0;
      cluster.time.after(frozenMs, () => cluster.setControllerFrozen(leader, false));
    });
    cluster.users.submit({ taskCount: 3 }, 3000);
    cluster.users.submit({ taskCount: 2, cpus: 4 }, 6000, step % 2 === 0 ? 9000 : undefined);
    await cluster.run(30_000);
    await recoverAndVerify(cluster, `frozen at step ${step}`);
  }
});

for (let seed = 1001; seed <= 1025; seed++) {
  void test(`jobs finish under random faults, seed ${seed}`, async () => {
    await recoverAndVerify(await runFaultScenario(seed), `seed ${seed}`);
  });
}
