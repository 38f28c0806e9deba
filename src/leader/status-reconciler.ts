/** Compares the status of a machine with its placements in the job records, and resolves the differences. */
import { isProvenAbsent } from '../fleet/attempt-absence.js';
import type { AssignedTask } from '../fleet/machine-load.js';
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
import type { TermDependencies } from './term-dependencies.js';
import { FailureBackoff } from './failure-backoff.js';
import type { PlacementIndex } from './placement-index.js';
import { placementOfAttempt, shouldRequeueIfAbsent } from './placement-state.js';

/** Updates placements, orphaned tasks and idle times from the statuses of machines. */
export class StatusReconciler implements StatusObserver {
  private readonly failureBackoff: FailureBackoff;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly deps: Pick<TermDependencies, 'clock' | 'log'>,
  ) {
    this.failureBackoff = new FailureBackoff(deps.log);
  }

  observe(machine: Machine, status: WorkerStatus, source: StatusSource): void {
    const now = this.deps.clock.steady();
    let hasRunningTask = false;
    for (const task of status.tasks) {
      if (task.state !== TaskState.exited) hasRunningTask = true;
      this.observeTask(machine, task, now);
    }
    this.placements.fleet.removeEndedOrphans(machine, status);
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
      if (job && placement) this.observeActiveTask(machine, job, index, placement, task);
      else this.placements.fleet.recordOrphan(taskKey(ref.job, index), machine.id);
    } else if (task.exitReason === ExitReason.done) {
      // The task is done no matter which of its attempts has completed.
      if (job && !job.isTaskDone(index)) this.observeCompletion(machine, job, index);
    } else if (job && placement) {
      this.placements.requeueTask(job, index, task.exitReason ?? 'exited');
      if (task.exitReason === ExitReason.failed)
        this.deps.log.warn(
          { job: job.id, index, machine: machine.id },
          'task failed on its machine; it is queued again',
        );
      this.failureBackoff.onTaskExited(machine, job, task, now);
    }
  }

  private observeActiveTask(
    machine: Machine,
    job: Job,
    index: number,
    placement: Placement,
    task: TaskStatus,
  ): void {
    placement.isReported = true;
    if (task.state !== TaskState.running) return;
    if (!placement.hasRun) this.recordStart(machine, job, index, placement);
    machine.recordImageUse(job.spec.image, job.spec.imageSizeGb);
  }

  private observeCompletion(machine: Machine, job: Job, index: number): void {
    machine.recordImageUse(job.spec.image, job.spec.imageSizeGb);
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
    if (status.byAttempt.has(attempt) || !shouldRequeueIfAbsent(machine, job, placement)) return;
    const evidence = {
      status,
      source,
      attempt,
      start: placement,
      directStarts: machine.directStarts,
      epoch: this.epoch,
    };
    if (isProvenAbsent(evidence))
      this.placements.requeueTask(job, assigned.index, 'the task is not on its machine');
  }

  /** Marks the task as running, and logs the times since its submission and since its placement. */
  private recordStart(machine: Machine, job: Job, index: number, placement: Placement): void {
    this.placements.markRunning(job, index, placement);
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
      'task is running',
    );
  }
}
