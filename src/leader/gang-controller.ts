/** Gangs on machines: ends attempts that lost a task, saves those whose machine is taken, completes them. */
import type { Job, Placement } from '../ledger/job.js';
import { ms, seconds, since, type Clock } from '../units/index.js';
import { canSave, type PlacementIndex } from './placement-index.js';
import { nextAction, type GangTask, type GangView } from './gang-lifecycle.js';
import type { CommandSender } from './command-sender.js';

export class GangController {
  /** To be looked at in the next turn: what broke them may be half done. */
  private readonly broken = new Set<Job>();

  constructor(
    private readonly placements: PlacementIndex,
    private readonly commands: CommandSender,
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
    for (const m of this.placements.fleet.machines.values()) {
      if (m.reclaimAt === undefined) continue;
      for (const { job: id } of m.assignments.values()) {
        const job = this.placements.ledger.jobs.get(id);
        if (job?.isGang) leaving.add(job);
      }
    }
    for (const job of leaving) this.review(job);
  }

  /** If one task of a gang is done, all are: they complete together, whatever becomes of their machines. */
  completeJob(job: Job): void {
    for (let index = 0; index < job.spec.taskCount; index++) {
      if (!job.isDone(index)) this.placements.completeTask(job, index);
    }
  }

  private review(job: Job): void {
    // A cancelled job's tasks are being stopped already; of one that was replaced, others are placed now.
    if (job.cancelled || this.placements.ledger.jobs.get(job.id) !== job) return;
    switch (nextAction(this.viewOf(job))) {
      case 'none':
        return;
      case 'complete':
        this.completeJob(job);
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
    for (const [index, p] of [...job.placements]) {
      if (isStartUnsent(p)) {
        this.placements.requeueTask(job, index, 'its gang lost a task');
      } else {
        this.placements.stopTask(job, index, p, graceS);
        this.commands.schedulePush(p.machine);
      }
    }
  }

  private viewOf(job: Job): GangView {
    return {
      taskCount: job.spec.taskCount,
      waitingCount: job.waiting.size,
      doneCount: job.doneCount,
      tasks: [...job.placements.values()].map((p) => this.taskOf(p)),
      checkpointTime: canSave(job) ? seconds(job.spec.checkpointSeconds) : undefined,
    };
  }

  private taskOf(p: Placement): GangTask {
    const m = this.placements.fleet.machines.get(p.machine);
    const now = this.clock.steady();
    return {
      isReported: p.isReported,
      isRunning: p.hasRun === true,
      isStopping: p.evictionGraceSeconds !== undefined,
      machineLeavesIn: m?.reclaimAt === undefined ? undefined : since(now, m.reclaimAt),
      isReachable: m !== undefined && this.commands.canReach(m),
    };
  }
}

/** Whether its start has not left, so that its machine can't know of it. */
export const isStartUnsent = (p: Placement): boolean =>
  !p.inherited && !p.isReported && !p.startPushed && !p.sentInReplyTo;
