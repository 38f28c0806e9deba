/**
 * Several faults at the same time or in close sequence: failovers during outages of the store, cancellations on
 * machines that hang, requests that arrive late or twice. Guards against lost jobs, tasks that run twice and
 * cancelled tasks that go on running. `docs/meetings.md` lists what each combination has revealed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OVERLOADED_CONTROLLER_CPU, recoverAndVerify } from '../standin/fault-scenario.js';
import { NO_ZONE } from '../standin/network.js';
import { CONTROLLERS } from '../standin/cluster-settings.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** A combination of faults. The invariants are checked while it runs and after all faults have ended. */
interface FaultCombination {
  readonly name: string;
  readonly seeds: readonly number[];
  /** The quota of the team in processors; 24 by default, 0 for no limit. */
  readonly maxCpus?: number;
  readonly run: (cluster: SimulatedCluster, seed: number) => Promise<void>;
}

/** Submits long jobs and waits until all their tasks have started. */
async function startLongJobs(
  cluster: SimulatedCluster,
  count: number,
  runMs = 200_000,
): Promise<string[]> {
  const ids: string[] = [];
  await cluster.run(2500);
  for (let i = 0; i < count; i++) ids.push(cluster.users.submit({ taskCount: 3, cpus: 2 }, runMs));
  await cluster.run(30_000);
  assert.ok(cluster.startCount >= count * 3, `${cluster.startCount} started`);
  return ids;
}

/** Kills the leader and restarts it after `downMs`. */
function killLeader(cluster: SimulatedCluster, downMs: number): void {
  const leader = cluster.leader();
  if (leader === undefined) return;
  cluster.killController(leader);
  cluster.time.after(downMs, () => cluster.startController(leader));
}

function schedule(cluster: SimulatedCluster, delay: number, run: () => void): void {
  cluster.time.after(delay, run);
}

/** The store refuses only the leader for a while, and then has an outage for all. */
function refuseLeaderBeforeOutage(
  cluster: SimulatedCluster,
  outageAfterMs: number,
  outageMs: number,
): void {
  const leader = cluster.leader() ?? 0;
  cluster.store.setOutageFor(`node-${leader}`, true);
  schedule(cluster, 14_000, () => cluster.store.setOutageFor(`node-${leader}`, false));
  schedule(cluster, outageAfterMs, () => cluster.store.setOutage(true));
  schedule(cluster, outageAfterMs + outageMs, () => cluster.store.setOutage(false));
}

