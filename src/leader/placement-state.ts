/** Questions about one placement of a job's task. */
import type { Job, Placement } from '../ledger/job.js';
import type { MachineId } from '../units/index.js';

/**
 * The placement of a task if it is on this machine with this attempt; undefined if the task is placed otherwise,
 * waits or is done, or the job is not known.
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

/** Whether the start was certainly never sent, so that the machine can't have the task. */
export const isStartUnsent = (placement: Placement): boolean =>
  !placement.isInherited &&
  !placement.isReported &&
  !placement.isStartSentDirectly &&
  !placement.startSentInResponseTo;

/** Whether the task is to be stopped, because its job is cancelled or it has to make way. */
export const isToBeStopped = (job: Job, placement: Placement): boolean =>
  job.isCancelled || placement.evictionGraceSeconds !== undefined;

/** Whether the record of the placement is in the store, which must be so before its start is sent. */
export const isCommitted = (job: Job, placement: Placement): boolean =>
  placement.version <= job.committedVersion;
