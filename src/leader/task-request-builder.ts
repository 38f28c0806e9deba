/** Describes the waiting tasks of a job to the placer: how many may start now, and where. */
import { taskResources } from '../fleet/resources.js';
import type { Job } from '../ledger/job.js';
import { isUrgent, type QueueEntry } from '../ledger/placement-order.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { TaskRequest } from '../placer/placer.js';
import { parseTaskKey, taskKey, type MachineId, type SteadyMs } from '../units/index.js';
import type { DemandForecast } from './demand-forecast.js';
import type { PlacementIndex } from './placement-index.js';

/** Stands for the zone of a machine known only from a record, until the cloud lists it or it sends a heartbeat. */
const UNKNOWN_ZONE = '';

interface PlaceableTaskLimits {
  /** Maximum number of tasks to yield. */
  readonly maxTasks: number;
  /** Maximum number of never-placed tasks to open, so that the job's record stays within the store's size limit. */
  readonly maxNewOpenTasks: number;
  /** Whether the job has a constraint on the zones of its tasks. */
  readonly hasZoneConstraint: boolean;
}

/** Builds the placer's requests from queue entries. */
export class TaskRequestBuilder {
  constructor(
    private readonly placements: PlacementIndex,
    private readonly recordLimits: RecordLimits,
    private readonly demandForecast: DemandForecast,
  ) {}

  /** Builds the request for the waiting tasks of one job. Its `waitingIndexes` can be iterated only once. */
  build({ job, rank, taskCount, mustStart }: QueueEntry, now: SteadyMs): TaskRequest {
    const { spec } = job;
    const hasZoneConstraint = spec.singleZone || spec.spreadZones;
    const placedByZone = hasZoneConstraint ? this.placedByZone(job) : new Map<string, number>();
    const hasPlacements = job.placements.size > 0;
    // The next attempt of a gang is placed only when no task of the previous one can be on a machine.
    const isGangBlocked = job.isGang && hasPlacements;
    const count = job.isGang ? job.waitingTasks.size : taskCount;
    const limits = {
      maxTasks: count,
      maxNewOpenTasks: this.maxNewOpenTasks(job),
      hasZoneConstraint,
    };
    return {
      id: job.id,
      team: spec.team,
      resources: taskResources(spec),
      image: spec.image,
      imageSizeGb: spec.imageSizeGb,
      machineTypes: spec.machineTypes,
      requiredZone: spec.zone,
      allowSpot: spec.allowSpot,
      singleZone: spec.singleZone,
      // A job may start in another zone only while none of its tasks can be on a machine.
      boundZone: hasPlacements ? (job.boundZone ?? UNKNOWN_ZONE) : undefined,
      maxPerZone: maxPerZone(job, placedByZone),
      placedByZone,
      waitingIndexes: isGangBlocked ? [] : this.placeableTasks(job, limits),
      taskCount: isGangBlocked ? 0 : count,
      isGang: job.isGang,
      avoidedMachines: machinesToAvoid(job, now),
      isUrgent: isUrgent(spec.priority) || rank < 0,
      canUseReserve: this.demandForecast.isAnticipated(spec),
      rank,
      mustStart,
    };
  }

  private placedByZone(job: Job): Map<string, number> {
    const { machines } = this.placements.fleet;
    const counts = new Map<string, number>();
    for (const placement of job.placements.values()) {
      const zone = machines.get(placement.machine)?.kind.zone ?? UNKNOWN_ZONE;
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }

  private maxNewOpenTasks(job: Job): number {
    const maxOpen = this.recordLimits.maxOpenTasks(
      job.spec,
      this.placements.fleet.longestUnnumberedNameLength,
    );
    return Math.max(0, maxOpen - job.openTaskCount);
  }

  /**
   * Yields the waiting tasks that may start now. Tasks with an orphaned attempt are omitted, because the attempt may
   * still be on some machine. The lookup happens as the placer iterates, so jobs that the placer doesn't reach cost
   * nothing.
   */
  private *placeableTasks(
    job: Job,
    { maxTasks, maxNewOpenTasks, hasZoneConstraint }: PlaceableTaskLimits,
  ): IterableIterator<number> {
    const { fleet } = this.placements;
    const lastRange = job.waitingTasks.lastRange();
    const neverPlacedStart = lastRange?.[1] === job.spec.taskCount ? lastRange[0] : Infinity;
    // An orphaned attempt counts toward the zone constraint too, but its zone is unknown here. It will soon be gone.
    if (hasZoneConstraint && this.hasOrphanedTask(job)) return;
    let tasksLeft = maxTasks;
    let newOpenTasksLeft = maxNewOpenTasks;
    for (const index of job.waitingTasks.indexes()) {
      if (tasksLeft <= 0) return;
      if (fleet.isOrphaned(taskKey(job.id, index))) continue;
      // Only tasks of the last range, none of which was ever placed, make the record grow. The others are already
      // counted.
      if (index >= neverPlacedStart && newOpenTasksLeft-- <= 0) return;
      tasksLeft--;
      yield index;
    }
  }

  private hasOrphanedTask(job: Job): boolean {
    const keys = [...this.placements.fleet.orphanedTasks.keys()];
    return keys.some((key) => parseTaskKey(key)?.job === job.id);
  }
}

/** Tasks on machines whose zone is still unknown may be in any zone, so they count against the limit of each. */
function maxPerZone({ spec }: Job, placedByZone: ReadonlyMap<string, number>): number {
  if (!spec.spreadZones) return Infinity;
  return Math.ceil(spec.taskCount / 2) - (placedByZone.get(UNKNOWN_ZONE) ?? 0);
}

function machinesToAvoid(job: Job, now: SteadyMs): Set<MachineId> {
  const current = [...job.avoidedMachines].filter(([, until]) => until > now);
  return new Set(current.map(([id]) => id));
}
