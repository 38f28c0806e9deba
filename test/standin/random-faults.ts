/**
 * What goes wrong on a bad day. The table's order and the order in which each mishap draws from the cluster's
 * randomness decide what a seed plays, so they stay as they are: a new mishap goes to the end.
 */
import type { Random } from '../../src/units/index.js';
import { CONTROLLERS } from './cluster-settings.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The share of messages that are duplicated on a bad day at any time. */
export const BASE_DUPLICATE_SHARE = 0.02;

/** A random element of a list that is not empty. */
export const pickRandom = <T>(random: Random, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)] as T;

const ZONE_PAIRS = [
  ['a', 'b'],
  ['b', 'c'],
  ['a', 'c'],
] as const;

/** One step of a day: what was drawn for whatever mishap comes. */
class FaultStep {
  private readonly controller: number;
  readonly zones: readonly [string, string];
  /** The machines that are up. */
  readonly machines: readonly string[];

  constructor(readonly cluster: SimulatedCluster) {
    this.controller = Math.floor(cluster.random() * CONTROLLERS.length);
    this.zones = pickRandom(cluster.random, ZONE_PAIRS);
    this.machines = [...cluster.workers.keys()];
  }

  /** Whether something happens that has such a probability. */
  chance(probability: number): boolean {
    return this.cluster.random() < probability;
  }

  /** A time between the shortest and so much more. */
  randomTime(minMs: number, rangeMs: number): number {
    return minMs + this.cluster.random() * rangeMs;
  }

  after(delay: number, run: () => void): void {
    this.cluster.time.after(delay, run);
  }

  /** A random node. */
  anyController(): number {
    return this.controller;
  }

  /** With such a probability the leader, if there is one, else a random node. */
  leaderOrAnyController(probability: number): number {
    return this.chance(probability) ? (this.cluster.leader() ?? this.controller) : this.controller;
  }

  /** Does something to a random machine, if there is any. */
  withRandomMachine(action: (id: string) => void): void {
    if (this.machines.length > 0) action(pickRandom(this.cluster.random, this.machines));
  }
}

interface RandomFault {
  /** How many of the slots it has, by one of which each step is decided. */
  readonly weight: number;
  readonly inject: (cluster: SimulatedCluster, step: FaultStep) => void;
}

/** Of these slots the mishaps leave some free: then nothing happens. */
const TOTAL_WEIGHT = 34;

const killOneController: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    const node = step.leaderOrAnyController(0.6);
    cluster.killController(node);
    step.after(step.chance(0.4) ? 300 : 6000, () => cluster.startController(node));
  },
};

const killAllControllers: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    for (const node of CONTROLLERS) cluster.killController(node);
    for (const node of CONTROLLERS)
      step.after(step.randomTime(1000, 6000), () => cluster.startController(node));
  },
};

const partitionZones: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const [zone, other] = step.zones;
    cluster.network.setPartitioned(zone, other, true);
    step.after(step.randomTime(3000, 40_000), () =>
      cluster.network.setPartitioned(zone, other, false),
    );
  },
};

const storeOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.store.setOutage(true);
    step.after(step.randomTime(2000, 20_000), () => cluster.store.setOutage(false));
  },
};

const storeOutageForOneController: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const name = `node-${step.anyController()}`;
    cluster.store.setOutageFor(name, true);
    step.after(step.randomTime(4000, 20_000), () => cluster.store.setOutageFor(name, false));
  },
};

const cloudOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.cloud.isUnavailable = true;
    step.after(step.randomTime(2000, 20_000), () => (cluster.cloud.isUnavailable = false));
  },
};

const hangMachine: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => {
      cluster.setMachineHung(id, true);
      step.after(step.randomTime(0, 30_000), () => cluster.setMachineHung(id, false));
    }),
};

const failMachine: RandomFault = {
  weight: 1,
  inject: (cluster, step) => step.withRandomMachine((id) => cluster.cloud.end(id)),
};

const reclaimMachine: RandomFault = {
  weight: 1,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => cluster.reclaimMachine(id, step.randomTime(0, 20_000))),
};

const failManyMachines: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    for (const id of step.machines) if (step.chance(0.4)) cluster.cloud.end(id);
  },
};

