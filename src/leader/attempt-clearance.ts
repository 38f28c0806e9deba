/** Decides when a worker may forget an attempt that has exited. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import type { TaskRef } from '../units/index.js';
import { ExitReason, TaskState, type TaskStatus } from '../wire/index.js';
import type { FencingTokens } from './fencing-tokens.js';
import { placementOfAttempt } from './placement-state.js';

/**
 * Decides which attempts a worker may forget. Once a worker has forgotten an attempt, a start of it would run the
 * task again. Such a start may still be in flight, or be a late copy of one that was executed long ago.
 */
export class AttemptClearance {
  constructor(private readonly tokens: Pick<FencingTokens, 'tokenFor'>) {}

  /**
   * Whether the next message to the worker may tell it to forget the attempt: nothing is lost by that, and the token
   * of the message makes the worker refuse all starts of the attempt.
   *
   * @param ref the task of the status
   * @param job the live job of the task; undefined if there is none
   */
  canClear(machine: Machine, status: TaskStatus, ref: TaskRef, job: Job | undefined): boolean {
    const attempt = attemptKey(status.task, status.attempt);
    return (
      isForgettable(machine, status, ref, job) &&
      !machine.directStarts.isExecutableUnder(this.tokens.tokenFor(machine), attempt)
    );
  }
}

/** Whether an attempt has exited and its worker's status is not needed any more. */
export function isForgettable(
  machine: Machine,
  { attempt, state, exitReason }: TaskStatus,
  { index }: TaskRef,
  job: Job | undefined,
): boolean {
  if (state !== TaskState.exited || !job) return state === TaskState.exited;
  if (placementOfAttempt(job, index, machine.id, attempt)) return false;
  // The worker's status is the only record of a completion until the store has it.
  return exitReason !== ExitReason.done || (job.isTaskDone(index) && areCompletionsStored(job));
}

/** Whether all completed tasks of a job are recorded in the store. */
function areCompletionsStored(job: Job): boolean {
  return job.committedVersion >= job.version || job.committedProgress.doneCount >= job.doneCount;
}
