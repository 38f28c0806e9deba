/** Stops less urgent tasks that started recently when urgent tasks find no capacity. */
import type { Machine } from '../fleet/machine.js';
import type { Job } from '../ledger/job.js';
import { isUrgent, priorityRankOf, type QueueEntry } from '../ledger/placement-order.js';
import { isMachineAllowed, type Assignment, type RemainingQuota } from '../placer/placer.js';
import { durationBetween, type DurationMs, type MachineId, type SteadyMs } from '../units/index.js';
import { JobKind } from '../wire/index.js';
import { RECENT_START_WINDOW, type PlacementIndex, type RecentStart } from './placement-index.js';

/** Maximum number of tasks that one placement round stops. */
const MAX_PREEMPTIONS_PER_ROUND = 8;

/** Schedules direct commands to machines. */
export interface DirectCommandScheduler {
  /** Soon sends the machine the commands that are due for it, without waiting for its next heartbeat. */
  scheduleDirectCommands(machine: MachineId): void;
}

/** A placement round whose assignments have not been applied yet. */
export interface PlacementRound {
  readonly queue: readonly QueueEntry[];
  readonly assignments: readonly Assignment[];
  /** Remaining quotas, before the assignments are subtracted. */
  readonly quotas: ReadonlyMap<string, RemainingQuota>;
  readonly now: SteadyMs;
}

interface PreemptionCandidate extends RecentStart {
  /** Whether the machine has the image of the job that would run there instead. */
  readonly isImageOnMachine: boolean;
  /** How long the task has run: the work that stopping it loses. */
  readonly lostRunTime: DurationMs;
}

/**
 * Preempts running tasks in favor of urgent jobs. Only tasks that started within `RECENT_START_WINDOW` are stopped, so
 * that little work is lost. They are requeued behind the urgent ones.
 */
export class Preemption {
  constructor(
    private readonly placements: PlacementIndex,
    private readonly directCommands: DirectCommandScheduler,
  ) {}

  /** Stops tasks until enough CPUs are being freed for the urgent tasks that the round leaves waiting. */
  preemptForUrgentJobs({ queue, assignments, quotas, now }: PlacementRound): void {
    let preemptionsLeft = MAX_PREEMPTIONS_PER_ROUND;
    for (const { job } of queue) {
      if (preemptionsLeft <= 0) return;
      if (!isUrgent(job.spec.priority)) continue;
      const assigned = assignments.filter((assignment) => assignment.job === job.id).length;
      const unplaced = job.waitingTasks.size - assigned;
      let missingCpus = unplaced * job.spec.cpus - this.placements.totalStoppingCpus;
      if (unplaced <= 0 || missingCpus <= 0) continue;
      // Freed capacity doesn't help a team that has used up its quota.
      const quota = quotas.get(job.spec.team);
      if (quota && quota.cpus < job.spec.cpus) continue;
      for (const candidate of this.candidates(job, now)) {
        if (missingCpus <= 0 || preemptionsLeft <= 0) break;
        missingCpus -= candidate.job.spec.cpus;
        preemptionsLeft--;
        this.placements.preempt(candidate.job, candidate.index, candidate.placement);
        this.directCommands.scheduleDirectCommands(candidate.placement.machine);
      }
    }
  }

  /** Tasks that may be stopped for a job: those on machines with its image first, then by least lost work. */
  private candidates(job: Job, now: SteadyMs): PreemptionCandidate[] {
    const candidates: PreemptionCandidate[] = [];
    for (const start of this.placements.recentlyStartedTasks(now)) {
      if (!isPreemptibleFor(job, start)) continue;
      const lostRunTime = durationBetween(start.startedAt, now);
      const machine = this.placements.fleet.machines.get(start.placement.machine);
      if (!machine || lostRunTime > RECENT_START_WINDOW || !canRunOn(job, machine)) continue;
      if (!this.isStillPlaced(start)) continue;
      const isImageOnMachine = machine.images.has(job.spec.image);
      candidates.push({ ...start, lostRunTime, isImageOnMachine });
    }
    return candidates.sort(
      (a, b) =>
        Number(b.isImageOnMachine) - Number(a.isImageOnMachine) || a.lostRunTime - b.lostRunTime,
    );
  }

  /** Whether the task is still placed: since its start it may have ended, or its placement may have been removed. */
  private isStillPlaced({ job, index, placement }: RecentStart): boolean {
    return (
      this.placements.ledger.jobs.get(job.id) === job && job.placements.get(index) === placement
    );
  }
}

/** Whether the task belongs to an array job that is less urgent than `job`, and isn't already being stopped. */
function isPreemptibleFor(job: Job, { job: other, placement }: RecentStart): boolean {
  return (
    priorityRankOf(other.spec.priority) > priorityRankOf(job.spec.priority) &&
    !other.isCancelled &&
    other.spec.kind === JobKind.array &&
    placement.evictionGraceSeconds === undefined
  );
}

function canRunOn({ spec }: Job, machine: Machine): boolean {
  if (!machine.isUp || machine.isDraining) return false;
  const { machineTypes, zone, allowSpot } = spec;
  return isMachineAllowed({ machineTypes, requiredZone: zone, allowSpot }, machine.kind);
}
