/**
 * Decides which machines waiting tasks run on. The placer is pure and deterministic. A task that may be on a machine
 * counts as being there. Jobs are placed by rank; at equal rank, constrained jobs come first, and then the given order
 * applies. Each task goes to a machine that holds its image, otherwise to the one that will have it first, otherwise to
 * the one with the most free CPUs.
 */
import { ClusterCapacity } from './cluster-capacity.js';
import { isWithinQuota, placeJob, type EligibleRequest } from './job-placement.js';
import { reserveSlots } from './reservations.js';
import type { Assignment, PlacementInput, TaskRequest } from './types.js';

export { isMachineAllowed } from './cluster-capacity.js';
export type {
  Assignment,
  CandidateMachine,
  ImageReserve,
  PlacementInput,
  RemainingQuota,
  TaskRequest,
} from './types.js';

interface QueuedRequest extends EligibleRequest {
  /** Position in the queue that is passed to the placer. */
  readonly position: number;
}

/**
 * Runs one placement round. Each task is assigned at most once. No assignment exceeds the free capacity of its machine
 * or the quota of its team, or violates the constraints of its job. Placements are subtracted from the values of
 * `quotas`.
 */
export function placeTasks({
  requests,
  machines,
  quotas,
  maxAssignments,
  reserve = new Map(),
}: PlacementInput): Assignment[] {
  const minTaskCpus = requests.reduce(
    (least, request) => Math.min(least, request.resources.cpus),
    Infinity,
  );
  const capacity = new ClusterCapacity(machines, reserve, minTaskCpus);
  const assignments: Assignment[] = [];
  for (const queued of sortQueue(requests, capacity)) {
    if (assignments.length >= maxAssignments) break;
    const { request, groups } = queued;
    const quota = quotas.get(request.team);
    const placed = placeJob(queued, capacity, quota, maxAssignments - assignments.length);
    for (const assignment of placed) assignments.push(assignment);
    const unplacedTasks = request.taskCount - placed.length;
    // No machine is reserved for tasks that the quota of their team prevents from starting.
    const minTasks = request.isGang ? request.taskCount : 1;
    if (unplacedTasks > 0 && isWithinQuota(quota, request.resources, minTasks))
      reserveSlots(request, groups, unplacedTasks);
  }
  return assignments;
}

/** Sorts by rank. At equal rank, constrained jobs come first, since they have fewer machines to choose from. */
function sortQueue(requests: readonly TaskRequest[], capacity: ClusterCapacity): QueuedRequest[] {
  const queue = requests.map((request, position) => {
    const groups = capacity.eligibleGroups(request);
    return { request, groups, isConstrained: capacity.isConstrained(groups), position };
  });
  for (const { groups, isConstrained } of queue)
    if (isConstrained) for (const group of groups) group.isContested = true;
  return queue.sort(
    (a, b) =>
      a.request.rank - b.request.rank ||
      Number(b.isConstrained) - Number(a.isConstrained) ||
      a.position - b.position,
  );
}
