/** Keeps the placements of jobs and the assignments of machines consistent. */
import type { Logger } from 'pino';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { taskResources } from '../fleet/resources.js';
import type { Job, Placement } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import {
  parseTaskKey,
  seconds,
  durationBetween,
  taskKey,
  type Clock,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';

/** A task that started at most this long ago may be preempted, since little work is lost. */
export const RECENT_START_WINDOW = seconds(8);

/** Callbacks for changes of placements. */
export interface PlacementEvents {
  /** Called when a waiting task may now find free resources. */
  onCapacityChanged(): void;
  /** Called when a gang lacks a task, newly or as found in its record, while its other tasks may be on machines. */
  onGangBroken(job: Job): void;
}

/** A task that was recently seen running for the first time. */
export interface RecentStart {
  readonly job: Job;
  readonly index: number;
  readonly placement: Placement;
  readonly startedAt: SteadyMs;
}

/** The dependencies of the placement index. */
export interface PlacementIndexOptions {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly log: Logger;
  readonly events: PlacementEvents;
}

/**
 * Every change of a task's placement goes through this class, so that records and fleet stay consistent. It also
 * keeps what the scheduler reads often: the tasks that are being stopped and the tasks that started recently.
 */
export class PlacementIndex {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly events: PlacementEvents;
  /** The CPUs of each task that has to stop and may still be running. */
  private readonly stoppingCpus = new Map<TaskKey, number>();
  /** Oldest first. */
  private recentStarts: RecentStart[] = [];

  constructor({ ledger, fleet, clock, log, events }: PlacementIndexOptions) {
    this.ledger = ledger;
    this.fleet = fleet;
    this.clock = clock;
    this.log = log;
    this.events = events;
  }

  assignTask(job: Job, index: number, placement: Placement): void {
    this.fleet.assign(placement.machine, taskKey(job.id, index), {
      job: job.id,
      index,
      attempt: placement.attempt,
      resources: taskResources(job.spec),
      image: job.spec.image,
      placedAt: placement.placedAt,
    });
  }

  /** Releases a task that is on no machine any more or whose start was never sent. The job does not change. */
  releaseTask(job: Job, index: number): void {
    const placement = job.placements.get(index);
    if (!placement) return;
    const key = taskKey(job.id, index);
    this.fleet.unassign(placement.machine, key, placement.attempt);
    this.stoppingCpus.delete(key);
    this.events.onCapacityChanged();
  }

  /** Queues a task again that is proven to be on no machine. */
  requeueTask(job: Job, index: number, reason: string): void {
    const placement = job.placements.get(index);
    if (!placement) return;
    const { machine } = placement;
    this.log.debug(
      { job: job.id, index, machine, reason },
      'task released from its machine; it is queued again',
    );
    this.releaseTask(job, index);
    job.requeueTask(index);
    this.checkGangIntact(job);
  }

  /** Assigns the placed tasks of a job that was read from the store. */
  addJob(job: Job): void {
    for (const [index, placement] of job.placements) this.assignTask(job, index, placement);
    this.checkGangIntact(job);
  }

  private checkGangIntact(job: Job): void {
    if (job.isGang && hasMixedTaskStates(job)) this.events.onGangBroken(job);
  }

  completeTask(job: Job, index: number): void {
    this.releaseTask(job, index);
    job.completeTask(index);
  }

  /** Completes all tasks of a gang: when one of them is done, all are done, even if their machines are lost. */
  completeGang(job: Job): void {
    for (let index = 0; index < job.spec.taskCount; index++) {
      if (!job.isTaskDone(index)) this.completeTask(job, index);
    }
  }

  /** Replaces the placements of a job because the store holds a different record of it than expected. */
  replaceJob(job: Job): void {
    for (const machine of this.fleet.machines.values()) {
      for (const [key, assigned] of machine.assignments)
        if (assigned.job === job.id) machine.unassign(key);
    }
    for (const key of this.stoppingCpus.keys()) {
      if (parseTaskKey(key)?.job === job.id) this.stoppingCpus.delete(key);
    }
    this.addJob(job);
    this.events.onCapacityChanged();
  }

  /** Stops a task so that it can run elsewhere or later. It saves a checkpoint first if it can. */
  preempt(job: Job, index: number, placement: Placement): void {
    if (placement.evictionGraceSeconds === undefined)
      this.stopTask(job, index, placement, canCheckpoint(job) ? job.spec.checkpointSeconds : 0);
  }

  /** Stops a task within the grace period. A shorter grace period replaces that of an earlier call. */
  stopTask(job: Job, index: number, placement: Placement, graceSeconds: number): void {
    const { evictionGraceSeconds } = placement;
    if (evictionGraceSeconds !== undefined && evictionGraceSeconds <= graceSeconds) return;
    placement.evictionGraceSeconds = graceSeconds;
    placement.isStopSentDirectly = false;
    this.stoppingCpus.set(taskKey(job.id, index), job.spec.cpus);
  }

  /** The total CPUs of all tasks that have to stop and may still be running. */
  get totalStoppingCpus(): number {
    let total = 0;
    for (const cpus of this.stoppingCpus.values()) total += cpus;
    return total;
  }

  /** Records that the task was seen running for the first time. */
  markRunning(job: Job, index: number, placement: Placement): void {
    placement.hasRun = true;
    this.recentStarts.push({ job, index, placement, startedAt: this.clock.steady() });
  }

  /** Tasks that started within `RECENT_START_WINDOW`, oldest first. They may have exited since then. */
  recentlyStartedTasks(now: SteadyMs): readonly RecentStart[] {
    const first = this.recentStarts.findIndex(
      ({ startedAt }) => durationBetween(startedAt, now) <= RECENT_START_WINDOW,
    );
    if (first !== 0) this.recentStarts = first < 0 ? [] : this.recentStarts.slice(first);
    return this.recentStarts;
  }

  /** Queues the tasks of a machine that no longer runs anything. */
  releaseMachine(machine: Machine, reason: string): void {
    for (const assigned of [...machine.assignments.values()]) {
      const job = this.ledger.jobs.get(assigned.job);
      if (job?.placements.get(assigned.index)?.machine === machine.id)
        this.requeueTask(job, assigned.index, reason);
    }
    for (const key of [...machine.assignments.keys()]) machine.unassign(key);
    this.fleet.removeEndedOrphans(machine, undefined);
    this.events.onCapacityChanged();
  }
}

/** Whether the tasks of a job are in different states among placed, waiting and done. */
const hasMixedTaskStates = (job: Job): boolean =>
  [job.placements.size, job.waitingTasks.size, job.doneCount].filter((count) => count > 0).length >
  1;

/** Whether a task of the job can save a checkpoint when it is stopped. */
export const canCheckpoint = (job: Job): boolean => job.spec.checkpointIntervalSeconds > 0;
