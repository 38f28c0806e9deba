/** Worlds in which one thing goes wrong at every step, and days on which everything does; the rules hold. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runFaultScenario, recoverAndVerify } from '../standin/fault-scenario.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** Does something to the leader as its nth message leaves. */
function atLeaderMessage(
  cluster: SimulatedCluster,
  n: number,
  act: (leader: number) => void,
): void {
  let left = n;
  cluster.network.onSend = (from) => {
    const leader = cluster.leader();
    if (leader === undefined || from !== `node-${leader}` || left <= 0) return;
    left--;
    if (left === 0) act(leader);
  };
}

void test('a quiet day: every job runs to its end', async () => {
  const cluster = new SimulatedCluster({ seed: 1 });
  await cluster.run(3000);
  for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 1 + i, cpus: 1 + (i % 3) }, 4000);
  cluster.users.submit({ taskCount: 3, zone: 'b', allowSpot: false }, 3000);
  cluster.users.submit({ taskCount: 5, spreadZones: true }, 3000);
  cluster.users.submit({ taskCount: 4, singleZone: true }, 3000);
  cluster.users.submit({ taskCount: 6, cpus: 8 }, 20_000, 15_000);
  cluster.users.pollUnknownJob();
  await recoverAndVerify(cluster, 'quiet');
  assert.ok(cluster.startCount >= 30);
});

void test('the leader is killed at every step', async () => {
  // The nth message of the leader is the last thing it does; what was sent before still arrives.
  for (let step = 1; step <= 60; step++) {
    const cluster = new SimulatedCluster({ seed: 100 + step });
    await cluster.run(2000);
    atLeaderMessage(cluster, step, (leader) => {
      cluster.killController(leader);
      cluster.time.after(step % 3 === 0 ? 200 : 5000, () => cluster.startController(leader));
    });
    cluster.users.submit({ taskCount: 3 }, 3000);
    cluster.users.submit({ taskCount: 2, cpus: 4 }, 6000, step % 2 === 0 ? 14_000 : undefined);
    await cluster.run(30_000);
    await recoverAndVerify(cluster, `killed at step ${step}`);
  }
});

void test('a cancellation during an outage, and while the leader is cut off', async () => {
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

void test('a cut between zones with late delivery, and a machine that hangs', async () => {
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

void test('the leader is frozen at every step, for a moment or for several leases', async () => {
  for (let step = 1; step <= 45; step++) {
    const cluster = new SimulatedCluster({ seed: 400 + step });
    await cluster.run(2000);
    atLeaderMessage(cluster, step, (leader) => {
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

void test('days on which everything goes wrong', async () => {
  for (let seed = 1001; seed <= 1025; seed++)
    await recoverAndVerify(await runFaultScenario(seed), `seed ${seed}`);
});
