/**
 * What goes wrong on a bad day. The table's order and the order in which each mishap draws from the world's
 * randomness decide what a seed plays, so they stay as they are: a new mishap goes to the end.
 */
import type { Random } from '../../src/units/index.js';
import { NODES } from './platform.js';
import type { World } from './world.js';

/** The share of messages that are duplicated on a bad day at any time. */
export const DUPLICATE_SHARE = 0.02;

/** A random element of a list that is not empty. */
export const pick = <T>(random: Random, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)] as T;

const ZONE_PAIRS = [
  ['a', 'b'],
  ['b', 'c'],
  ['a', 'c'],
] as const;

/** One step of a day: what was drawn for whatever mishap comes. */
class Step {
  private readonly node: number;
  readonly zones: readonly [string, string];
  /** The machines that are up. */
  readonly machines: readonly string[];

  constructor(readonly world: World) {
    this.node = Math.floor(world.random() * NODES.length);
    this.zones = pick(world.random, ZONE_PAIRS);
    this.machines = [...world.workers.keys()];
  }

  /** Whether something happens that has such a probability. */
  chance(probability: number): boolean {
    return this.world.random() < probability;
  }

  /** A time between the shortest and so much more. */
  time(shortest: number, spread: number): number {
    return shortest + this.world.random() * spread;
  }

  after(delay: number, run: () => void): void {
    this.world.time.after(delay, run);
  }

  /** A random node. */
  anyNode(): number {
    return this.node;
  }

  /** With such a probability the leader, if there is one, else a random node. */
  leaderOrAnyNode(probability: number): number {
    return this.chance(probability) ? (this.world.leaderNode() ?? this.node) : this.node;
  }

  /** Does something to a random machine, if there is any. */
  toMachine(act: (id: string) => void): void {
    if (this.machines.length > 0) act(pick(this.world.random, this.machines));
  }
}

interface Mishap {
  /** How many of the slots it has, by one of which each step is decided. */
  readonly slots: number;
  readonly happen: (world: World, step: Step) => void;
}

/** Of these slots the mishaps leave some free: then nothing happens. */
const SLOT_COUNT = 34;

const killOne: Mishap = {
  slots: 2,
  happen: (world, step) => {
    const node = step.leaderOrAnyNode(0.6);
    world.killNode(node);
    step.after(step.chance(0.4) ? 300 : 6000, () => world.startNode(node));
  },
};

const killAll: Mishap = {
  slots: 1,
  happen: (world, step) => {
    for (const node of NODES) world.killNode(node);
    for (const node of NODES) step.after(step.time(1000, 6000), () => world.startNode(node));
  },
};

const cutZones: Mishap = {
  slots: 1,
  happen: (world, step) => {
    const [zone, other] = step.zones;
    world.network.cut(zone, other, true);
    step.after(step.time(3000, 40_000), () => world.network.cut(zone, other, false));
  },
};

const stateOutage: Mishap = {
  slots: 1,
  happen: (world, step) => {
    world.state.outage(true);
    step.after(step.time(2000, 20_000), () => world.state.outage(false));
  },
};

const stateOutageForOne: Mishap = {
  slots: 1,
  happen: (world, step) => {
    const name = `node-${step.anyNode()}`;
    world.state.outageFor(name, true);
    step.after(step.time(4000, 20_000), () => world.state.outageFor(name, false));
  },
};

const cloudOutage: Mishap = {
  slots: 1,
  happen: (world, step) => {
    world.cloud.isOut = true;
    step.after(step.time(2000, 20_000), () => (world.cloud.isOut = false));
  },
};

const machineHangs: Mishap = {
  slots: 2,
  happen: (world, step) =>
    step.toMachine((id) => {
      world.hangWorker(id, true);
      step.after(step.time(0, 30_000), () => world.hangWorker(id, false));
    }),
};

const machineFails: Mishap = {
  slots: 1,
  happen: (world, step) => step.toMachine((id) => world.cloud.end(id)),
};

const machineIsReclaimed: Mishap = {
  slots: 1,
  happen: (world, step) => step.toMachine((id) => world.reclaimMachine(id, step.time(0, 20_000))),
};

const manyMachinesFail: Mishap = {
  slots: 1,
  happen: (world, step) => {
    for (const id of step.machines) if (step.chance(0.4)) world.cloud.end(id);
  },
};

