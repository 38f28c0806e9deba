/** Decides when a worker may forget an attempt that has exited. */
import type { Settings } from '../config/settings.js';
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { Job } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import type { TaskRef } from '../units/index.js';
import { ExitReason, JobStatus, TaskState, type TaskStatus } from '../wire/index.js';
import type { FencingTokens } from './fencing-tokens.js';
import { placementOfAttempt } from './placement-state.js';

/**
 * What another start of a task that a worker has forgotten does. A completed task exits as soon as it is started again.
 * `forbidden`: it breaks a rule. `harmlessNow`: it breaks none, but may do so once the job is cancelled. `harmless`: it
 * never breaks any.
 */
export type RerunEffect = 'forbidden' | 'harmlessNow' | 'harmless';

/**
 * Decides which attempts a worker may forget. Once a worker has forgotten an attempt, a start of it would run the
 * task again. Such a start may still be in flight, or be a late copy of one that was executed long ago.
 */
export class AttemptClearance {
  constructor(
    private readonly ledger: Pick<Ledger, 'finalState'>,
    private readonly tokens: Pick<FencingTokens, 'tokenFor'>,
    private readonly settings: Pick<Settings, 'teams'>,
  ) {}

  /**
   * Whether the next message to the worker may tell it to forget the attempt: nothing is lost by that, and another start
   * of it is harmless, or the token of the message makes the worker refuse it.
   *
   * @param ref the task of the status
   * @param job the live job of the task; undefined if there is none
   */
  canClear(machine: Machine, status: TaskStatus, ref: TaskRef, job: Job | undefined): boolean {
    if (!isForgettable(machine, status, ref, job)) return false;
    const attempt = attemptKey(status.task, status.attempt);
    const token = this.tokens.tokenFor(machine);
    return (
      !machine.directStarts.isExecutableUnder(token, attempt) ||
      this.rerunEffect(ref, job) !== 'forbidden'
    );
  }

  /** What another start of the task does if its worker knows none of its attempts. */
  rerunEffect(ref: TaskRef, job: Job | undefined): RerunEffect {
    if (job) return this.isRerunForbidden(ref, job) ? 'forbidden' : 'harmlessNow';
    const final = this.ledger.finalState(ref.job);
    return final?.status === JobStatus.done && !this.hasQuota(final.team)
      ? 'harmless'
      : 'forbidden';
  }

  /** Even a completed task violates some constraints in the moment until it exits. */
  private isRerunForbidden({ index }: TaskRef, job: Job): boolean {
    const { team, singleZone, spreadZones } = job.spec;
    if (!isCompletionStored(job, index)) return true;
    return job.isCancelled || singleZone || spreadZones || this.hasQuota(team);
  }

  private hasQuota(teamName: string): boolean {
    const team = this.settings.teams.get(teamName);
    return team !== undefined && (team.maxCpus > 0 || team.maxGpus > 0);
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
  return exitReason !== ExitReason.done || isCompletionStored(job, index);
}

/** Whether a task is done, and the store has recorded that. */
function isCompletionStored(job: Job, index: number): boolean {
  if (!job.isTaskDone(index)) return false;
  return job.committedVersion >= job.version || job.committedProgress.doneCount >= job.doneCount;
}
