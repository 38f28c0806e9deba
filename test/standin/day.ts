import assert from 'node:assert/strict';
import type { Build } from './build.js';
import { World } from './world.js';

/** A share of a processor on which a handful of machines is too many. */
export const TINY_CPU = 0.0005;

/** Lets everything heal and settle, then asserts that no rule was broken and all work was done. */
export async function settle(world: World, name: string): Promise<void> {
  world.network.loss = 0;
  world.state.outage(false);
  world.cloud.out = false;
  for (const n of [0, 1, 2]) {
    world.state.outageFor(`node-${n}`, false);
    world.freezeNode(n, false);
    world.startNode(n);
  }
  for (const [a, b] of [
    ['a', 'b'],
    ['b', 'c'],
    ['a', 'c'],
  ] as const) {
    world.network.cut(a, b, false);
  }
  for (const id of world.workers.keys()) {
    world.hangWorker(id, false);
    world.deafen(id, false);
    world.mute(id, false);
  }
  world.lateWrites(0);
  world.slowStore(0);
  world.network.hold(undefined);
  world.cancelAtEnd = 0;
  world.reunite();
  world.refusePeers(false);
  world.copies(0);
  world.calm();
  await world.run(240_000);
  assert.deepEqual(world.broken, [], name);
  assert.deepEqual(world.users.unfinished(), [], name);
}

/** As many as the team's limit lets end within the time that a day takes to settle. */
const GANGS_PER_STEP = 0.25;

/** Some gang, cancelled now and then. */
export function submitGang(world: World): void {
  const r = world.random;
  const saves = r() < 0.6;
  world.users.submit(
    {
      kind: 'ensemble',
      taskCount: 2 + Math.floor(r() * 5),
      cpus: 1 + Math.floor(r() * 3),
      priority: r() < 0.5 ? 'high' : 'normal',
      singleZone: r() < 0.6,
      allowSpot: r() < 0.5,
      checkpointIntervalSeconds: saves ? 4 : 0,
      checkpointSeconds: saves ? 1 + Math.floor(r() * 3) : 0,
      image: r() < 0.5 ? 'x' : 'gang',
    },
    4000 + r() * 25_000,
    r() < 0.2 ? r() * 30_000 : undefined,
  );
}

export interface DayOptions {
  /** Gangs are submitted beside the arrays. */
  readonly gangs?: boolean;
  /** All controllers begin with this version; they are upgraded in the course of the day. */
  readonly build?: Build;
}

/** When each controller is upgraded: one after the other, in any order, or several at once. */
function planUpgrade(world: World): void {
  const r = world.random;
  const nodes = [0, 1, 2].sort(() => r() - 0.5);
  let at = 20_000 + r() * 20_000;
  for (const n of nodes) {
    world.time.after(at, () => world.upgradeNode(n, r() < 0.3 ? 200 : 5000));
    at += r() < 0.3 ? 0 : 2000 + r() * 15_000;
  }
}

/** By this step of a day the upgrade is over: only then is anything new asked for. */
const UPGRADED_BY_STEP = 25;

