/** Stops less urgent tasks that have only just started, where urgent ones find no capacity. */
import type { Machine } from '../fleet/machine.js';
import type { Job } from '../ledger/job.js';
import { isUrgent, rankOf, type QueueEntry } from '../ledger/queue-order.js';
import { isAllowed, type Assignment, type RemainingQuota } from '../placer/placer.js';
import { durationBetween, type DurationMs, type MachineId, type SteadyMs } from '../units/index.js';
import { JobKind } from '../wire/index.js';
import { RECENT_START_WINDOW, type PlacementIndex, type RecentStart } from './placement-index.js';

/** How many tasks are stopped in one placing round at most. */
const MAX_PREEMPTIONS_PER_ROUND = 8;

/** Sends a machine what was decided for it, without waiting for its next report. */
export interface CommandPusher {
  schedulePush(machine: MachineId): void;
}

/** A placing round whose assignments are not applied yet. */
export interface PlacingRound {
  readonly queue: readonly QueueEntry[];
  readonly assignments: readonly Assignment[];
  /** Remaining quotas before the assignments. */
  readonly quotas: ReadonlyMap<string, RemainingQuota>;
  readonly now: SteadyMs;
}

interface PreemptionCandidate extends RecentStart {
  /** Whether the machine has the image of the job that is to run there instead. */
  readonly machineHasImage: boolean;
  /** How long the task has run, which is the work that is lost. */
  readonly lostWork: DurationMs;
}

/**
 * Preempts running tasks for urgent jobs. Only tasks within `RECENT_START_WINDOW` of their start are stopped, so that
 * little work is lost. They wait again, behind the urgent ones in the queue.
 */
export class Preemption {
  constructor(
    private readonly placements: PlacementIndex,
    private readonly commands: CommandPusher,
  ) {}

  /** Stops tasks until enough processors are being freed for the urgent tasks that the round left waiting. */
  preemptForUrgent({ queue, assignments, quotas, now }: PlacingRound): void {
    let budget = MAX_PREEMPTIONS_PER_ROUND;
    for (const { job } of queue) {
      if (budget <= 0) return;
      if (!isUrgent(job.spec.priority)) continue;
      const assigned = assignments.filter((assignment) => assignment.job === job.id).length;
      const unplaced = job.waiting.size - assigned;
      let missingCpus = unplaced * job.spec.cpus - this.placements.totalStoppingCpus;
      if (unplaced <= 0 || missingCpus <= 0) continue;
      // Freed capacity would not help a team that has used up its quota.
      const quota = quotas.get(job.spec.team);
      if (quota && quota.cpus < job.spec.cpus) continue;
      for (const candidate of this.candidates(job, now)) {
        if (missingCpus <= 0 || budget <= 0) break;
        missingCpus -= candidate.job.spec.cpus;
        budget--;
        this.placements.preempt(candidate.job, candidate.index, candidate.placement);
        this.commands.schedulePush(candidate.placement.machine);
      }
    }
  }

  /** Tasks that may be stopped for a job: on machines with its image first, then those that lose least work. */
  private candidates(job: Job, now: SteadyMs): PreemptionCandidate[] {
    const candidates: PreemptionCandidate[] = [];
    for (const start of this.placements.recentlyStartedTasks(now)) {
      if (!isPreemptibleFor(job, start)) continue;
      const lostWork = durationBetween(start.startedAt, now);
      const machine = this.placements.fleet.machines.get(start.placement.machine);
      if (!machine || lostWork > RECENT_START_WINDOW || !canRunOn(job, machine)) continue;
      if (!this.isStillPlaced(start)) continue;
      const machineHasImage = machine.images.has(job.spec.image);
      candidates.push({ ...start, lostWork, machineHasImage });
    }
    return candidates.sort(
      (a, b) => Number(b.machineHasImage) - Number(a.machineHasImage) || a.lostWork - b.lostWork,
    );
  }

  /** The task may have ended, or have been taken off its machine, since it started. */
  private isStillPlaced({ job, index, placement }: RecentStart): boolean {
    return (
      this.placements.ledger.jobs.get(job.id) === job && job.placements.get(index) === placement
    );
  }
}

/** Only array tasks of less urgent jobs, unless they are being stopped already. */
function isPreemptibleFor(job: Job, { job: other, placement }: RecentStart): boolean {
  return (
    rankOf(other.spec.priority) > rankOf(job.spec.priority) &&
    !other.isCancelled &&
    other.spec.kind === JobKind.array &&
    placement.evictionGraceSeconds === undefined
  );
}

function canRunOn({ spec }: Job, machine: Machine): boolean {
  if (!machine.isUp || machine.isDraining) return false;
  const { machineTypes, zone, allowSpot } = spec;
  return isAllowed({ machineTypes, requiredZone: zone, allowSpot }, machine.kind);
}