const combinations: readonly FaultCombination[] = [
  // The outage begins this long after the refusal: before, while and after the leader key expires.
  ...[500, 2000, 3800, 4300, 5000, 8000, 12_000].map((outageAfterMs): FaultCombination => ({
    name: `the store refuses the leader only, and all controllers ${outageAfterMs} ms later for longer than cancel_s`,
    seeds: [1, 2, 3, 4, 5],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 6);
      refuseLeaderBeforeOutage(cluster, outageAfterMs, seed % 2 === 0 ? 53_000 : 26_000);
      const leader = cluster.leader() ?? 0;
      if (seed === 3) {
        cluster.setControllerFrozen(leader, true);
        schedule(cluster, 9000, () => cluster.setControllerFrozen(leader, false));
      }
      // Some workers get no responses from a new leader.
      if (seed >= 4)
        for (const id of [...cluster.workers.keys()].slice(0, 2))
          cluster.setIncomingDropped(id, true);
      for (let at = 0; at <= outageAfterMs + 1000; at += 700) {
        schedule(cluster, at, () => cluster.cancelRunningJobs(1, 0));
      }
      await cluster.run(75_000);
    },
  })),
  {
    name: 'jobs on machines that hang are cancelled while the store refuses the leader, before an outage for all',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 6);
      refuseLeaderBeforeOutage(cluster, 1000, 53_000);
      cluster.cancelRunningJobs(4, seed * 8000);
      await cluster.run(75_000);
    },
  },
  {
    name: 'jobs of different lengths finish during ten failovers in two minutes',
    seeds: [1, 2, 3],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit(
          { taskCount: 2 + (i % 2) },
          4000 + 5000 * i,
          i % 3 === 0 ? 9000 * i : undefined,
        );
        killLeader(cluster, [200, 700, 5000][(i + seed) % 3] ?? 0);
        if (i === 5) {
          cluster.store.setOutage(true);
          schedule(cluster, 30_000, () => cluster.store.setOutage(false));
        }
        await cluster.run(12_000);
      }
    },
  },
  {
    name: 'new leaders are killed before they have read the records, while jobs are being cancelled',
    seeds: [1, 2, 3],
    maxCpus: 0,
    run: async (cluster) => {
      await startLongJobs(cluster, 4);
      cluster.cancelRunningJobs(4, 0);
      // The cancellations are in the store, but the workers have got no commands yet.
      cluster.network.holdRequests('/commands');
      await cluster.run(250);
      cluster.store.refusedListPrefix = 'live/';
      for (let i = 0; i < 9; i++) {
        killLeader(cluster, 300);
        await cluster.run(6000);
      }
      cluster.store.refusedListPrefix = undefined;
    },
  },
  {
    name: 'the store responds slowly while users cancel and poll, and the leader is killed',
    seeds: [1, 2, 3],
    run: async (cluster) => {
      await cluster.run(2500);
      cluster.setStoreDelay(900);
      for (let i = 0; i < 8; i++) cluster.users.submit({ taskCount: 2 }, 6000, 3000 * i);
      await cluster.run(20_000);
      killLeader(cluster, 400);
      await cluster.run(20_000);
    },
  },
  {
    name: 'all controllers are down for longer than a worker lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 4, 60_000);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(seed * 150);
      for (const controller of CONTROLLERS) cluster.killController(controller);
      for (const controller of CONTROLLERS)
        schedule(cluster, 30_000, () => cluster.startController(controller));
      await cluster.run(45_000);
    },
  },
  {
    name: 'the leader is killed while machines with long tasks hang or get no responses',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 5, 80_000);
      const faultyMachines = [...cluster.workers.keys()].slice(0, 3);
      for (const id of faultyMachines) {
        if (seed % 2 === 0) cluster.setIncomingDropped(id, true);
        else cluster.setMachineHung(id, true);
      }
      killLeader(cluster, 5000);
      schedule(cluster, 2000, () => cluster.cancelRunningJobs(3, 0));
      await cluster.run(18_000);
      for (const id of faultyMachines) {
        cluster.setIncomingDropped(id, false);
        cluster.setMachineHung(id, false);
      }
      await cluster.run(40_000);
    },
  },
  {
    name: 'transactions without a response are carried out late, also those of a killed process',
    seeds: [1, 2, 3, 4, 5, 6],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      cluster.setDelayedWriteShare(0.35);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit({ taskCount: 2 }, 5000, i % 2 === 0 ? 2500 * i : undefined);
        if (i % 4 === seed % 4) killLeader(cluster, 300);
        await cluster.run(3500);
      }
      await cluster.run(15_000);
    },
  },
  {
    name: 'jobs are cancelled, polled and submitted again at the moment when they finish',
    seeds: [1, 2, 3],
    run: async (cluster) => {
      await cluster.run(2500);
      cluster.cancelOnCompletionShare = 0.8;
      for (let i = 0; i < 12; i++) {
        cluster.users.submit({ taskCount: 1 + (i % 2) }, 3000);
        cluster.users.sendUnexpectedRequests();
        await cluster.run(2500);
      }
      await cluster.run(20_000);
    },
  },
  {
    name: 'copies of heartbeats and commands, also of earlier sessions, arrive late at any controller',
    seeds: [1, 2, 3, 4],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      cluster.setDuplicateShare(0.4);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit({ taskCount: 2 }, 9000, i % 3 === 0 ? 2500 * i : undefined);
        if (i % 5 === seed % 5) killLeader(cluster, 800);
        const ids = [...cluster.workers.keys()];
        if (i === 6) for (const id of ids.slice(0, 2)) cluster.restartWorker(id);
        await cluster.run(6000);
      }
    },
  },
  {
    name: 'a leader is cut off from the store and its peers, but not from workers, while jobs are cancelled',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 5);
      cluster.isolateController(cluster.leader() ?? 0, seed % 2 === 0);
      for (let i = 0; i < 6; i++) {
        await cluster.run(2500);
        cluster.cancelRunningJobs(1, 0);
      }
      await cluster.run(40_000);
    },
  },
  {
    name: 'a zone with workers and a controller is partitioned off for longer than a worker lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 5, 70_000);
      const [isolatedZone, otherZone, thirdZone] =
        seed === 1 ? ['a', 'b', 'c'] : seed === 2 ? ['b', 'a', 'c'] : ['c', 'a', 'b'];
      cluster.network.setPartitioned(isolatedZone, otherZone, true);
      cluster.network.setPartitioned(isolatedZone, thirdZone, true);
      cluster.network.setPartitioned(isolatedZone, NO_ZONE, true);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(50_000);
      cluster.network.setPartitioned(isolatedZone, NO_ZONE, false);
    },
  },
  {
    name: 'a team at its quota with failovers, unreachable machines and cancellations',
    seeds: [1, 2, 3, 4],
    maxCpus: 24,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 4, 45_000);
      for (let i = 0; i < 4; i++) cluster.users.submit({ taskCount: 3, cpus: 2 }, 9000);
      const faultyMachines = [...cluster.workers.keys()].slice(0, 2);
      for (const id of faultyMachines) {
        if (seed % 2 === 0) cluster.setHeartbeatsBlocked(id, true);
        else cluster.setMachineHung(id, true);
      }
      killLeader(cluster, 500);
      await cluster.run(seed * 1500);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(16_000);
      killLeader(cluster, 500);
      await cluster.run(20_000);
    },
  },
  {
    name: 'commands are held back for seconds while machines hang, and arrive when the machines resume',
    seeds: [1, 2, 3],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      cluster.users.submit({ taskCount: 2 }, 90_000);
      await cluster.run(18_000);
      for (let i = 0; i < 5; i++) {
        cluster.network.holdRequests('/commands');
        cluster.users.submit({ taskCount: 2 }, 8000, i % 2 === 0 ? 500 + 700 * seed : undefined);
        const ids = [...cluster.workers.keys()];
        const hung = ids[i % ids.length] ?? '';
        cluster.setMachineHung(hung, true);
        await cluster.run(4000 + 1500 * seed);
        cluster.setMachineHung(hung, false);
        cluster.network.holdRequests(undefined);
        await cluster.run(3000);
      }
    },
  },
  {
    name: 'failovers alternate with kills of all controllers, of which one restarts within a second',
    seeds: [1, 2, 3],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 2 }, 5000 * (i + 1));
      for (let i = 0; i < 6; i++) {
        killLeader(cluster, 400);
        await cluster.run(5000);
        for (const controller of CONTROLLERS) cluster.killController(controller);
        schedule(cluster, 100 + 250 * seed, () => cluster.startController(i % 3));
        for (const controller of CONTROLLERS)
          schedule(cluster, 5000, () => cluster.startController(controller));
        await cluster.run(7000);
      }
    },
  },
  {
    name: 'jobs with zone constraints lose their machines',
    seeds: [1, 2, 3],
    run: async (cluster, seed) => {
      await cluster.run(2500);
      for (let i = 0; i < 3; i++) {
        cluster.users.submit({ taskCount: 3, zone: 'b' }, 15_000);
        cluster.users.submit({ taskCount: 4, singleZone: true }, 15_000);
        cluster.users.submit({ taskCount: 4, spreadZones: true }, 15_000);
        cluster.users.submit({ taskCount: 3, spreadZones: true, zone: 'c' }, 5000);
        cluster.users.submit({ taskCount: 3, spreadZones: true, singleZone: true }, 5000);
      }
      await cluster.run(25_000);
      for (const { machine } of [...cluster.workers.values()]) {
        if (machine.zone === (seed % 2 === 0 ? 'b' : 'a')) cluster.cloud.end(machine.id);
      }
      killLeader(cluster, 1000);
      await cluster.run(20_000);
    },
  },
  {
    name: 'urgent and other jobs exceed the capacity of the machines over a slow network',
    seeds: [1, 2],
    maxCpus: 0,
    run: async (cluster) => {
      cluster.cloud.capacityPerOffer = 1;
      await cluster.run(2500);
      cluster.network.extraDelayMs = () => 60 * cluster.random();
      for (let i = 0; i < 24; i++) {
        const isUrgent = i % 2 === 0;
        const size = isUrgent ? { cpus: 1 } : { cpus: [2, 6][i % 4 === 1 ? 0 : 1] ?? 2 };
        cluster.users.submit(
          { ...size, taskCount: 3, priority: isUrgent ? 'high' : 'normal' },
          6000,
        );
        await cluster.run(1500);
      }
      await cluster.run(30_000);
      cluster.network.extraDelayMs = undefined;
    },
  },
  {
    name: 'jobs are cancelled on workers that reach no controller, while commands reach them',
    seeds: [1, 2, 3],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 5);
      for (const id of [...cluster.workers.keys()].slice(0, 2))
        cluster.setHeartbeatsBlocked(id, true);
      await cluster.run(seed * 3000);
      cluster.cancelRunningJobs(4, 0);
      if (seed === 2) killLeader(cluster, 5000);
      await cluster.run(70_000);
    },
  },
  {
    name: 'heartbeats are held back until a new leader has acted, and then arrive at it',
    seeds: [1, 2, 3],
    maxCpus: 0,
    run: async (cluster, seed) => {
      await startLongJobs(cluster, 4, 60_000);
      cluster.network.holdRequests('/agent/beat');
      await cluster.run(3500);
      killLeader(cluster, seed === 1 ? 300 : 5000);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(6000 + 2000 * seed);
      cluster.network.holdRequests(undefined);
      await cluster.run(30_000);
    },
  },
];

for (const { name, seeds, maxCpus = 24, run } of combinations) {
  void test(name, async () => {
    for (const seed of seeds) {
      // With the last seed, the leader redirects its workers to the other controllers.
      const overload = seed === seeds.at(-1) ? { controllerCpu: OVERLOADED_CONTROLLER_CPU } : {};
      const cluster = new SimulatedCluster({ seed: 5000 + seed, maxCpus, ...overload });
      cluster.cloud.bootFailureShare = 0;
      await run(cluster, seed);
      await recoverAndVerify(cluster, `${name}, seed ${seed}`);
    }
  });
}
