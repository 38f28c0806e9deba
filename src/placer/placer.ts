/**
 * Where waiting tasks go. Pure and deterministic: what may be on a machine counts as there, jobs
 * are taken in the order given, and each task goes to a machine that holds its image, else to the
 * one that will have it first, else to the freest.
 */
import { reserveSlots } from './reservations.js';
import { placeJob, isWithinQuota } from './job-placement.js';
import { ClusterCapacity } from './cluster-capacity.js';
import type {
  Assignment,
  CandidateMachine,
  ImageReserve,
  RemainingQuota,
  TaskRequest,
} from './types.js';

export { isAllowed } from './cluster-capacity.js';
export type {
  Assignment,
  CandidateMachine,
  ImageReserve,
  RemainingQuota,
  TaskRequest,
} from './types.js';

export function place(
  requests: readonly TaskRequest[],
  machines: readonly CandidateMachine[],
  teams: ReadonlyMap<string, RemainingQuota>,
  most: number,
  reserve: ImageReserve = new Map(),
): Assignment[] {
  const leastCpus = requests.reduce((least, w) => Math.min(least, w.resources.cpus), Infinity);
  const room = new ClusterCapacity(machines, reserve, leastCpus);
  const queue = requests.map((request, order) => {
    const suited = room.eligibleGroups(request);
    return { request, order, suited, bound: room.isBound(suited) };
  });
  for (const q of queue) if (q.bound) for (const k of q.suited) k.isContested = true;
  // Among the equally urgent, what can't go elsewhere chooses first.
  queue.sort(
    (a, b) =>
      a.request.rank - b.request.rank || Number(b.bound) - Number(a.bound) || a.order - b.order,
  );
  const out: Assignment[] = [];
  for (const { request, suited, bound } of queue) {
    if (out.length >= most) break;
    const team = teams.get(request.team);
    const placed = placeJob(request, bound, suited, room, team, most - out.length);
    for (const a of placed) out.push(a);
    const missing = request.taskCount - placed.length;
    // What its team's limit keeps back needs no machine kept for it.
    const least = request.isGang ? request.taskCount : 1;
    if (missing > 0 && isWithinQuota(team, request.resources, least))
      reserveSlots(request, suited, missing);
  }
  return out;
}
