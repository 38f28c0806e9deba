/** When a worker may forget an attempt that has exited. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { FinalState, Job } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import { durationBetween, type TaskRef } from '../units/index.js';
import { ExitReason, JobStatus, type TaskStatus } from '../wire/index.js';
import type { TermDependencies } from './dependencies.js';

/** Duplicates of messages are delivered up to this many worker leases late. */
const LATE_DUPLICATE_LEASES = 3;

/**
 * Decides which attempts may be forgotten. Once a worker has forgotten an attempt, the same start would run it
 * again: one that is still in flight, or the duplicate of one that was executed long ago.
 */
export class AttemptClearance {
  constructor(
    private readonly ledger: Pick<Ledger, 'finalState'>,
    private readonly deps: Pick<TermDependencies, 'clock' | 'settings'>,
  ) {}

  /**
   * Whether the worker may forget an exited attempt.
   *
   * @param ref the task that the status names
   * @param job its job; undefined if there is no live one
   */
  mayClear(machine: Machine, status: TaskStatus, ref: TaskRef, job: Job | undefined): boolean {
    const attempt = attemptKey(status.task, status.attempt);
    const { pushedStarts } = machine;
    if (pushedStarts.isUnacknowledged(attempt)) return false;
    const isDone = status.exitReason === ExitReason.done;
    // The worker's status is the only record of a completion until the store has it.
    if (isDone && job && !(job.isTaskDone(ref.index) && areCompletionsStored(job))) return false;
    if (!pushedStarts.isAcknowledged(attempt)) return true;
    // A completed task that is started again ends at once, which is harmless unless it must not run at all.
    if (isDone && !this.mustNotRunAgain(job, this.ledger.finalState(ref.job))) {
      pushedStarts.forget(attempt);
      return true;
    }
    const now = this.deps.clock.steady();
    const endedAt = pushedStarts.noteEnded(attempt, now);
    if (durationBetween(endedAt, now) < this.deps.settings.workers.lease * LATE_DUPLICATE_LEASES)
      return false;
    pushedStarts.forget(attempt);
    return true;
  }

  /** Whether a task of the job would violate a rule even in the moment that it takes to end. */
  private mustNotRunAgain(job: Job | undefined, final: FinalState | undefined): boolean {
    if (this.hasQuota(job?.spec.team ?? final?.team ?? '')) return true;
    if (!job) return final?.status !== JobStatus.done;
    return job.isCancelled || job.spec.singleZone || job.spec.spreadZones;
  }

  private hasQuota(teamName: string): boolean {
    const team = this.deps.settings.teams.get(teamName);
    return team !== undefined && (team.maxCpus > 0 || team.maxGpus > 0);
  }
}

/** Whether the store has all completions of a job. */
function areCompletionsStored(job: Job): boolean {
  return job.committedVersion >= job.version || job.committedProgress.doneCount >= job.doneCount;
}
