/** The placements of jobs and the assignments of machines, kept in agreement. */
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

/** A task that started within this time may be preempted, since little work is lost. */
export const RECENT_START_WINDOW = seconds(8);

/** Is notified of changes of placements. */
export interface PlacementEvents {
  /** A waiting task may find free resources now. */
  onCapacityChanged(): void;
  /** A gang has lost a task, or was found without one, while others of it may be on machines. */
  onGangBroken(job: Job): void;
}

/** A task that has begun to run lately. */
export interface RecentStart {
  readonly job: Job;
  readonly index: number;
  readonly placement: Placement;
  readonly startedAt: SteadyMs;
}

/** What the index uses. */
export interface PlacementIndexOptions {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly log: Logger;
  readonly events: PlacementEvents;
}

/**
 * Each change of where a task is goes through here, so that records and fleet agree. The index also keeps what the
 * scheduler asks for often: the tasks that are being stopped and those that have started lately.
 */
export class PlacementIndex {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  private readonly clock: Clock;
  private readonly log: Logger;
  private readonly events: PlacementEvents;
  /** The CPUs of tasks that are to stop and may still run. */
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

  /** The task is on no machine any more, or its start was never sent. The job itself does not change. */
  releaseTask(job: Job, index: number): void {
    const placement = job.placements.get(index);
    if (!placement) return;
    const key = taskKey(job.id, index);
    this.fleet.release(placement.machine, key, placement.attempt);
    this.stoppingCpus.delete(key);
    this.events.onCapacityChanged();
  }

  /** The task is proven to be on no machine, and waits again. */
  requeueTask(job: Job, index: number, reason: string): void {
    const placement = job.placements.get(index);
    if (!placement) return;
    const { machine } = placement;
    this.log.debug({ job: job.id, index, machine, reason }, 'task is free again');
    this.releaseTask(job, index);
    job.requeueTask(index);
    this.checkGang(job);
  }

  /** Assigns the placed tasks of a job that the store holds. */
  addJob(job: Job): void {
    for (const [index, placement] of job.placements) this.assignTask(job, index, placement);
    this.checkGang(job);
  }

  private checkGang(job: Job): void {
    if (job.isGang && isDivided(job)) this.events.onGangBroken(job);
  }

  completeTask(job: Job, index: number): void {
    this.releaseTask(job, index);
    job.completeTask(index);
  }

  /** When one task of a gang is done, all of them are, whatever becomes of their machines. */
  completeGang(job: Job): void {
    for (let index = 0; index < job.spec.taskCount; index++) {
      if (!job.isTaskDone(index)) this.completeTask(job, index);
    }
  }

  /** The store holds another record of the job than expected, whose placements replace the known ones. */
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

  /** The task is to stop so that it can run elsewhere or later; it saves a checkpoint first if it can. */
  preempt(job: Job, index: number, placement: Placement): void {
    if (placement.evictionGraceSeconds === undefined)
      this.stopTask(job, index, placement, canSave(job) ? job.spec.checkpointSeconds : 0);
  }

  /** The task is to stop within the grace period. A shorter one replaces that of an earlier call. */
  stopTask(job: Job, index: number, placement: Placement, graceSeconds: number): void {
    const { evictionGraceSeconds } = placement;
    if (evictionGraceSeconds !== undefined && evictionGraceSeconds <= graceSeconds) return;
    placement.evictionGraceSeconds = graceSeconds;
    placement.isStopSentDirectly = false;
    this.stoppingCpus.set(taskKey(job.id, index), job.spec.cpus);
  }

  /** The CPUs of all tasks that are to stop and may still run. */
  get cpusBeingFreed(): number {
    let total = 0;
    for (const cpus of this.stoppingCpus.values()) total += cpus;
    return total;
  }

  /** The task was seen running for the first time. */
  noteRunning(job: Job, index: number, placement: Placement): void {
    placement.hasRun = true;
    this.recentStarts.push({ job, index, placement, startedAt: this.clock.steady() });
  }

  /** Tasks that started within `RECENT_START_WINDOW`, oldest first. They may have ended since. */
  startedRecently(now: SteadyMs): readonly RecentStart[] {
    const first = this.recentStarts.findIndex(
      ({ startedAt }) => durationBetween(startedAt, now) <= RECENT_START_WINDOW,
    );
    if (first !== 0) this.recentStarts = first < 0 ? [] : this.recentStarts.slice(first);
    return this.recentStarts;
  }

  /** Everything on the machine is over: its tasks are queued again. */
  releaseMachine(machine: Machine, reason: string): void {
    for (const assigned of [...machine.assignments.values()]) {
      const job = this.ledger.jobs.get(assigned.job);
      if (job?.placements.get(assigned.index)?.machine === machine.id)
        this.requeueTask(job, assigned.index, reason);
    }
    for (const key of [...machine.assignments.keys()]) machine.unassign(key);
    this.fleet.sweepOrphans(machine, undefined);
    this.events.onCapacityChanged();
  }
}

/** Whether the tasks of a job are not all in the same state: placed, waiting or done. */
const isDivided = (job: Job): boolean =>
  [job.placements.size, job.waitingTasks.size, job.doneCount].filter((count) => count > 0).length >
  1;

/** Whether a task of the job can save a checkpoint when it is stopped. */
export const canSave = (job: Job): boolean => job.spec.checkpointIntervalSeconds > 0;
