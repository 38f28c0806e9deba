/** Decides when a worker may forget an attempt that has exited. */
import type { Machine } from '../fleet/machine.js';
import { attemptKey } from '../fleet/worker-status.js';
import type { FinalState, Job } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import { durationBetween, type TaskRef } from '../units/index.js';
import { ExitReason, JobStatus, type TaskStatus } from '../wire/index.js';
import type { TermDependencies } from './term-dependencies.js';

/** The longest delay of a duplicate message, in worker leases. */
const MAX_DUPLICATE_DELAY_LEASES = 3;

/**
 * Decides which attempts a worker may forget. Once a worker has forgotten an attempt, a start of it would run it
 * again. Such a start may still be in flight, or be a late duplicate of a start that was executed long ago.
 */
export class AttemptClearance {
  constructor(
    private readonly ledger: Pick<Ledger, 'finalState'>,
    private readonly deps: Pick<TermDependencies, 'clock' | 'settings'>,
  ) {}

  /**
   * Whether the worker may forget an exited attempt.
   *
   * @param ref the task of the status
   * @param job the live job of the task; undefined if there is none
   */
  canClear(machine: Machine, status: TaskStatus, ref: TaskRef, job: Job | undefined): boolean {
    const attempt = attemptKey(status.task, status.attempt);
    const { pushedStarts } = machine;
    if (pushedStarts.isUnacknowledged(attempt)) return false;
    const isDone = status.exitReason === ExitReason.done;
    // The worker's status is the only record of a completion until the store has it.
    if (isDone && job && !(job.isDone(ref.index) && areCompletionsStored(job))) return false;
    if (!pushedStarts.isAcknowledged(attempt)) return true;
    // A completed task that is started again exits at once. This is harmless unless it must not run at all.
    if (isDone && !this.isRerunForbidden(job, this.ledger.finalState(ref.job))) {
      pushedStarts.forget(attempt);
      return true;
    }
    const now = this.deps.clock.steady();
    const endedAt = pushedStarts.noteEnded(attempt, now);
    if (
      durationBetween(endedAt, now) <
      this.deps.settings.workers.lease * MAX_DUPLICATE_DELAY_LEASES
    )
      return false;
    pushedStarts.forget(attempt);
    return true;
  }

  /** Whether a completed task of the job would violate a constraint even for the moment until it exits. */
  private isRerunForbidden(job: Job | undefined, final: FinalState | undefined): boolean {
    if (this.hasQuota(job?.spec.team ?? final?.team ?? '')) return true;
    if (!job) return final?.status !== JobStatus.done;
    return job.isCancelled || job.spec.singleZone || job.spec.spreadZones;
  }

  private hasQuota(teamName: string): boolean {
    const team = this.deps.settings.teams.get(teamName);
    return team !== undefined && (team.maxCpus > 0 || team.maxGpus > 0);
  }
}

/** Whether all completed tasks of a job are recorded in the store. */
function areCompletionsStored(job: Job): boolean {
  return job.committedVersion >= job.version || job.committedProgress.doneCount >= job.doneCount;
}
