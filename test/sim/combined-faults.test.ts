/** Worlds with several faults at the same time or in close sequence; `docs/meetings.md` says what each has shown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OVERLOADED_CONTROLLER_CPU, recoverAndVerify } from '../standin/fault-scenario.js';
import { NO_ZONE } from '../standin/network.js';
import { CONTROLLERS } from '../standin/cluster-settings.js';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** A combination of faults. The rules are checked while it is played and after all faults are over. */
interface Combination {
  readonly name: string;
  readonly seeds: readonly number[];
  /** The quota of its team; without it, the usual one. */
  readonly maxCpus?: number;
  readonly play: (cluster: SimulatedCluster, seed: number) => Promise<void>;
}

/** Jobs that run for long, each on its own machines, and a fleet that has been up for a while. */
async function longJobs(
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

/** Ends the leader, and starts its node again after so many milliseconds. */
function endLeader(cluster: SimulatedCluster, downMs: number): void {
  const leader = cluster.leader();
  if (leader === undefined) return;
  cluster.killController(leader);
  cluster.time.after(downMs, () => cluster.startController(leader));
}

function after(cluster: SimulatedCluster, delay: number, run: () => void): void {
  cluster.time.after(delay, run);
}

/** The leader is refused alone for a while, and then the state service is out for all. */
function refuseLeaderThenAll(
  cluster: SimulatedCluster,
  outageAfter: number,
  outageFor: number,
): void {
  const leader = cluster.leader() ?? 0;
  cluster.store.setOutageFor(`node-${leader}`, true);
  after(cluster, 14_000, () => cluster.store.setOutageFor(`node-${leader}`, false));
  after(cluster, outageAfter, () => cluster.store.setOutage(true));
  after(cluster, outageAfter + outageFor, () => cluster.store.setOutage(false));
}

const combinations: readonly Combination[] = [
  // From refusal to outage: before, while and after the leader key runs out.
  ...[500, 2000, 3800, 4300, 5000, 8000, 12_000].map((outageAfter): Combination => ({
    name: `the leader is refused alone, and ${outageAfter} ms later all are for longer than cancel_s`,
    seeds: [1, 2, 3, 4, 5],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 6);
      refuseLeaderThenAll(cluster, outageAfter, seed % 2 === 0 ? 53_000 : 26_000);
      const leader = cluster.leader() ?? 0;
      if (seed === 3) {
        cluster.setControllerFrozen(leader, true);
        after(cluster, 9000, () => cluster.setControllerFrozen(leader, false));
      }
      // Some workers get no answers from a new leader.
      if (seed >= 4)
        for (const id of [...cluster.workers.keys()].slice(0, 2))
          cluster.setIncomingDropped(id, true);
      for (let at = 0; at <= outageAfter + 1000; at += 700) {
        after(cluster, at, () => cluster.cancelRunningJobs(1, 0));
      }
      await cluster.run(75_000);
    },
  })),
  {
    name: 'jobs are cancelled as the leader is refused, on machines that hang, and then all are refused',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 6);
      refuseLeaderThenAll(cluster, 1000, 53_000);
      cluster.cancelRunningJobs(4, seed * 8000);
      await cluster.run(75_000);
    },
  },
  {
    name: 'leaders change ten times in two minutes, and small jobs end far apart meanwhile',
    seeds: [1, 2, 3],
    play: async (cluster, seed) => {
      await cluster.run(2500);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit(
          { taskCount: 2 + (i % 2) },
          4000 + 5000 * i,
          i % 3 === 0 ? 9000 * i : undefined,
        );
        endLeader(cluster, [200, 700, 5000][(i + seed) % 3] ?? 0);
        if (i === 5) {
          cluster.store.setOutage(true);
          after(cluster, 30_000, () => cluster.store.setOutage(false));
        }
        await cluster.run(12_000);
      }
    },
  },
  {
    name: 'new leaders end before they know the records, while jobs are cancelled',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (cluster) => {
      await longJobs(cluster, 4);
      cluster.cancelRunningJobs(4, 0);
      // The cancellations are in the store, and the workers have no commands yet.
      cluster.network.holdRequests('/commands');
      await cluster.run(250);
      cluster.store.refusedListPrefix = 'live/';
      for (let i = 0; i < 9; i++) {
        endLeader(cluster, 300);
        await cluster.run(6000);
      }
      cluster.store.refusedListPrefix = undefined;
    },
  },
  {
    name: 'the state service answers slowly while users cancel and ask, and the leader ends',
    seeds: [1, 2, 3],
    play: async (cluster) => {
      await cluster.run(2500);
      cluster.setStoreDelay(900);
      for (let i = 0; i < 8; i++) cluster.users.submit({ taskCount: 2 }, 6000, 3000 * i);
      await cluster.run(20_000);
      endLeader(cluster, 400);
      await cluster.run(20_000);
    },
  },
  {
    name: 'all controllers are away for longer than a lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 4, 60_000);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(seed * 150);
      for (const node of CONTROLLERS) cluster.killController(node);
      for (const node of CONTROLLERS) after(cluster, 30_000, () => cluster.startController(node));
      await cluster.run(45_000);
    },
  },
  {
    name: 'a leader ends while machines with long tasks can not be reached or get no answers from the next one',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 5, 80_000);
      const some = [...cluster.workers.keys()].slice(0, 3);
      for (const id of some) {
        if (seed % 2 === 0) cluster.setIncomingDropped(id, true);
        else cluster.setMachineHung(id, true);
      }
      endLeader(cluster, 5000);
      after(cluster, 2000, () => cluster.cancelRunningJobs(3, 0));
      await cluster.run(18_000);
      for (const id of some) {
        cluster.setIncomingDropped(id, false);
        cluster.setMachineHung(id, false);
      }
      await cluster.run(40_000);
    },
  },
  {
    name: 'transactions without an answer are carried out late, also those of a process that ended',
    seeds: [1, 2, 3, 4, 5, 6],
    play: async (cluster, seed) => {
      await cluster.run(2500);
      cluster.setDelayedWriteShare(0.35);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit({ taskCount: 2 }, 5000, i % 2 === 0 ? 2500 * i : undefined);
        if (i % 4 === seed % 4) endLeader(cluster, 300);
        await cluster.run(3500);
      }
      await cluster.run(15_000);
    },
  },
  {
    name: 'jobs are cancelled, asked for and submitted again at the moment of their end',
    seeds: [1, 2, 3],
    play: async (cluster) => {
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
    name: 'copies of heartbeats and commands arrive late, also of earlier sessions, at any controller',
    seeds: [1, 2, 3, 4],
    play: async (cluster, seed) => {
      await cluster.run(2500);
      cluster.setDuplicateShare(0.4);
      for (let i = 0; i < 10; i++) {
        cluster.users.submit({ taskCount: 2 }, 9000, i % 3 === 0 ? 2500 * i : undefined);
        if (i % 5 === seed % 5) endLeader(cluster, 800);
        const ids = [...cluster.workers.keys()];
        if (i === 6) for (const id of ids.slice(0, 2)) cluster.restartWorker(id);
        await cluster.run(6000);
      }
    },
  },
  {
    name: 'a leader is cut off from the store and the others, not from workers, while jobs are cancelled',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 5);
      cluster.isolateController(cluster.leader() ?? 0, seed % 2 === 0);
      for (let i = 0; i < 6; i++) {
        await cluster.run(2500);
        cluster.cancelRunningJobs(1, 0);
      }
      await cluster.run(40_000);
    },
  },
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 5, 70_000);
      const [cut, b, c] =
        seed === 1 ? ['a', 'b', 'c'] : seed === 2 ? ['b', 'a', 'c'] : ['c', 'a', 'b'];
      cluster.network.setPartitioned(cut, b, true);
      cluster.network.setPartitioned(cut, c, true);
      cluster.network.setPartitioned(cut, NO_ZONE, true);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(50_000);
      cluster.network.setPartitioned(cut, NO_ZONE, false);
    },
  },
  {
    name: 'a team at its quota, a new leader, machines that can not be reached, and a cancellation',
    seeds: [1, 2, 3, 4],
    maxCpus: 24,
    play: async (cluster, seed) => {
      await longJobs(cluster, 4, 45_000);
      for (let i = 0; i < 4; i++) cluster.users.submit({ taskCount: 3, cpus: 2 }, 9000);
      const some = [...cluster.workers.keys()].slice(0, 2);
      for (const id of some) {
        if (seed % 2 === 0) cluster.setHeartbeatsBlocked(id, true);
        else cluster.setMachineHung(id, true);
      }
      endLeader(cluster, 500);
      await cluster.run(seed * 1500);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(16_000);
      endLeader(cluster, 500);
      await cluster.run(20_000);
    },
  },
  {
    name: 'commands and their answers are held up for seconds, and the machine then goes on',
    seeds: [1, 2, 3],
    play: async (cluster, seed) => {
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
    name: 'controllers hand over and back, all end, and one returns within a second',
    seeds: [1, 2, 3],
    play: async (cluster, seed) => {
      await cluster.run(2500);
      for (let i = 0; i < 6; i++) cluster.users.submit({ taskCount: 2 }, 5000 * (i + 1));
      for (let i = 0; i < 6; i++) {
        endLeader(cluster, 400);
        await cluster.run(5000);
        for (const node of CONTROLLERS) cluster.killController(node);
        after(cluster, 100 + 250 * seed, () => cluster.startController(i % 3));
        for (const node of CONTROLLERS) after(cluster, 5000, () => cluster.startController(node));
        await cluster.run(7000);
      }
    },
  },
  {
    name: 'jobs that are bound to one zone, in a single zone or spread lose their machines',
    seeds: [1, 2, 3],
    play: async (cluster, seed) => {
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
      endLeader(cluster, 1000);
      await cluster.run(20_000);
    },
  },
  {
    name: 'more work than the machines can take, urgent and not, over slow links',
    seeds: [1, 2],
    maxCpus: 0,
    play: async (cluster) => {
      cluster.cloud.capacityPerOffer = 1;
      await cluster.run(2500);
      cluster.network.extraDelayMs = () => 60 * cluster.random();
      for (let i = 0; i < 24; i++) {
        const urgent = i % 2 === 0;
        const size = urgent ? { cpus: 1 } : { cpus: [2, 6][i % 4 === 1 ? 0 : 1] ?? 2 };
        cluster.users.submit({ ...size, taskCount: 3, priority: urgent ? 'high' : 'normal' }, 6000);
        await cluster.run(1500);
      }
      await cluster.run(30_000);
      cluster.network.extraDelayMs = undefined;
    },
  },
  {
    name: 'workers reach no controller while commands reach them, and their jobs are cancelled',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 5);
      for (const id of [...cluster.workers.keys()].slice(0, 2))
        cluster.setHeartbeatsBlocked(id, true);
      await cluster.run(seed * 3000);
      cluster.cancelRunningJobs(4, 0);
      if (seed === 2) endLeader(cluster, 5000);
      await cluster.run(70_000);
    },
  },
  {
    name: 'heartbeats are held back until a new leader has acted, and then arrive there',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (cluster, seed) => {
      await longJobs(cluster, 4, 60_000);
      cluster.network.holdRequests('/agent/beat');
      await cluster.run(3500);
      endLeader(cluster, seed === 1 ? 300 : 5000);
      cluster.cancelRunningJobs(2, 0);
      await cluster.run(6000 + 2000 * seed);
      cluster.network.holdRequests(undefined);
      await cluster.run(30_000);
    },
  },
];

for (const { name, seeds, maxCpus = 24, play } of combinations) {
  void test(name, async () => {
    for (const seed of seeds) {
      // With the last seed, the leader redirects the workers that report to it to the other nodes.
      const small = seed === seeds.at(-1) ? { controllerCpu: OVERLOADED_CONTROLLER_CPU } : {};
      const cluster = new SimulatedCluster({ seed: 5000 + seed, maxCpus, ...small });
      cluster.cloud.bootFailureShare = 0;
      await play(cluster, seed);
      await recoverAndVerify(cluster, `${name}, seed ${seed}`);
    }
  });
}
