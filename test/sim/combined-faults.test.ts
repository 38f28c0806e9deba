/** Worlds with several faults at the same time or in close sequence; `docs/meetings.md` says what each has shown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TINY_CPU, settle } from '../standin/day.js';
import { REGION } from '../standin/network.js';
import { NODES } from '../standin/platform.js';
import { World } from '../standin/world.js';

/** A combination of faults. The rules are checked while it is played and after all faults are over. */
interface Combination {
  readonly name: string;
  readonly seeds: readonly number[];
  /** The quota of its team; without it, the usual one. */
  readonly maxCpus?: number;
  readonly play: (world: World, seed: number) => Promise<void>;
}

/** Jobs that run for long, each on its own machines, and a fleet that has been up for a while. */
async function longJobs(world: World, count: number, runMs = 200_000): Promise<string[]> {
  const ids: string[] = [];
  await world.run(2500);
  for (let i = 0; i < count; i++) ids.push(world.users.submit({ taskCount: 3, cpus: 2 }, runMs));
  await world.run(30_000);
  assert.ok(world.starts >= count * 3, `${world.starts} started`);
  return ids;
}

/** Ends the leader, and starts its node again after so many milliseconds. */
function endLeader(world: World, downMs: number): void {
  const leader = world.leaderNode();
  if (leader === undefined) return;
  world.killNode(leader);
  world.time.after(downMs, () => world.startNode(leader));
}

function after(world: World, delay: number, run: () => void): void {
  world.time.after(delay, run);
}

/** The leader is refused alone for a while, and then the state service is out for all. */
function refuseLeaderThenAll(world: World, outageAfter: number, outageFor: number): void {
  const leader = world.leaderNode() ?? 0;
  world.state.outageFor(`node-${leader}`, true);
  after(world, 14_000, () => world.state.outageFor(`node-${leader}`, false));
  after(world, outageAfter, () => world.state.outage(true));
  after(world, outageAfter + outageFor, () => world.state.outage(false));
}

