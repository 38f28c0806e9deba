/** Gangs on machines: ends attempts that lost a task, saves those whose machine is taken, completes them. */
import type { Job, Placement } from '../ledger/job.js';
import { ms, seconds, since, type Clock } from '../units/index.js';
import { canSave, type Board } from './board.js';
import { nextAction, type GangTask, type GangView } from './gang-lifecycle.js';
import type { Orders } from './orders.js';

export class Gangs {
  /** To be looked at in the next turn: what broke them may be half done. */
  private readonly broken = new Set<Job>();

  constructor(
    private readonly board: Board,
    private readonly orders: Orders,
    private readonly clock: Clock,
  ) {}

  /** A task of the gang is gone, or was found to be. */
  noteBroken(job: Job): void {
    if (this.broken.size === 0) this.clock.after(ms(0), () => this.reviewBroken());
    this.broken.add(job);
  }

  private reviewBroken(): void {
    const broken = [...this.broken];
    this.broken.clear();
    for (const job of broken) this.review(job);
  }

  /** Looks for gangs on machines that the cloud is about to take. */
  reviewLeaving(): void {
    const leaving = new Set<Job>();
    for (const m of this.board.fleet.machines.values()) {
      if (m.recallAt === undefined) continue;
      for (const { job: id } of m.assigned.values()) {
        const job = this.board.ledger.jobs.get(id);
        if (job?.isGang) leaving.add(job);
      }
    }
    for (const job of leaving) this.review(job);
  }

  /** If one task of a gang is done, all are: they complete together, whatever becomes of their machines. */
  complete(job: Job): void {
    for (let index = 0; index < job.spec.taskCount; index++) {
      if (!job.isDone(index)) this.board.finish(job, index);
    }
  }

  private review(job: Job): void {
    // A cancelled job's tasks are being stopped already; of one that was replaced, others are placed now.
    if (job.aborted || this.board.ledger.jobs.get(job.id) !== job) return;
    switch (nextAction(this.viewOf(job))) {
      case 'none':
        return;
      case 'complete':
        this.complete(job);
        return;
      case 'endAttempt':
        this.stopAll(job, 0);
        return;
      case 'saveAndStop':
        this.stopAll(job, job.spec.checkpointSeconds);
        return;
    }
  }

  private stopAll(job: Job, graceS: number): void {
    for (const [index, p] of [...job.placed]) {
      if (isUntold(p)) {
        this.board.unplace(job, index, 'its gang lost a task');
      } else {
        this.board.stop(job, index, p, graceS);
        this.orders.push(p.machine);
      }
    }
  }

  private viewOf(job: Job): GangView {
    return {
      entries: job.spec.taskCount,
      waiting: job.waiting.size,
      done: job.doneCount,
      tasks: [...job.placed.values()].map((p) => this.taskOf(p)),
      saveTime: canSave(job) ? seconds(job.spec.checkpointSeconds) : undefined,
    };
  }

  private taskOf(p: Placement): GangTask {
    const m = this.board.fleet.machines.get(p.machine);
    const now = this.clock.steady();
    return {
      isReported: p.seen,
      isRunning: p.ran === true,
      isStopping: p.evict !== undefined,
      machineLeavesIn: m?.recallAt === undefined ? undefined : since(now, m.recallAt),
      isReachable: m !== undefined && this.orders.canReach(m),
    };
  }
}

/** Whether its start has not left, so that its machine can't know of it. */
export const isUntold = (p: Placement): boolean => !p.inherited && !p.seen && !p.pushed && !p.sent;