const answersToMachineAreDropped: Mishap = {
  slots: 2,
  happen: (world, step) =>
    step.toMachine((id) => {
      world.dropIncoming(id, true);
      step.after(step.time(5000, 60_000), () => world.dropIncoming(id, false));
    }),
};

const nodeIsIsolated: Mishap = {
  slots: 1,
  happen: (world, step) => {
    world.isolateNode(step.leaderOrAnyNode(0.6), step.chance(0.5));
    step.after(step.time(3000, 50_000), () => world.reconnectNodes());
  },
};

const peersAreRefused: Mishap = {
  slots: 1,
  happen: (world, step) => {
    world.refusePeers(true);
    step.after(step.time(3000, 40_000), () => world.refusePeers(false));
  },
};

/** All are back within a fraction of a second, and end again in the middle of the election that follows. */
const killAllTwice: Mishap = {
  slots: 1,
  happen: (world, step) => {
    for (const node of NODES) world.killNode(node);
    for (const node of NODES) {
      step.after(step.time(50, 450), () => world.startNode(node));
      step.after(step.time(500, 700), () => world.killNode(node));
      step.after(step.time(1200, 500), () => world.startNode(node));
    }
  },
};

const nodeFreezes: Mishap = {
  slots: 2,
  happen: (world, step) => {
    const node = step.leaderOrAnyNode(0.7);
    world.freezeNode(node, true);
    step.after(step.time(200, 15_000), () => world.freezeNode(node, false));
  },
};

const heartbeatsAreBlocked: Mishap = {
  slots: 2,
  happen: (world, step) =>
    step.toMachine((id) => {
      world.blockHeartbeats(id, true);
      step.after(step.time(5000, 60_000), () => world.blockHeartbeats(id, false));
    }),
};

const writesAreDelayed: Mishap = {
  slots: 2,
  happen: (world, step) => {
    world.delayWrites(step.time(0, 0.3));
    step.after(step.time(5000, 40_000), () => world.delayWrites(0));
  },
};

const messagesAreDuplicated: Mishap = {
  slots: 1,
  happen: (world, step) => {
    world.duplicateMessages(0.3);
    step.after(step.time(5000, 40_000), () => world.duplicateMessages(DUPLICATE_SHARE));
  },
};

const jobsAreCancelled: Mishap = {
  slots: 2,
  happen: (world, step) => world.cancelRunning(6, step.chance(0.5) ? step.time(1000, 30_000) : 0),
};

const jobsAreCancelledAtTheirEnd: Mishap = {
  slots: 2,
  happen: (world, step) => {
    world.cancelAtEndShare = world.random();
    step.after(step.time(5000, 40_000), () => (world.cancelAtEndShare = 0));
  },
};

/** The store refuses the leader alone; jobs are cancelled; then it is out for all, for long. */
const leaderIsRefusedBeforeOutage: Mishap = {
  slots: 1,
  happen: (world, step) => {
    const name = `node-${world.leaderNode() ?? step.anyNode()}`;
    world.state.outageFor(name, true);
    step.after(step.time(0, 7000), () => world.cancelRunning(6, step.chance(0.3) ? 20_000 : 0));
    step.after(step.time(500, 11_500), () => {
      if (world.isCalm) return;
      world.state.outage(true);
      step.after(step.time(24_000, 30_000), () => world.state.outage(false));
    });
    step.after(step.time(4000, 20_000), () => world.state.outageFor(name, false));
  },
};

const oddRequests: Mishap = { slots: 1, happen: (world) => world.users.sendOddRequests() };

const MISHAPS: readonly Mishap[] = [
  killOne,
  killAll,
  cutZones,
  stateOutage,
  stateOutageForOne,
  cloudOutage,
  machineHangs,
  machineFails,
  machineIsReclaimed,
  manyMachinesFail,
  answersToMachineAreDropped,
  nodeIsIsolated,
  peersAreRefused,
  killAllTwice,
  nodeFreezes,
  heartbeatsAreBlocked,
  writesAreDelayed,
  messagesAreDuplicated,
  jobsAreCancelled,
  jobsAreCancelledAtTheirEnd,
  leaderIsRefusedBeforeOutage,
  oddRequests,
];

/** Draws a mishap, and lets it happen unless the draw falls on a free slot. */
export function letSomethingHappen(world: World): void {
  const step = new Step(world);
  let slot = Math.floor(world.random() * SLOT_COUNT);
  for (const { slots, happen } of MISHAPS) {
    if (slot < slots) {
      happen(world, step);
      return;
    }
    slot -= slots;
  }
}
