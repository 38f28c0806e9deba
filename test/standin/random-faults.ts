/**
 * The faults that the randomised scenario injects. The order of the table, and the order in which each fault draws
 * random numbers, determine what a seed does, so neither may change: append new faults at the end.
 */
import type { Random } from '../../src/units/index.js';
import { CONTROLLERS } from './cluster-settings.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The share of messages that are duplicated throughout the scenario. */
export const BASE_DUPLICATE_SHARE = 0.02;

/** A random element of a list that is not empty. */
export const pickRandom = <T>(random: Random, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)] as T;

const ZONE_PAIRS = [
  ['a', 'b'],
  ['b', 'c'],
  ['a', 'c'],
] as const;

/** One step of the scenario, with the random choices that are drawn for any fault. */
class FaultStep {
  private readonly controller: number;
  readonly zones: readonly [string, string];
  /** The ids of the running machines. */
  readonly machines: readonly string[];

  constructor(readonly cluster: SimulatedCluster) {
    this.controller = Math.floor(cluster.random() * CONTROLLERS.length);
    this.zones = pickRandom(cluster.random, ZONE_PAIRS);
    this.machines = [...cluster.workers.keys()];
  }

  /** Draws true with a probability. */
  chance(probability: number): boolean {
    return this.cluster.random() < probability;
  }

  /** Draws a number between `min` and `min + range`. */
  randomValue(min: number, range: number): number {
    return min + this.cluster.random() * range;
  }

  after(delay: number, run: () => void): void {
    this.cluster.time.after(delay, run);
  }

  /** The random controller of this step. */
  anyController(): number {
    return this.controller;
  }

  /** The leader with a probability, if there is one; otherwise the random controller of this step. */
  leaderOrAnyController(probability: number): number {
    return this.chance(probability) ? (this.cluster.leader() ?? this.controller) : this.controller;
  }

  /** Applies an action to a random machine, if there is any. */
  withRandomMachine(action: (id: string) => void): void {
    if (this.machines.length > 0) action(pickRandom(this.cluster.random, this.machines));
  }
}

interface RandomFault {
  /** The probability of this fault in a step is its weight divided by `TOTAL_WEIGHT`. */
  readonly weight: number;
  readonly inject: (cluster: SimulatedCluster, step: FaultStep) => void;
}

/** More than the sum of all weights: the rest is the probability that a step injects no fault. */
const TOTAL_WEIGHT = 34;

const killOneController: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    const controller = step.leaderOrAnyController(0.6);
    cluster.killController(controller);
    step.after(step.chance(0.4) ? 300 : 6000, () => cluster.startController(controller));
  },
};

const killAllControllers: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    for (const controller of CONTROLLERS) cluster.killController(controller);
    for (const controller of CONTROLLERS)
      step.after(step.randomValue(1000, 6000), () => cluster.startController(controller));
  },
};

const partitionZones: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const [zone, other] = step.zones;
    cluster.network.setPartitioned(zone, other, true);
    step.after(step.randomValue(3000, 40_000), () =>
      cluster.network.setPartitioned(zone, other, false),
    );
  },
};

const storeOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.store.setOutage(true);
    step.after(step.randomValue(2000, 20_000), () => cluster.store.setOutage(false));
  },
};

const storeOutageForOneController: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const controllerId = `node-${step.anyController()}`;
    cluster.store.setOutageFor(controllerId, true);
    step.after(step.randomValue(4000, 20_000), () =>
      cluster.store.setOutageFor(controllerId, false),
    );
  },
};

const cloudOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.cloud.isUnavailable = true;
    step.after(step.randomValue(2000, 20_000), () => (cluster.cloud.isUnavailable = false));
  },
};

const hangMachine: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => {
      cluster.setMachineHung(id, true);
      step.after(step.randomValue(0, 30_000), () => cluster.setMachineHung(id, false));
    }),
};

const failMachine: RandomFault = {
  weight: 1,
  inject: (cluster, step) => step.withRandomMachine((id) => cluster.cloud.end(id)),
};

