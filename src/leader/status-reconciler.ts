/** Reconciliation of a machine's status with the placements that records have there. */
import { isProvenAbsent } from '../fleet/absence.js';
import type { AssignedTask } from '../fleet/load.js';
import type { Machine } from '../fleet/machine.js';
import { attemptKey, type StatusSource, type WorkerStatus } from '../fleet/worker-status.js';
import type { Job, Placement } from '../ledger/job.js';
import {
  parseTaskKey,
  durationBetween,
  taskKey,
  type Epoch,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';
import { ExitReason, TaskState, type TaskStatus } from '../wire/index.js';
import type { StatusObserver } from './direct-command-sender.js';
import type { TermDependencies } from './dependencies.js';
import { FailureBackoff } from './failure-backoff.js';
import type { PlacementIndex } from './placement-index.js';
import { isCommitted, isToBeStopped, placementOfAttempt } from './placement-state.js';

/** Updates placements, orphans and idle times with what machines report. */
export class StatusReconciler implements StatusObserver {
  private readonly backoff: FailureBackoff;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly deps: Pick<TermDependencies, 'clock' | 'log'>,
  ) {
    this.backoff = new FailureBackoff(deps.log);
  }

  observe(machine: Machine, status: WorkerStatus, source: StatusSource): void {
    const now = this.deps.clock.steady();
    let hasRunningTask = false;
    for (const task of status.tasks) {
      if (task.state !== TaskState.exited) hasRunningTask = true;
      this.observeTask(machine, task, now);
    }
    this.placements.fleet.sweepOrphans(machine, status);
    for (const [key, assigned] of [...machine.assignments])
      this.reconcileAssignment(machine, key, assigned, status, source);
    if (machine.assignments.size > 0 || hasRunningTask) machine.idleSince = undefined;
    else machine.idleSince ??= now;
  }

  private observeTask(machine: Machine, task: TaskStatus, now: SteadyMs): void {
    const ref = parseTaskKey(task.task);
    if (!ref) return;
    const { index } = ref;
    const job = this.placements.ledger.jobs.get(ref.job);
    const placement = placementOfAttempt(job, index, machine.id, task.attempt);
    if (task.state !== TaskState.exited) {
      if (job && placement) this.observeLive(machine, job, index, placement, task);
      else this.placements.fleet.noteOrphan(taskKey(ref.job, index), machine.id);
    } else if (task.exitReason === ExitReason.done) {
      // Whichever attempt has completed, the task is done.
      if (job && !job.isDone(index)) this.observeCompletion(machine, job, index);
    } else if (job && placement) {
      this.placements.requeueTask(job, index, task.exitReason ?? 'exited');
      if (task.exitReason === ExitReason.failed)
        this.deps.log.warn({ job: job.id, index, machine: machine.id }, 'task failed');
      this.backoff.noteExit(machine, job, task, now);
    }
  }

  private observeLive(
    machine: Machine,
    job: Job,
    index: number,
    placement: Placement,
    task: TaskStatus,
  ): void {
    placement.isReported = true;
    if (task.state !== TaskState.running) return;
    if (!placement.hasRun) this.noteStart(machine, job, index, placement);
    machine.noteImageUse(job.spec.image, job.spec.imageSizeGb);
  }

  private observeCompletion(machine: Machine, job: Job, index: number): void {
    machine.noteImageUse(job.spec.image, job.spec.imageSizeGb);
    if (job.isGang) this.placements.completeGang(job);
    else this.placements.completeTask(job, index);
  }

  private reconcileAssignment(
    machine: Machine,
    key: TaskKey,
    assigned: AssignedTask,
    status: WorkerStatus,
    source: StatusSource,
  ): void {
    const job = this.placements.ledger.jobs.get(assigned.job);
    const placement = placementOfAttempt(job, assigned.index, machine.id, assigned.attempt);
    if (!job || !placement) {
      machine.unassign(key);
      return;
    }
    const attempt = attemptKey(key, assigned.attempt);
    if (status.byAttempt.has(attempt) || !isUnwanted(machine, job, placement)) return;
    const evidence = {
      status,
      source,
      attempt,
      start: placement,
      unacknowledgedStarts: machine.pushedStarts.unacknowledged,
      epoch: this.epoch,
    };
    if (isProvenAbsent(evidence))
      this.placements.requeueTask(job, assigned.index, 'not on its machine');
  }

  /** The log shows where the time between a submission and its start was spent. */
  private noteStart(machine: Machine, job: Job, index: number, placement: Placement): void {
    this.placements.noteRunning(job, index, placement);
    const { clock, log } = this.deps;
    log.debug(
      {
        job: job.id,
        index,
        machine: machine.id,
        jobClass: job.spec.jobClass,
        sinceSubmitMs: Math.round(clock.wall() - job.submittedAt),
        sincePlacedMs: Math.round(durationBetween(placement.placedAt, clock.steady())),
        hadImage: placement.wasImageCached,
      },
      'running',
    );
  }
}

/**
 * Whether a task that the machine does not show is to be queued again as soon as its absence is proven, rather
 * than started. An inherited placement is not started: the earlier leader may have released its resources without
 * having written that, and starting it could exceed the quota of its team.
 */
const isUnwanted = (machine: Machine, job: Job, placement: Placement): boolean =>
  isToBeStopped(job, placement) ||
  placement.isInherited ||
  (machine.isDraining && isCommitted(job, placement));
