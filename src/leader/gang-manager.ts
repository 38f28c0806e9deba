/** Manages the life cycle of gangs: stops attempts that lost a task, and checkpoints gangs before a reclamation. */
import type { Machine } from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import { ms, seconds, durationBetween, type Clock, type MachineId } from '../units/index.js';
import { nextGangAction, type GangState, type GangTask } from './gang-lifecycle.js';
import { canCheckpoint, type PlacementIndex } from './placement-index.js';
import { isStartUnsent } from './placement-state.js';

/** Sends the commands that stop tasks. */
export interface StopCommandSender {
  /** Schedules direct commands to a machine, among them those that stop tasks. */
  scheduleDirectCommands(machine: MachineId): void;
  /** Whether a command can be sent directly to a machine now. */
  canSendTo(machine: Machine): boolean;
}

/** Carries out the actions that `nextGangAction` chooses for gangs. */
export class GangManager {
  /**
   * Gangs with a lost task, to be reviewed in the next turn of the event loop. The change in which the task was lost
   * may be incomplete until then.
   */
  private readonly brokenGangs = new Set<Job>();

  constructor(
    private readonly placements: PlacementIndex,
    private readonly commandSender: StopCommandSender,
    private readonly clock: Clock,
  ) {}

  /** Called when a task of the gang is lost, or was found to be lost. */
  onGangBroken(job: Job): void {
    if (this.brokenGangs.size === 0) this.clock.after(ms(0), () => this.reviewBrokenGangs());
    this.brokenGangs.add(job);
  }

  private reviewBrokenGangs(): void {
    const gangs = [...this.brokenGangs];
    this.brokenGangs.clear();
    for (const job of gangs) this.reviewGang(job);
  }

  /** Reviews the gangs on machines that the cloud is about to reclaim. */
  reviewReclaimedGangs(): void {
    const affectedGangs = new Set<Job>();
    for (const machine of this.placements.fleet.machines.values()) {
      if (machine.reclaimAt === undefined) continue;
      for (const { job: id } of machine.assignments.values()) {
        const job = this.placements.ledger.jobs.get(id);
        if (job?.isGang) affectedGangs.add(job);
      }
    }
    for (const job of affectedGangs) this.reviewGang(job);
  }

  private reviewGang(job: Job): void {
    // The tasks of a cancelled job are already being stopped. A job that has been replaced has other placements now.
    if (job.isCancelled || this.placements.ledger.jobs.get(job.id) !== job) return;
    switch (nextGangAction(this.gangStateOf(job))) {
      case 'none':
        return;
      case 'complete':
        this.placements.completeGang(job);
        return;
      case 'stopAttempt':
        this.stopAllTasks(job, 0);
        return;
      case 'checkpointAndStop':
        this.stopAllTasks(job, job.spec.checkpointSeconds);
        return;
    }
  }

  private stopAllTasks(job: Job, graceSeconds: number): void {
    for (const [index, placement] of [...job.placements]) {
      if (isStartUnsent(placement)) {
        this.placements.requeueTask(job, index, 'its gang lost a task');
      } else {
        this.placements.stopTask(job, index, placement, graceSeconds);
        this.commandSender.scheduleDirectCommands(placement.machine);
      }
    }
  }

  private gangStateOf(job: Job): GangState {
    return {
      taskCount: job.spec.taskCount,
      waitingCount: job.waitingTasks.size,
      doneCount: job.doneCount,
      tasks: Array.from(job.placements.values(), (placement) => this.gangTaskOf(placement)),
      checkpointDuration: canCheckpoint(job) ? seconds(job.spec.checkpointSeconds) : undefined,
    };
  }

  private gangTaskOf(placement: Placement): GangTask {
    const machine = this.placements.fleet.machines.get(placement.machine);
    const now = this.clock.steady();
    return {
      isReported: placement.isReported,
      isRunning: placement.hasRun === true,
      isStopping: placement.evictionGraceSeconds !== undefined,
      timeToReclaim:
        machine?.reclaimAt === undefined ? undefined : durationBetween(now, machine.reclaimAt),
      isReachable: machine !== undefined && this.commandSender.canSendTo(machine),
    };
  }
}
