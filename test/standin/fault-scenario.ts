/** Whole days of a cluster: jobs of all kinds while everything goes wrong, and the calm after it. */
import assert from 'node:assert/strict';
import type { Build } from './build.js';
import { BASE_DUPLICATE_SHARE, injectRandomFault, pickRandom } from './random-faults.js';
import { CONTROLLERS, ZONES } from './cluster-settings.js';
import { SimulatedCluster } from './simulated-cluster.js';

/** A share of a processor on which a handful of machines is too many. */
export const OVERLOADED_CONTROLLER_CPU = 0.0005;

/** How long a cluster has to heal and to end all work once all faults are over. */
const RECOVERY_MS = 240_000;

/** Ends all faults, lets everything settle, then asserts that no rule was violated and all work was done. */
export async function recoverAndVerify(cluster: SimulatedCluster, name: string): Promise<void> {
  cluster.network.lossShare = 0;
  cluster.store.setOutage(false);
  cluster.cloud.isUnavailable = false;
  for (const node of CONTROLLERS) {
    cluster.store.setOutageFor(`node-${node}`, false);
    cluster.setControllerFrozen(node, false);
    cluster.startController(node);
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

/** Submits some gang, which is cancelled now and then. */
export function submitRandomGang(cluster: SimulatedCluster): void {
  const { random } = cluster;
  const savesCheckpoints = random() < 0.6;
  cluster.users.submit(
    {
      kind: 'ensemble',
      taskCount: 2 + Math.floor(random() * 5),
      cpus: 1 + Math.floor(random() * 3),
      priority: random() < 0.5 ? 'high' : 'normal',
      singleZone: random() < 0.6,
      allowSpot: random() < 0.5,
      checkpointIntervalSeconds: savesCheckpoints ? 4 : 0,
      checkpointSeconds: savesCheckpoints ? 1 + Math.floor(random() * 3) : 0,
      image: random() < 0.5 ? 'x' : 'gang',
    },
    4000 + random() * 25_000,
    random() < 0.2 ? random() * 30_000 : undefined,
  );
}

/** Submits some job array, which is cancelled now and then. */
function submitRandomArray(cluster: SimulatedCluster): void {
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

/** How a day is played. */
export interface FaultScenarioOptions {
  /** Gangs are submitted beside the arrays. */
  readonly withGangs?: boolean;
  /** All controllers begin with this version; they are upgraded in the course of the day. */
  readonly build?: Build;
}

const STEP_COUNT = 40;
/** In each step so many arrays are submitted, each with this probability. */
const ARRAYS_PER_STEP = 2;
const ARRAY_PROBABILITY = 0.4;
/** As many as the team's quota lets end within the time that a day takes to settle. */
const GANG_PROBABILITY = 0.25;
/** By this step the upgrade is over: only then is anything submitted that the older version can't run. */
const UPGRADE_DONE_STEP = 25;

/** When each controller is upgraded: one after the other, in any order, or several at once. */
function scheduleUpgrades(cluster: SimulatedCluster): void {
  const { random } = cluster;
  const nodes = [...CONTROLLERS].sort(() => random() - 0.5);
  let at = 20_000 + random() * 20_000;
  for (const node of nodes) {
    cluster.time.after(at, () => cluster.upgradeController(node, random() < 0.3 ? 200 : 5000));
    at += random() < 0.3 ? 0 : 2000 + random() * 15_000;
  }
}

/** A day on which everything goes wrong, alone and together, by the luck of its seed. */
export async function runFaultScenario(
  seed: number,
  { withGangs: gangs, build }: FaultScenarioOptions = {},
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({
    seed,
    lossShare: 0.01,
    // On every third, a leader so small that the others take its workers' heartbeats.
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
    if (gangs && isUpgraded && random() < GANG_PROBABILITY) submitRandomGang(cluster);
    injectRandomFault(cluster);
    cluster.users.pollUnknownJob();
    await cluster.run(2500 + random() * 3000);
  }
  return cluster;
}
