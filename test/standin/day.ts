/** Whole days of a world: jobs of all kinds while everything goes wrong, and the calm after it. */
import assert from 'node:assert/strict';
import type { Build } from './build.js';
import { DUPLICATE_SHARE, letSomethingHappen, pick } from './mishaps.js';
import { NODES, ZONES } from './platform.js';
import { World } from './world.js';

/** A share of a processor on which a handful of machines is too many. */
export const TINY_CPU = 0.0005;

/** How long a world has to heal and to end all work once all faults are over. */
const SETTLE_TIME = 240_000;

/** Ends all faults, lets everything settle, then asserts that no rule was violated and all work was done. */
export async function settle(world: World, name: string): Promise<void> {
  world.network.lossShare = 0;
  world.state.outage(false);
  world.cloud.isOut = false;
  for (const node of NODES) {
    world.state.outageFor(`node-${node}`, false);
    world.freezeNode(node, false);
    world.startNode(node);
  }
  for (const [zone, other] of [
    ['a', 'b'],
    ['b', 'c'],
    ['a', 'c'],
  ] as const) {
    world.network.cut(zone, other, false);
  }
  for (const id of world.workers.keys()) {
    world.hangWorker(id, false);
    world.dropIncoming(id, false);
    world.blockHeartbeats(id, false);
  }
  world.delayWrites(0);
  world.slowStore(0);
  world.network.hold(undefined);
  world.cancelAtEndShare = 0;
  world.reconnectNodes();
  world.refusePeers(false);
  world.duplicateMessages(0);
  world.declareCalm();
  await world.run(SETTLE_TIME);
  assert.deepEqual(world.violations, [], name);
  assert.deepEqual(world.users.unfinished(), [], name);
}

/** Submits some gang, which is cancelled now and then. */
export function submitGang(world: World): void {
  const { random } = world;
  const savesCheckpoints = random() < 0.6;
  world.users.submit(
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
function submitArray(world: World): void {
  const { random } = world;
  world.users.submit(
    {
      taskCount: 1 + Math.floor(random() * 6),
      cpus: 1 + Math.floor(random() * 4),
      priority: pick(random, ['high', 'normal', 'low'] as const),
      spreadZones: random() < 0.15,
      singleZone: random() < 0.15,
      allowSpot: random() < 0.7,
      zone: random() < 0.2 ? pick(random, ZONES) : null,
      image: pick(random, ['x', 'y', 'z']),
    },
    2000 + random() * 15_000,
    random() < 0.25 ? random() * 25_000 : undefined,
  );
}

/** How a day is played. */
export interface DayOptions {
  /** Gangs are submitted beside the arrays. */
  readonly gangs?: boolean;
  /** All controllers begin with this version; they are upgraded in the course of the day. */
  readonly build?: Build;
}

const STEPS = 40;
/** In each step so many arrays are submitted, each with this probability. */
const ARRAYS_PER_STEP = 2;
const ARRAY_PROBABILITY = 0.4;
/** As many as the team's quota lets end within the time that a day takes to settle. */
const GANG_PROBABILITY = 0.25;
/** By this step the upgrade is over: only then is anything submitted that the older version can't run. */
const UPGRADED_BY_STEP = 25;

/** When each controller is upgraded: one after the other, in any order, or several at once. */
function planUpgrade(world: World): void {
  const { random } = world;
  const nodes = [...NODES].sort(() => random() - 0.5);
  let at = 20_000 + random() * 20_000;
  for (const node of nodes) {
    world.time.after(at, () => world.upgradeNode(node, random() < 0.3 ? 200 : 5000));
    at += random() < 0.3 ? 0 : 2000 + random() * 15_000;
  }
}

/** A day on which everything goes wrong, alone and together, by the luck of its seed. */
export async function badDay(seed: number, { gangs, build }: DayOptions = {}): Promise<World> {
  const world = new World({
    seed,
    lossShare: 0.01,
    // On every third, a leader so small that the others take its workers' heartbeats.
    ...(seed % 3 === 0 ? { controllerCpu: TINY_CPU } : {}),
    ...(build ? { build } : {}),
  });
  const { random } = world;
  if (build) planUpgrade(world);
  world.duplicateMessages(DUPLICATE_SHARE);
  await world.run(1500);
  for (let step = 0; step < STEPS; step++) {
    for (let i = 0; i < ARRAYS_PER_STEP; i++) {
      if (random() < ARRAY_PROBABILITY) submitArray(world);
    }
    const isUpgraded = build === undefined || step >= UPGRADED_BY_STEP;
    if (gangs && isUpgraded && random() < GANG_PROBABILITY) submitGang(world);
    letSomethingHappen(world);
    world.users.askForUnknownJob();
    await world.run(2500 + random() * 3000);
  }
  return world;
}