const dropMessagesToMachine: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => {
      cluster.setIncomingDropped(id, true);
      step.after(step.randomTime(5000, 60_000), () => cluster.setIncomingDropped(id, false));
    }),
};

const isolateController: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.isolateController(step.leaderOrAnyController(0.6), step.chance(0.5));
    step.after(step.randomTime(3000, 50_000), () => cluster.reconnectControllers());
  },
};

const refusePeerConnections: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.setPeerConnectionsRefused(true);
    step.after(step.randomTime(3000, 40_000), () => cluster.setPeerConnectionsRefused(false));
  },
};

/** All are back within a fraction of a second, and end again in the middle of the election that follows. */
const killAllControllersTwice: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    for (const node of CONTROLLERS) cluster.killController(node);
    for (const node of CONTROLLERS) {
      step.after(step.randomTime(50, 450), () => cluster.startController(node));
      step.after(step.randomTime(500, 700), () => cluster.killController(node));
      step.after(step.randomTime(1200, 500), () => cluster.startController(node));
    }
  },
};

const freezeController: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    const node = step.leaderOrAnyController(0.7);
    cluster.setControllerFrozen(node, true);
    step.after(step.randomTime(200, 15_000), () => cluster.setControllerFrozen(node, false));
  },
};

const blockHeartbeats: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => {
      cluster.setHeartbeatsBlocked(id, true);
      step.after(step.randomTime(5000, 60_000), () => cluster.setHeartbeatsBlocked(id, false));
    }),
};

const delayWrites: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    cluster.setDelayedWriteShare(step.randomTime(0, 0.3));
    step.after(step.randomTime(5000, 40_000), () => cluster.setDelayedWriteShare(0));
  },
};

const duplicateMessages: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.setDuplicateShare(0.3);
    step.after(step.randomTime(5000, 40_000), () =>
      cluster.setDuplicateShare(BASE_DUPLICATE_SHARE),
    );
  },
};

const cancelJobs: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    cluster.cancelRunningJobs(6, step.chance(0.5) ? step.randomTime(1000, 30_000) : 0),
};

const cancelJobsOnCompletion: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    cluster.cancelOnCompletionShare = cluster.random();
    step.after(step.randomTime(5000, 40_000), () => (cluster.cancelOnCompletionShare = 0));
  },
};

/** The store refuses the leader alone; jobs are cancelled; then it is out for all, for long. */
const refuseLeaderBeforeOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const name = `node-${cluster.leader() ?? step.anyController()}`;
    cluster.store.setOutageFor(name, true);
    step.after(step.randomTime(0, 7000), () =>
      cluster.cancelRunningJobs(6, step.chance(0.3) ? 20_000 : 0),
    );
    step.after(step.randomTime(500, 11_500), () => {
      if (cluster.haveFaultsEnded) return;
      cluster.store.setOutage(true);
      step.after(step.randomTime(24_000, 30_000), () => cluster.store.setOutage(false));
    });
    step.after(step.randomTime(4000, 20_000), () => cluster.store.setOutageFor(name, false));
  },
};

const sendUnexpectedRequests: RandomFault = {
  weight: 1,
  inject: (cluster) => cluster.users.sendUnexpectedRequests(),
};

const RANDOM_FAULTS: readonly RandomFault[] = [
  killOneController,
  killAllControllers,
  partitionZones,
  storeOutage,
  storeOutageForOneController,
  cloudOutage,
  hangMachine,
  failMachine,
  reclaimMachine,
  failManyMachines,
  dropMessagesToMachine,
  isolateController,
  refusePeerConnections,
  killAllControllersTwice,
  freezeController,
  blockHeartbeats,
  delayWrites,
  duplicateMessages,
  cancelJobs,
  cancelJobsOnCompletion,
  refuseLeaderBeforeOutage,
  sendUnexpectedRequests,
];

/** Draws a mishap, and lets it happen unless the draw falls on a free slot. */
export function injectRandomFault(cluster: SimulatedCluster): void {
  const step = new FaultStep(cluster);
  let draw = Math.floor(cluster.random() * TOTAL_WEIGHT);
  for (const { weight: slots, inject: happen } of RANDOM_FAULTS) {
    if (draw < slots) {
      happen(cluster, step);
      return;
    }
    draw -= slots;
  }
}
