/** Predicates and lookups for the placement of one task. */
import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import type { MachineId } from '../units/index.js';

/**
 * The placement of a task if it is on this machine with this attempt. Undefined if the task is placed elsewhere or
 * with another attempt, is waiting or done, or if the job is unknown.
 */
export function placementOfAttempt(
  job: Job | undefined,
  index: number,
  machine: MachineId,
  attempt: number,
): Placement | undefined {
  const placement = job?.placements.get(index);
  return placement?.machine === machine && placement.attempt === attempt ? placement : undefined;
}

/** Whether the start was certainly never sent, so that the machine cannot have the task. */
export const isStartUnsent = (placement: Placement): boolean =>
  !placement.isInherited &&
  !placement.isReported &&
  !placement.isStartSentDirectly &&
  !placement.startSentInResponseTo;

/** Whether the task must be stopped, because its job is cancelled or the task is evicted. */
export const shouldStopTask = (job: Job, placement: Placement): boolean =>
  job.isCancelled || placement.evictionGraceSeconds !== undefined;

/** Whether the placement is committed to the store. Its start must not be sent before that. */
export const isCommitted = (job: Job, placement: Placement): boolean =>
  placement.version <= job.committedVersion;

/**
 * Whether a task that is missing from the machine's status is queued again once its absence is proven. Otherwise the
 * task is started. An inherited placement is not started: the previous leader may have released the resources of the
 * placement without writing that to the store, so a start could exceed the quota of the team.
 */
export const shouldRequeueIfAbsent = (machine: Machine, job: Job, placement: Placement): boolean =>
  shouldStopTask(job, placement) ||
  placement.isInherited ||
  (machine.isDraining && isCommitted(job, placement));
