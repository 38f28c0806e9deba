/** Applies the life cycle of gangs: ends attempts that lost a task, saves those whose machine is reclaimed. */
import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import { ms, seconds, durationBetween, type Clock, type MachineId } from '../units/index.js';
import { nextAction, type GangState, type GangTask } from './gang-lifecycle.js';
import { canCheckpoint, type PlacementIndex } from './placement-index.js';
import { isStartUnsent } from './placement-state.js';

/** How stops reach machines. */
export interface StopSender {
  /** Pushes the stops of a machine's tasks soon. */
  schedulePush(machine: MachineId): void;
  /** Whether a command can be pushed to a machine now. */
  canReach(machine: Machine): boolean;
}

/** Carries out what `nextAction` decides for each gang. */
export class GangController {
  /** Gangs to be reviewed in the next turn: the change that broke them may be half done. */
  private readonly broken = new Set<Job>();

  constructor(
    private readonly placements: PlacementIndex,
    private readonly commands: StopSender,
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

  /** Reviews the gangs on machines that the cloud is about to reclaim. */
  reviewReclaimed(): void {
    const leaving = new Set<Job>();
    for (const machine of this.placements.fleet.machines.values()) {
      if (machine.reclaimAt === undefined) continue;
      for (const { job: id } of machine.assignments.values()) {
        const job = this.placements.ledger.jobs.get(id);
        if (job?.isGang) leaving.add(job);
      }
    }
    for (const job of leaving) this.review(job);
  }

  private review(job: Job): void {
    // The tasks of a cancelled job are being stopped already. A replaced job has other placements now.
    if (job.isCancelled || this.placements.ledger.jobs.get(job.id) !== job) return;
    switch (nextAction(this.stateOf(job))) {
      case 'none':
        return;
      case 'complete':
        this.placements.completeGang(job);
        return;
      case 'endAttempt':
        this.stopAll(job, 0);
        return;
      case 'saveAndStop':
        this.stopAll(job, job.spec.checkpointSeconds);
        return;
    }
  }

  private stopAll(job: Job, graceSeconds: number): void {
    for (const [index, placement] of [...job.placements]) {
      if (isStartUnsent(placement)) {
        this.placements.requeueTask(job, index, 'its gang lost a task');
      } else {
        this.placements.stopTask(job, index, placement, graceSeconds);
        this.commands.schedulePush(placement.machine);
      }
    }
  }

  private stateOf(job: Job): GangState {
    return {
      taskCount: job.spec.taskCount,
      waitingCount: job.waiting.size,
      doneCount: job.doneCount,
      tasks: Array.from(job.placements.values(), (placement) => this.taskOf(placement)),
      checkpointTime: canCheckpoint(job) ? seconds(job.spec.checkpointSeconds) : undefined,
    };
  }

  private taskOf(placement: Placement): GangTask {
    const machine = this.placements.fleet.machines.get(placement.machine);
    const now = this.clock.steady();
    return {
      isReported: placement.isReported,
      isRunning: placement.hasRun === true,
      isStopping: placement.evictionGraceSeconds !== undefined,
      reclaimIn:
        machine?.reclaimAt === undefined ? undefined : durationBetween(now, machine.reclaimAt),
      isReachable: machine !== undefined && this.commands.canReach(machine),
    };
  }
}
