import type { Logger } from 'pino';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { sizeOfSpec } from '../fleet/size.js';
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
export const JUST_BEGUN = seconds(8);

export interface BoardEvents {
  /** Something changed that may let a waiting task be placed. */
  wake(): void;
  /** A task of a gang was lost, or found lost, while others of it may be on machines. */
  gangBroken(job: Job): void;
}

export interface Begun {
  readonly job: Job;
  readonly index: number;
  readonly placement: Placement;
  readonly since: SteadyMs;
}

/**
 * Jobs and machines together: each change of where a task is goes through here, so that record and
 * fleet agree, and what placing asks for often is kept up to date.
 */
export class Board {
  /** Tasks that were told to stop for others and have not yet, with their processors. */
  private readonly stopping = new Map<TaskKey, number>();
  /** Tasks that began to run lately, oldest first. */
  private begun: Begun[] = [];

  constructor(
    readonly ledger: Ledger,
    readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly events: BoardEvents,
  ) {}

  assign(job: Job, index: number, p: Placement): void {
    this.fleet.assign(p.machine, taskKey(job.id, index), {
      job: job.id,
      index,
      attempt: p.attempt,
      size: sizeOfSpec(job.spec),
      image: job.spec.image,
      placedAt: p.at,
    });
  }

  /** It is on no machine any more, or its place was never sent. */
  release(job: Job, index: number): void {
    const p = job.placed.get(index);
    if (!p) return;
    const key = taskKey(job.id, index);
    this.fleet.release(p.machine, key, p.attempt);
    this.stopping.delete(key);
    this.events.wake();
  }

  /** Proof was found that the task is on no machine. */
  unplace(job: Job, index: number, why: string): void {
    const p = job.placed.get(index);
    if (!p) return;
    this.log.debug({ job: job.id, index, machine: p.machine, why }, 'task is free again');
    this.release(job, index);
    job.unplace(index);
    this.checkGang(job);
  }

  /** Takes in a job that the store holds, with its placements. */
  admit(job: Job): void {
    for (const [index, p] of job.placed) this.assign(job, index, p);
    this.checkGang(job);
  }

  private checkGang(job: Job): void {
    if (job.isGang && isDivided(job)) this.events.gangBroken(job);
  }

  finish(job: Job, index: number): void {
    this.release(job, index);
    job.finish(index);
  }

  /** The store holds another record of it than we had: where its tasks are is as that says. */
  readopt(job: Job): void {
    for (const m of this.fleet.machines.values()) {
      for (const [key, a] of m.assigned) if (a.job === job.id) m.unassign(key);
    }
    for (const key of this.stopping.keys()) {
      if (parseTaskKey(key)?.job === job.id) this.stopping.delete(key);
    }
    this.admit(job);
    this.events.wake();
  }

  /** To be stopped, so that it can run elsewhere or later; it saves first if it can. */
  evict(job: Job, index: number, p: Placement): void {
    if (p.evict === undefined)
      this.stop(job, index, p, canSave(job) ? job.spec.checkpointSeconds : 0);
  }

  /** To be stopped within so many seconds; less time than before replaces what was told first. */
  stop(job: Job, index: number, p: Placement, graceS: number): void {
    if (p.evict !== undefined && p.evict <= graceS) return;
    p.evict = graceS;
    p.stopped = false;
    this.stopping.set(taskKey(job.id, index), job.spec.cpus);
  }

  /** Processors of tasks that were told to stop and have not yet. */
  get comingFree(): number {
    let cpus = 0;
    for (const c of this.stopping.values()) cpus += c;
    return cpus;
  }

  ran(job: Job, index: number, p: Placement): void {
    p.ran = true;
    this.begun.push({ job, index, placement: p, since: this.clock.steady() });
  }

  justBegun(now: SteadyMs): readonly Begun[] {
    const old = this.begun.findIndex((b) => since(b.since, now) <= JUST_BEGUN);
    if (old !== 0) this.begun = old < 0 ? [] : this.begun.slice(old);
    return this.begun;
  }

  freeAll(m: Machine, why: string): void {
    for (const a of [...m.assigned.values()]) {
      const job = this.ledger.jobs.get(a.job);
      if (job?.placed.get(a.index)?.machine === m.id) this.unplace(job, a.index, why);
    }
    for (const key of [...m.assigned.keys()]) m.unassign(key);
    this.fleet.sweepStrays(m, undefined);
    this.events.wake();
  }
}

/** Whether the tasks of a job are not all in the same state: placed, waiting or done. */
const isDivided = (job: Job): boolean =>
  [job.placed.size, job.waiting.size, job.doneCount].filter((n) => n > 0).length > 1;

/** Whether a task of the job can save its progress when it is stopped. */
export const canSave = (job: Job): boolean => job.spec.checkpointIntervalSeconds > 0;
