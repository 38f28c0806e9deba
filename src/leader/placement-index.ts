import type { Logger } from 'pino';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { taskResources } from '../fleet/resources.js';
import type { Job, Placement } from '../ledger/job.js';
import type { Ledger } from '../ledger/ledger.js';
import {
  parseTaskKey,
  seconds,
  since,
  taskKey,
  type Clock,
  type SteadyMs,
  type TaskKey,
} from '../units/index.js';

/** Work younger than this may be lost to make room for an urgent task. */
export const RECENT_START_WINDOW = seconds(8);

export interface PlacementEvents {
  /** Something changed that may let a waiting task be placed. */
  onRoomChanged(): void;
  /** A task of a gang was lost, or found lost, while others of it may be on machines. */
  onGangBroken(job: Job): void;
}

export interface RecentStart {
  readonly job: Job;
  readonly index: number;
  readonly placement: Placement;
  readonly startedAt: SteadyMs;
}

/**
 * Jobs and machines together: each change of where a task is goes through here, so that record and
 * fleet agree, and what placing asks for often is kept up to date.
 */
export class PlacementIndex {
  /** Tasks that were told to stop for others and have not yet, with their processors. */
  private readonly stopping = new Map<TaskKey, number>();
  /** Tasks that began to run lately, oldest first. */
  private recentStarts: RecentStart[] = [];

  constructor(
    readonly ledger: Ledger,
    readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly events: PlacementEvents,
  ) {}

  assignTask(job: Job, index: number, p: Placement): void {
    this.fleet.assign(p.machine, taskKey(job.id, index), {
      job: job.id,
      index,
      attempt: p.attempt,
      resources: taskResources(job.spec),
      image: job.spec.image,
      placedAt: p.placedAt,
    });
  }

  /** It is on no machine any more, or its place was never sent. */
  releaseTask(job: Job, index: number): void {
    const p = job.placements.get(index);
    if (!p) return;
    const key = taskKey(job.id, index);
    this.fleet.release(p.machine, key, p.attempt);
    this.stopping.delete(key);
    this.events.onRoomChanged();
  }

  /** Proof was found that the task is on no machine. */
  requeueTask(job: Job, index: number, why: string): void {
    const p = job.placements.get(index);
    if (!p) return;
    this.log.debug({ job: job.id, index, machine: p.machine, why }, 'task is free again');
    this.releaseTask(job, index);
    job.requeue(index);
    this.checkGang(job);
  }

  /** Takes in a job that the store holds, with its placements. */
  addJob(job: Job): void {
    for (const [index, p] of job.placements) this.assignTask(job, index, p);
    this.checkGang(job);
  }

  private checkGang(job: Job): void {
    if (job.isGang && isDivided(job)) this.events.onGangBroken(job);
  }

  completeTask(job: Job, index: number): void {
    this.releaseTask(job, index);
    job.complete(index);
  }

  /** The store holds another record of it than we had: where its tasks are is as that says. */
  replaceJob(job: Job): void {
    for (const m of this.fleet.machines.values()) {
      for (const [key, a] of m.assignments) if (a.job === job.id) m.unassign(key);
    }
    for (const key of this.stopping.keys()) {
      if (parseTaskKey(key)?.job === job.id) this.stopping.delete(key);
    }
    this.addJob(job);
    this.events.onRoomChanged();
  }

  /** To be stopped, so that it can run elsewhere or later; it saves first if it can. */
  preempt(job: Job, index: number, p: Placement): void {
    if (p.evictionGraceSeconds === undefined)
      this.stopTask(job, index, p, canSave(job) ? job.spec.checkpointSeconds : 0);
  }

  /** To be stopped within so many seconds; less time than before replaces what was told first. */
  stopTask(job: Job, index: number, p: Placement, graceS: number): void {
    if (p.evictionGraceSeconds !== undefined && p.evictionGraceSeconds <= graceS) return;
    p.evictionGraceSeconds = graceS;
    p.stopPushed = false;
    this.stopping.set(taskKey(job.id, index), job.spec.cpus);
  }

  /** Processors of tasks that were told to stop and have not yet. */
  get cpusBeingFreed(): number {
    let cpus = 0;
    for (const c of this.stopping.values()) cpus += c;
    return cpus;
  }

  noteRunning(job: Job, index: number, p: Placement): void {
    p.hasRun = true;
    this.recentStarts.push({ job, index, placement: p, startedAt: this.clock.steady() });
  }

  startedRecently(now: SteadyMs): readonly RecentStart[] {
    const old = this.recentStarts.findIndex((b) => since(b.startedAt, now) <= RECENT_START_WINDOW);
    if (old !== 0) this.recentStarts = old < 0 ? [] : this.recentStarts.slice(old);
    return this.recentStarts;
  }

  releaseMachine(m: Machine, why: string): void {
    for (const a of [...m.assignments.values()]) {
      const job = this.ledger.jobs.get(a.job);
      if (job?.placements.get(a.index)?.machine === m.id) this.requeueTask(job, a.index, why);
    }
    for (const key of [...m.assignments.keys()]) m.unassign(key);
    this.fleet.sweepOrphans(m, undefined);
    this.events.onRoomChanged();
  }
}

/** Whether the tasks of a job are not all in the same state: placed, waiting or done. */
const isDivided = (job: Job): boolean =>
  [job.placements.size, job.waiting.size, job.doneCount].filter((n) => n > 0).length > 1;

/** Whether a task of the job can save its progress when it is stopped. */
export const canSave = (job: Job): boolean => job.spec.checkpointIntervalSeconds > 0;
