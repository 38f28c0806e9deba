/** Applies the life cycle of gangs: ends attempts that lost a task, saves those whose machine is reclaimed. */
import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import { ms, seconds, durationBetween, type Clock, type MachineId } from '../units/index.js';
import { nextGangAction, type GangState, type GangTask } from './gang-lifecycle.js';
import { canSave, type PlacementIndex } from './placement-index.js';
import { isStartUnsent } from './placement-state.js';

/** How stops reach machines. */
export interface StopCommandSender {
  /** Pushes the stops of a machine's tasks soon. */
  scheduleDirectCommands(machine: MachineId): void;
  /** Whether a command can be pushed to a machine now. */
  canSendTo(machine: Machine): boolean;
}

/** Carries out what `nextGangAction` decides for each gang. */
export class GangManager {
  /** Gangs to be reviewed in the next turn: the change that broke them may be half done. */
  private readonly broken = new Set<Job>();

  constructor(
    private readonly placements: PlacementIndex,
    private readonly commands: StopCommandSender,
    private readonly clock: Clock,
  ) {}

  /** A task of the gang is gone, or was found to be. */
  onGangBroken(job: Job): void {
    if (this.broken.size === 0) this.clock.after(ms(0), () => this.reviewBroken());
    this.broken.add(job);
  }

  private reviewBroken(): void {
    const broken = [...this.broken];
    this.broken.clear();
    for (const job of broken) this.review(job);
  }

  /** Reviews the gangs on machines that the cloud is about to reclaim. */
  reviewReclaimedGangs(): void {
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
    switch (nextGangAction(this.stateOf(job))) {
      case 'none':
        return;
      case 'complete':
        this.placements.completeGang(job);
        return;
      case 'stopAttempt':
        this.stopAll(job, 0);
        return;
      case 'checkpointAndStop':
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
        this.commands.scheduleDirectCommands(placement.machine);
      }
    }
  }

  private stateOf(job: Job): GangState {
    return {
      taskCount: job.spec.taskCount,
      waitingCount: job.waiting.size,
      doneCount: job.doneCount,
      tasks: Array.from(job.placements.values(), (placement) => this.taskOf(placement)),
      checkpointDuration: canSave(job) ? seconds(job.spec.checkpointSeconds) : undefined,
    };
  }

  private taskOf(placement: Placement): GangTask {
    const machine = this.placements.fleet.machines.get(placement.machine);
    const now = this.clock.steady();
    return {
      isReported: placement.isReported,
      isRunning: placement.hasRun === true,
      isStopping: placement.evictionGraceSeconds !== undefined,
      timeToReclaim:
        machine?.reclaimAt === undefined ? undefined : durationBetween(now, machine.reclaimAt),
      isReachable: machine !== undefined && this.commands.canSendTo(machine),
    };
  }
}