const combinations: readonly Combination[] = [
  // From refusal to outage: before, while and after the leader key runs out.
  ...[500, 2000, 3800, 4300, 5000, 8000, 12_000].map((outageAfter): Combination => ({
    name: `the leader is refused alone, and ${outageAfter} ms later all are for longer than cancel_s`,
    seeds: [1, 2, 3, 4, 5],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 6);
      refuseLeaderThenAll(world, outageAfter, seed % 2 === 0 ? 53_000 : 26_000);
      const leader = world.leaderNode() ?? 0;
      if (seed === 3) {
        world.freezeNode(leader, true);
        after(world, 9000, () => world.freezeNode(leader, false));
      }
      // Some workers get no answers from a new leader.
      if (seed >= 4)
        for (const id of [...world.workers.keys()].slice(0, 2)) world.dropIncoming(id, true);
      for (let at = 0; at <= outageAfter + 1000; at += 700) {
        after(world, at, () => world.cancelRunning(1, 0));
      }
      await world.run(75_000);
    },
  })),
  {
    name: 'jobs are cancelled as the leader is refused, on machines that hang, and then all are refused',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 6);
      refuseLeaderThenAll(world, 1000, 53_000);
      world.cancelRunning(4, seed * 8000);
      await world.run(75_000);
    },
  },
  {
    name: 'leaders change ten times in two minutes, and small jobs end far apart meanwhile',
    seeds: [1, 2, 3],
    play: async (world, seed) => {
      await world.run(2500);
      for (let i = 0; i < 10; i++) {
        world.users.submit(
          { taskCount: 2 + (i % 2) },
          4000 + 5000 * i,
          i % 3 === 0 ? 9000 * i : undefined,
        );
        endLeader(world, [200, 700, 5000][(i + seed) % 3] ?? 0);
        if (i === 5) {
          world.state.outage(true);
          after(world, 30_000, () => world.state.outage(false));
        }
        await world.run(12_000);
      }
    },
  },
  {
    name: 'new leaders end before they know the records, while jobs are cancelled',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (world) => {
      await longJobs(world, 4);
      world.cancelRunning(4, 0);
      // The cancellations are in the store, and the workers have no commands yet.
      world.network.hold('/commands');
      await world.run(250);
      world.state.refusedPrefix = 'live/';
      for (let i = 0; i < 9; i++) {
        endLeader(world, 300);
        await world.run(6000);
      }
      world.state.refusedPrefix = undefined;
    },
  },
  {
    name: 'the state service answers slowly while users cancel and ask, and the leader ends',
    seeds: [1, 2, 3],
    play: async (world) => {
      await world.run(2500);
      world.slowStore(900);
      for (let i = 0; i < 8; i++) world.users.submit({ taskCount: 2 }, 6000, 3000 * i);
      await world.run(20_000);
      endLeader(world, 400);
      await world.run(20_000);
    },
  },
  {
    name: 'all controllers are away for longer than a lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 4, 60_000);
      world.cancelRunning(2, 0);
      await world.run(seed * 150);
      for (const node of NODES) world.killNode(node);
      for (const node of NODES) after(world, 30_000, () => world.startNode(node));
      await world.run(45_000);
    },
  },
  {
    name: 'a leader ends while machines with long tasks can not be reached or get no answers from the next one',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 5, 80_000);
      const some = [...world.workers.keys()].slice(0, 3);
      for (const id of some) {
        if (seed % 2 === 0) world.dropIncoming(id, true);
        else world.hangWorker(id, true);
      }
      endLeader(world, 5000);
      after(world, 2000, () => world.cancelRunning(3, 0));
      await world.run(18_000);
      for (const id of some) {
        world.dropIncoming(id, false);
        world.hangWorker(id, false);
      }
      await world.run(40_000);
    },
  },
  {
    name: 'transactions without an answer are carried out late, also those of a process that ended',
    seeds: [1, 2, 3, 4, 5, 6],
    play: async (world, seed) => {
      await world.run(2500);
      world.delayWrites(0.35);
      for (let i = 0; i < 10; i++) {
        world.users.submit({ taskCount: 2 }, 5000, i % 2 === 0 ? 2500 * i : undefined);
        if (i % 4 === seed % 4) endLeader(world, 300);
        await world.run(3500);
      }
      await world.run(15_000);
    },
  },
  {
    name: 'jobs are cancelled, asked for and submitted again at the moment of their end',
    seeds: [1, 2, 3],
    play: async (world) => {
      await world.run(2500);
      world.cancelAtEndShare = 0.8;
      for (let i = 0; i < 12; i++) {
        world.users.submit({ taskCount: 1 + (i % 2) }, 3000);
        world.users.sendOddRequests();
        await world.run(2500);
      }
      await world.run(20_000);
    },
  },
  {
    name: 'copies of heartbeats and commands arrive late, also of earlier sessions, at any controller',
    seeds: [1, 2, 3, 4],
    play: async (world, seed) => {
      await world.run(2500);
      world.duplicateMessages(0.4);
      for (let i = 0; i < 10; i++) {
        world.users.submit({ taskCount: 2 }, 9000, i % 3 === 0 ? 2500 * i : undefined);
        if (i % 5 === seed % 5) endLeader(world, 800);
        const ids = [...world.workers.keys()];
        if (i === 6) for (const id of ids.slice(0, 2)) world.restartWorker(id);
        await world.run(6000);
      }
    },
  },
  {
    name: 'a leader is cut off from the store and the others, not from workers, while jobs are cancelled',
    seeds: [1, 2, 3, 4],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 5);
      world.isolateNode(world.leaderNode() ?? 0, seed % 2 === 0);
      for (let i = 0; i < 6; i++) {
        await world.run(2500);
        world.cancelRunning(1, 0);
      }
      await world.run(40_000);
    },
  },
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 5, 70_000);
      const [cut, b, c] =
        seed === 1 ? ['a', 'b', 'c'] : seed === 2 ? ['b', 'a', 'c'] : ['c', 'a', 'b'];
      world.network.cut(cut, b, true);
      world.network.cut(cut, c, true);
      world.network.cut(cut, REGION, true);
      world.cancelRunning(2, 0);
      await world.run(50_000);
      world.network.cut(cut, REGION, false);
    },
  },
  {
    name: 'a team at its quota, a new leader, machines that can not be reached, and a cancellation',
    seeds: [1, 2, 3, 4],
    maxCpus: 24,
    play: async (world, seed) => {
      await longJobs(world, 4, 45_000);
      for (let i = 0; i < 4; i++) world.users.submit({ taskCount: 3, cpus: 2 }, 9000);
      const some = [...world.workers.keys()].slice(0, 2);
      for (const id of some) {
        if (seed % 2 === 0) world.blockHeartbeats(id, true);
        else world.hangWorker(id, true);
      }
      endLeader(world, 500);
      await world.run(seed * 1500);
      world.cancelRunning(2, 0);
      await world.run(16_000);
      endLeader(world, 500);
      await world.run(20_000);
    },
  },
  {
    name: 'commands and their answers are held up for seconds, and the machine then goes on',
    seeds: [1, 2, 3],
    play: async (world, seed) => {
      await world.run(2500);
      world.users.submit({ taskCount: 2 }, 90_000);
      await world.run(18_000);
      for (let i = 0; i < 5; i++) {
        world.network.hold('/commands');
        world.users.submit({ taskCount: 2 }, 8000, i % 2 === 0 ? 500 + 700 * seed : undefined);
        const ids = [...world.workers.keys()];
        const hung = ids[i % ids.length] ?? '';
        world.hangWorker(hung, true);
        await world.run(4000 + 1500 * seed);
        world.hangWorker(hung, false);
        world.network.hold(undefined);
        await world.run(3000);
      }
    },
  },
  {
    name: 'controllers hand over and back, all end, and one returns within a second',
    seeds: [1, 2, 3],
    play: async (world, seed) => {
      await world.run(2500);
      for (let i = 0; i < 6; i++) world.users.submit({ taskCount: 2 }, 5000 * (i + 1));
      for (let i = 0; i < 6; i++) {
        endLeader(world, 400);
        await world.run(5000);
        for (const node of NODES) world.killNode(node);
        after(world, 100 + 250 * seed, () => world.startNode(i % 3));
        for (const node of NODES) after(world, 5000, () => world.startNode(node));
        await world.run(7000);
      }
    },
  },
  {
    name: 'jobs that are bound to one zone, in a single zone or spread lose their machines',
    seeds: [1, 2, 3],
    play: async (world, seed) => {
      await world.run(2500);
      for (let i = 0; i < 3; i++) {
        world.users.submit({ taskCount: 3, zone: 'b' }, 15_000);
        world.users.submit({ taskCount: 4, singleZone: true }, 15_000);
        world.users.submit({ taskCount: 4, spreadZones: true }, 15_000);
        world.users.submit({ taskCount: 3, spreadZones: true, zone: 'c' }, 5000);
        world.users.submit({ taskCount: 3, spreadZones: true, singleZone: true }, 5000);
      }
      await world.run(25_000);
      for (const { machine } of [...world.workers.values()]) {
        if (machine.zone === (seed % 2 === 0 ? 'b' : 'a')) world.cloud.end(machine.id);
      }
      endLeader(world, 1000);
      await world.run(20_000);
    },
  },
  {
    name: 'more work than the machines can take, urgent and not, over slow links',
    seeds: [1, 2],
    maxCpus: 0,
    play: async (world) => {
      world.cloud.capacity = 1;
      await world.run(2500);
      world.network.extraDelay = () => 60 * world.random();
      for (let i = 0; i < 24; i++) {
        const urgent = i % 2 === 0;
        const size = urgent ? { cpus: 1 } : { cpus: [2, 6][i % 4 === 1 ? 0 : 1] ?? 2 };
        world.users.submit({ ...size, taskCount: 3, priority: urgent ? 'high' : 'normal' }, 6000);
        await world.run(1500);
      }
      await world.run(30_000);
      world.network.extraDelay = undefined;
    },
  },
  {
    name: 'workers reach no controller while commands reach them, and their jobs are cancelled',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 5);
      for (const id of [...world.workers.keys()].slice(0, 2)) world.blockHeartbeats(id, true);
      await world.run(seed * 3000);
      world.cancelRunning(4, 0);
      if (seed === 2) endLeader(world, 5000);
      await world.run(70_000);
    },
  },
  {
    name: 'heartbeats are held back until a new leader has acted, and then arrive there',
    seeds: [1, 2, 3],
    maxCpus: 0,
    play: async (world, seed) => {
      await longJobs(world, 4, 60_000);
      world.network.hold('/agent/beat');
      await world.run(3500);
      endLeader(world, seed === 1 ? 300 : 5000);
      world.cancelRunning(2, 0);
      await world.run(6000 + 2000 * seed);
      world.network.hold(undefined);
      await world.run(30_000);
    },
  },
];

for (const { name, seeds, maxCpus = 24, play } of combinations) {
  void test(name, async () => {
    for (const seed of seeds) {
      // With the last seed, the leader redirects the workers that report to it to the other nodes.
      const small = seed === seeds.at(-1) ? { controllerCpu: TINY_CPU } : {};
      const world = new World({ seed: 5000 + seed, maxCpus, ...small });
      world.cloud.bootFailureShare = 0;
      await play(world, seed);
      await settle(world, `${name}, seed ${seed}`);
    }
  });
}