/** A day on which everything goes wrong, alone and together, by the luck of its seed. */
export async function badDay(seed: number, options: DayOptions = {}): Promise<World> {
  // On every third, a leader so small that the others take its workers' reports.
  const world = new World({
    seed,
    loss: 0.01,
    ...(seed % 3 === 0 ? { cpu: TINY_CPU } : {}),
    ...(options.build ? { build: options.build } : {}),
  });
  if (options.build) planUpgrade(world);
  const r = world.random;
  const pick = <T>(list: readonly T[]): T => list[Math.floor(r() * list.length)] as T;
  world.copies(0.02);
  await world.run(1500);
  const zones = ['a', 'b', 'c'] as const;
  for (let s = 0; s < 40; s++) {
    for (let k = 0; k < 2; k++) {
      if (r() < 0.4) {
        world.users.submit(
          {
            taskCount: 1 + Math.floor(r() * 6),
            cpus: 1 + Math.floor(r() * 4),
            priority: pick(['high', 'normal', 'low'] as const),
            spreadZones: r() < 0.15,
            singleZone: r() < 0.15,
            allowSpot: r() < 0.7,
            zone: r() < 0.2 ? pick(zones) : null,
            image: pick(['x', 'y', 'z']),
          },
          2000 + r() * 15_000,
          r() < 0.25 ? r() * 25_000 : undefined,
        );
      }
    }
    const isUpgraded = options.build === undefined || s >= UPGRADED_BY_STEP;
    if (options.gangs && isUpgraded && r() < GANGS_PER_STEP) submitGang(world);
    const n = Math.floor(r() * 3);
    const later = (delay: number, run: () => void): void => {
      world.time.after(delay, run);
    };
    const [x, y] = pick([
      ['a', 'b'],
      ['b', 'c'],
      ['a', 'c'],
    ] as const);
    const ids = [...world.workers.keys()];
    switch (Math.floor(r() * 34)) {
      case 0:
      case 1: {
        const victim = r() < 0.6 ? (world.leaderNode() ?? n) : n;
        world.killNode(victim);
        later(r() < 0.4 ? 300 : 6000, () => world.startNode(victim));
        break;
      }
      case 2:
        for (const k of [0, 1, 2]) world.killNode(k);
        for (const k of [0, 1, 2]) later(1000 + r() * 6000, () => world.startNode(k));
        break;
      case 3:
        world.network.cut(x, y, true);
        later(3000 + r() * 40_000, () => world.network.cut(x, y, false));
        break;
      case 4:
        world.state.outage(true);
        later(2000 + r() * 20_000, () => world.state.outage(false));
        break;
      case 5:
        world.state.outageFor(`node-${n}`, true);
        later(4000 + r() * 20_000, () => world.state.outageFor(`node-${n}`, false));
        break;
      case 6:
        world.cloud.out = true;
        later(2000 + r() * 20_000, () => (world.cloud.out = false));
        break;
      case 7:
      case 8:
        if (ids.length > 0) {
          const id = pick(ids);
          world.hangWorker(id, true);
          later(r() * 30_000, () => world.hangWorker(id, false));
        }
        break;
      case 9:
        if (ids.length > 0) world.cloud.end(pick(ids));
        break;
      case 10:
        if (ids.length > 0) world.recall(pick(ids), r() * 20_000);
        break;
      case 12:
      case 13:
        if (ids.length > 0) {
          const id = pick(ids);
          world.deafen(id, true);
          later(5000 + r() * 60_000, () => world.deafen(id, false));
        }
        break;
      case 14:
        world.isolate(r() < 0.6 ? (world.leaderNode() ?? n) : n, r() < 0.5);
        later(3000 + r() * 50_000, () => world.reunite());
        break;
      case 15:
        world.refusePeers(true);
        later(3000 + r() * 40_000, () => world.refusePeers(false));
        break;
      case 16:
        // Back within a fraction of a second, and in the middle of the election that follows.
        for (const k of [0, 1, 2]) world.killNode(k);
        for (const k of [0, 1, 2]) {
          later(50 + r() * 450, () => world.startNode(k));
          later(500 + r() * 700, () => world.killNode(k));
          later(1200 + r() * 500, () => world.startNode(k));
        }
        break;
      case 17:
      case 18: {
        const still = r() < 0.7 ? (world.leaderNode() ?? n) : n;
        world.freezeNode(still, true);
        later(200 + r() * 15_000, () => world.freezeNode(still, false));
        break;
      }
      case 19:
      case 20:
        if (ids.length > 0) {
          const id = pick(ids);
          world.mute(id, true);
          later(5000 + r() * 60_000, () => world.mute(id, false));
        }
        break;
      case 21:
      case 22:
        world.lateWrites(0.3 * r());
        later(5000 + r() * 40_000, () => world.lateWrites(0));
        break;
      case 23:
        world.copies(0.3);
        later(5000 + r() * 40_000, () => world.copies(0.02));
        break;
      case 24:
      case 25:
        world.cancelNow(6, r() < 0.5 ? 1000 + r() * 30_000 : 0);
        break;
      case 26:
      case 27:
        world.cancelAtEnd = r();
        later(5000 + r() * 40_000, () => (world.cancelAtEnd = 0));
        break;
      case 28: {
        // The store refuses the leader alone; jobs are called off; then it is out for all, for long.
        const alone = world.leaderNode() ?? n;
        world.state.outageFor(`node-${alone}`, true);
        later(r() * 7000, () => world.cancelNow(6, r() < 0.3 ? 20_000 : 0));
        later(500 + r() * 11_500, () => {
          if (world.isCalm) return;
          world.state.outage(true);
          later(24_000 + r() * 30_000, () => world.state.outage(false));
        });
        later(4000 + r() * 20_000, () => world.state.outageFor(`node-${alone}`, false));
        break;
      }
      case 29:
        world.users.oddRequests();
        break;
      case 11:
        for (const id of ids) if (r() < 0.4) world.cloud.end(id);
        break;
      default:
    }
    world.users.probeUnknown();
    await world.run(2500 + r() * 3000);
  }
  return world;
}
