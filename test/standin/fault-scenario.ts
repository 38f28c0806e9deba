/**
 * A randomised scenario: jobs of all kinds on a simulated cluster under random faults, and the recovery after
 * the last fault.
 */
import assert from 'node:assert/strict';
import type { Build } from './build.js';
import { BASE_DUPLICATE_SHARE, injectRandomFault, pickRandom } from './random-faults.js';
import { CONTROLLERS, ZONES } from './cluster-settings.js';
import { SimulatedCluster } from './simulated-cluster.js';

/** A share of a processor so small that the heartbeats of a few machines overload the controller. */
export const OVERLOADED_CONTROLLER_CPU = 0.0005;

/** How long the cluster may take to recover and to finish all jobs once all faults have ended. */
const RECOVERY_MS = 240_000;

/** Ends all faults, lets the cluster recover, and asserts that no invariant was violated and all jobs finished. */
export async function recoverAndVerify(cluster: SimulatedCluster, name: string): Promise<void> {
  cluster.network.lossShare = 0;
  cluster.store.setOutage(false);
  cluster.cloud.isUnavailable = false;
  for (const controller of CONTROLLERS) {
    cluster.store.setOutageFor(`node-${controller}`, false);
    cluster.setControllerFrozen(controller, false);
    cluster.startController(controller);
  }
  for (const [zone, other] of [
    ['a', 'b'],
    ['b', 'c'],
    ['a', 'c'],
  ] as const) {
    cluster.network.setPartitioned(zone, other, false);
  }
  for (const id of cluster.workers.keys()) {
    cluster.setMachineHung(id, false);
    cluster.setIncomingDropped(id, false);
    cluster.setHeartbeatsBlocked(id, false);
  }
  cluster.setDelayedWriteShare(0);
  cluster.setStoreDelay(0);
  cluster.network.holdRequests(undefined);
  cluster.cancelOnCompletionShare = 0;
  cluster.reconnectControllers();
  cluster.setPeerConnectionsRefused(false);
  cluster.setDuplicateShare(0);
  cluster.markFaultsEnded();
  await cluster.run(RECOVERY_MS);
  assert.deepEqual(cluster.violations, [], name);
  assert.deepEqual(cluster.users.unfinishedJobs(), [], name);
}

/** What the submission of random jobs uses of a cluster. */
export type JobSubmitter = Pick<SimulatedCluster, 'random' | 'users'>;

/** Submits a random gang, and cancels it later with a probability of 0.2. */
export function submitRandomGang(cluster: JobSubmitter): void {
  const { random } = cluster;
  const hasCheckpoints = random() < 0.6;
  cluster.users.submit(
    {
      kind: 'ensemble',
      taskCount: 2 + Math.floor(random() * 5),
      cpus: 1 + Math.floor(random() * 3),
      priority: random() < 0.5 ? 'high' : 'normal',
      singleZone: random() < 0.6,
      allowSpot: random() < 0.5,
      checkpointIntervalSeconds: hasCheckpoints ? 4 : 0,
      checkpointSeconds: hasCheckpoints ? 1 + Math.floor(random() * 3) : 0,
      image: random() < 0.5 ? 'x' : 'gang',
    },
    4000 + random() * 25_000,
    random() < 0.2 ? random() * 30_000 : undefined,
  );
}

/** Submits a random job array, and cancels it later with a probability of 0.25. */
export function submitRandomArray(cluster: JobSubmitter): void {
  const { random } = cluster;
  cluster.users.submit(
    {
      taskCount: 1 + Math.floor(random() * 6),
      cpus: 1 + Math.floor(random() * 4),
      priority: pickRandom(random, ['high', 'normal', 'low'] as const),
      spreadZones: random() < 0.15,
      singleZone: random() < 0.15,
      allowSpot: random() < 0.7,
      zone: random() < 0.2 ? pickRandom(random, ZONES) : null,
      image: pickRandom(random, ['x', 'y', 'z']),
    },
    2000 + random() * 15_000,
    random() < 0.25 ? random() * 25_000 : undefined,
  );
}

/** Options of a randomised scenario. */
export interface FaultScenarioOptions {
  /** Whether gangs are submitted beside the arrays. */
  readonly withGangs?: boolean;
  /** The version that all controllers start with; they are upgraded during the scenario. */
  readonly build?: Build;
}

const STEP_COUNT = 40;
/** In each step this many arrays may be submitted, each with `ARRAY_PROBABILITY`. */
const ARRAYS_PER_STEP = 2;
const ARRAY_PROBABILITY = 0.4;
/** Limited so that the team's quota lets all gangs finish within `RECOVERY_MS`. */
const GANG_PROBABILITY = 0.25;
/** The upgrades are done by this step. Jobs that the older version can't run are submitted only from then on. */
const UPGRADE_DONE_STEP = 25;

/** Schedules the upgrade of each controller: in random order, one after the other or several at once. */
function scheduleUpgrades(cluster: SimulatedCluster): void {
  const { random } = cluster;
  const controllers = [...CONTROLLERS].sort(() => random() - 0.5);
  let at = 20_000 + random() * 20_000;
  for (const controller of controllers) {
    cluster.time.after(at, () =>
      cluster.upgradeController(controller, random() < 0.3 ? 200 : 5000),
    );
    at += random() < 0.3 ? 0 : 2000 + random() * 15_000;
  }
}

/** Runs jobs under random faults, also several at a time, all of them determined by the seed. */
export async function runFaultScenario(
  seed: number,
  { withGangs, build }: FaultScenarioOptions = {},
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({
    seed,
    lossShare: 0.01,
    // With every third seed the leader is so small that the other controllers take its workers' heartbeats.
    ...(seed % 3 === 0 ? { controllerCpu: OVERLOADED_CONTROLLER_CPU } : {}),
    ...(build ? { build } : {}),
  });
  const { random } = cluster;
  if (build) scheduleUpgrades(cluster);
  cluster.setDuplicateShare(BASE_DUPLICATE_SHARE);
  await cluster.run(1500);
  for (let step = 0; step < STEP_COUNT; step++) {
    for (let i = 0; i < ARRAYS_PER_STEP; i++) {
      if (random() < ARRAY_PROBABILITY) submitRandomArray(cluster);
    }
    const isUpgraded = build === undefined || step >= UPGRADE_DONE_STEP;
    if (withGangs && isUpgraded && random() < GANG_PROBABILITY) submitRandomGang(cluster);
    injectRandomFault(cluster);
    cluster.users.pollUnknownJob();
    await cluster.run(2500 + random() * 3000);
  }
  return cluster;
}
