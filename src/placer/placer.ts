/**
 * Where waiting tasks go. Pure and deterministic: what may be on a machine counts as there, jobs
 * are taken in the order given, and each task goes to a machine that holds its image, else to the
 * one that will have it first, else to the freest.
 */
import { claim } from './claims.js';
import { fill, isUnder } from './fill.js';
import { Room } from './room.js';
import type { Assignment, Host, Reserve, TeamRoom, Want } from './types.js';

export { allows } from './room.js';
export type { Assignment, Host, Reserve, TeamRoom, Want } from './types.js';

export function place(
  wants: readonly Want[],
  hosts: readonly Host[],
  teams: ReadonlyMap<string, TeamRoom>,
  most: number,
  reserve: Reserve = new Map(),
): Assignment[] {
  const leastCpus = wants.reduce((least, w) => Math.min(least, w.size.cpus), Infinity);
  const room = new Room(hosts, reserve, leastCpus);
  const queue = wants.map((want, order) => {
    const suited = room.suited(want);
    return { want, order, suited, bound: room.isBound(suited) };
  });
  for (const q of queue) if (q.bound) for (const k of q.suited) k.contested = true;
  // Among the equally urgent, what can't go elsewhere chooses first.
  queue.sort(
    (a, b) => a.want.rank - b.want.rank || Number(b.bound) - Number(a.bound) || a.order - b.order,
  );
  const out: Assignment[] = [];
  for (const { want, suited, bound } of queue) {
    if (out.length >= most) break;
    const team = teams.get(want.team);
    const placed = fill(want, bound, suited, room, team, most - out.length);
    for (const a of placed) out.push(a);
    const missing = want.count - placed.length;
    // What its team's limit keeps back needs no machine kept for it.
    const least = want.whole ? want.count : 1;
    if (missing > 0 && isUnder(team, want.size, least)) claim(want, suited, missing);
  }
  return out;
}