const reclaimMachine: RandomFault = {
  weight: 1,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => cluster.reclaimMachine(id, step.randomValue(0, 20_000))),
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
      step.after(step.randomValue(5000, 60_000), () => cluster.setIncomingDropped(id, false));
    }),
};

const isolateController: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.isolateController(step.leaderOrAnyController(0.6), step.chance(0.5));
    step.after(step.randomValue(3000, 50_000), () => cluster.reconnectControllers());
  },
};

const refusePeerConnections: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.setPeerConnectionsRefused(true);
    step.after(step.randomValue(3000, 40_000), () => cluster.setPeerConnectionsRefused(false));
  },
};

/** All controllers restart within half a second, and are killed again during the election that follows. */
const killAllControllersTwice: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    for (const controller of CONTROLLERS) cluster.killController(controller);
    for (const controller of CONTROLLERS) {
      step.after(step.randomValue(50, 450), () => cluster.startController(controller));
      step.after(step.randomValue(500, 700), () => cluster.killController(controller));
      step.after(step.randomValue(1200, 500), () => cluster.startController(controller));
    }
  },
};

const freezeController: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    const controller = step.leaderOrAnyController(0.7);
    cluster.setControllerFrozen(controller, true);
    step.after(step.randomValue(200, 15_000), () => cluster.setControllerFrozen(controller, false));
  },
};

const blockHeartbeats: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    step.withRandomMachine((id) => {
      cluster.setHeartbeatsBlocked(id, true);
      step.after(step.randomValue(5000, 60_000), () => cluster.setHeartbeatsBlocked(id, false));
    }),
};

const delayWrites: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    cluster.setDelayedWriteShare(step.randomValue(0, 0.3));
    step.after(step.randomValue(5000, 40_000), () => cluster.setDelayedWriteShare(0));
  },
};

const duplicateMessages: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    cluster.setDuplicateShare(0.3);
    step.after(step.randomValue(5000, 40_000), () =>
      cluster.setDuplicateShare(BASE_DUPLICATE_SHARE),
    );
  },
};

const cancelJobs: RandomFault = {
  weight: 2,
  inject: (cluster, step) =>
    cluster.cancelRunningJobs(6, step.chance(0.5) ? step.randomValue(1000, 30_000) : 0),
};

const cancelJobsOnCompletion: RandomFault = {
  weight: 2,
  inject: (cluster, step) => {
    cluster.cancelOnCompletionShare = cluster.random();
    step.after(step.randomValue(5000, 40_000), () => (cluster.cancelOnCompletionShare = 0));
  },
};

/** The store refuses only the leader, jobs are cancelled, and then a long outage of the store affects all. */
const refuseLeaderBeforeOutage: RandomFault = {
  weight: 1,
  inject: (cluster, step) => {
    const controllerId = `node-${cluster.leader() ?? step.anyController()}`;
    cluster.store.setOutageFor(controllerId, true);
    step.after(step.randomValue(0, 7000), () =>
      cluster.cancelRunningJobs(6, step.chance(0.3) ? 20_000 : 0),
    );
    step.after(step.randomValue(500, 11_500), () => {
      if (cluster.haveFaultsEnded) return;
      cluster.store.setOutage(true);
      step.after(step.randomValue(24_000, 30_000), () => cluster.store.setOutage(false));
    });
    step.after(step.randomValue(4000, 20_000), () =>
      cluster.store.setOutageFor(controllerId, false),
    );
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

/** Draws a fault by its weight and injects it, or does nothing if the draw is above the sum of the weights. */
export function injectRandomFault(cluster: SimulatedCluster): void {
  const step = new FaultStep(cluster);
  let draw = Math.floor(cluster.random() * TOTAL_WEIGHT);
  for (const { weight, inject } of RANDOM_FAULTS) {
    if (draw < weight) {
      inject(cluster, step);
      return;
    }
    draw -= weight;
  }
}
