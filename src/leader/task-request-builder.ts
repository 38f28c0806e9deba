/** Describes the waiting tasks of a job to the placer: how many may start now, and where. */
import { taskResources } from '../fleet/resources.js';
import type { Job } from '../ledger/job.js';
import { isUrgent, type QueueEntry } from '../ledger/queue-order.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { TaskRequest } from '../placer/placer.js';
import { parseTaskKey, taskKey, type MachineId, type SteadyMs } from '../units/index.js';
import type { DemandForecast } from './demand-forecast.js';
import type { PlacementIndex } from './placement-index.js';

/** The zone of machines of which only a record is known, until they are listed or report. */
const UNKNOWN_ZONE = '';

interface PlaceableLimits {
  /** How many tasks to yield at most. */
  readonly maxTasks: number;
  /** How many tasks above the highest open one may be opened, so that the record of the job fits the store. */
  readonly maxNewlyOpened: number;
  /** The job has a constraint on the zones of its tasks. */
  readonly hasZoneRule: boolean;
}

/** Builds the placer's requests from queue entries. */
export class TaskRequestBuilder {
  constructor(
    private readonly placements: PlacementIndex,
    private readonly recordLimits: RecordLimits,
    private readonly anticipatedWork: DemandForecast,
  ) {}

  /** The request for the waiting tasks of one job. Its `waitingIndexes` can be iterated once. */
  build({ job, rank, taskCount, mustStart }: QueueEntry, now: SteadyMs): TaskRequest {
    const { spec } = job;
    const hasZoneRule = spec.singleZone || spec.spreadZones;
    const placedByZone = hasZoneRule ? this.placedByZone(job) : new Map<string, number>();
    const hasPlacements = job.placements.size > 0;
    // The next attempt of a gang begins only when the one before is gone.
    const isGangHeld = job.isGang && hasPlacements;
    const count = job.isGang ? job.waiting.size : taskCount;
    const limits = { maxTasks: count, maxNewlyOpened: this.maxNewlyOpened(job), hasZoneRule };
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
      // While none of its tasks may be on a machine, the job is free to start in another zone.
      boundZone: hasPlacements ? (job.boundZone ?? UNKNOWN_ZONE) : undefined,
      maxPerZone: maxPerZone(job, placedByZone),
      placedByZone,
      waitingIndexes: isGangHeld ? [] : this.placeableTasks(job, limits),
      taskCount: isGangHeld ? 0 : count,
      isGang: job.isGang,
      avoidedMachines: machinesToAvoid(job, now),
      isUrgent: isUrgent(spec.priority) || rank < 0,
      usesReserve: this.anticipatedWork.isAnticipated(spec),
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

  private maxNewlyOpened(job: Job): number {
    const maxOpen = this.recordLimits.openTasks(job.spec, this.placements.fleet.longestOtherName);
    return Math.max(0, maxOpen - job.openTaskCount);
  }

  /**
   * The waiting tasks that may start now. Tasks with an orphaned attempt are left out: it may still be on some machine.
   * Whether there is one is looked up as the placer iterates, so nothing is done for a job that it does not reach.
   */
  private *placeableTasks(
    job: Job,
    { maxTasks, maxNewlyOpened, hasZoneRule }: PlaceableLimits,
  ): IterableIterator<number> {
    const { fleet } = this.placements;
    const tail = job.waiting.last();
    const tailStart = tail?.[1] === job.spec.taskCount ? tail[0] : Infinity;
    // An orphaned attempt counts for the zones too, but its zone is not known here; it is gone soon.
    if (hasZoneRule && this.hasOrphanedTask(job)) return;
    let tasksLeft = maxTasks;
    let newlyOpenedLeft = maxNewlyOpened;
    for (const index of job.waiting.indexes()) {
      if (tasksLeft <= 0) return;
      if (fleet.isOrphaned(taskKey(job.id, index))) continue;
      // Only tasks of the tail, of which none was ever placed, make the record grow; the others are counted already.
      if (index >= tailStart && newlyOpenedLeft-- <= 0) return;
      tasksLeft--;
      yield index;
    }
  }

  private hasOrphanedTask(job: Job): boolean {
    const keys = [...this.placements.fleet.orphanedTasks.keys()];
    return keys.some((key) => parseTaskKey(key)?.job === job.id);
  }
}

/** Tasks on machines whose zone is not known yet may be in any zone, so they count against each. */
function maxPerZone({ spec }: Job, placedByZone: ReadonlyMap<string, number>): number {
  if (!spec.spreadZones) return Infinity;
  return Math.ceil(spec.taskCount / 2) - (placedByZone.get(UNKNOWN_ZONE) ?? 0);
}

function machinesToAvoid(job: Job, now: SteadyMs): Set<MachineId> {
  const current = [...job.avoidedMachines].filter(([, until]) => until > now);
  return new Set(current.map(([id]) => id));
}
