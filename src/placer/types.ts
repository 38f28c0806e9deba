/** Input and output of the placer: waiting tasks, machines with free capacity, quotas, assignments. */
import type { Resources } from '../fleet/resources.js';
import type { JobId, MachineId } from '../units/index.js';

/** A machine that may take tasks in this placing round. */
export interface CandidateMachine {
  readonly id: MachineId;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** All that the machine has. */
  readonly capacity: Resources;
  /** What is left of it beside the tasks that are, or may be, on the machine. */
  readonly free: Resources;
  /** Price of one processor for an hour. */
  readonly pricePerCpu: number;
  /** Rate at which the machine fetches images, in GB per second. */
  readonly fetchGbPerSecond: number;
  /** Whether the image is in the machine's cache. */
  readonly hasImage: (image: string) => boolean;
  /** Images that the machine is fetching. */
  readonly imagesBeingFetched: ReadonlySet<string>;
}

/** The waiting tasks of one job, which are all alike, and the constraints on where they may run. */
export interface TaskRequest {
  readonly id: JobId;
  readonly team: string;
  /** What one task takes. */
  readonly resources: Resources;
  readonly image: string;
  readonly imageSizeGb: number;
  /** The allowed machine types; null: any. */
  readonly machineTypes: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  /** All tasks of the job must be in the same zone. */
  readonly singleZone: boolean;
  /** The zone that a job with `singleZone` already has tasks in; undefined if none is placed. */
  readonly boundZone: string | undefined;
  /** The most tasks of the job that may be in one zone. */
  readonly maxPerZone: number;
  /** Tasks of the job that may be on machines already, by zone. */
  readonly placedByZone: ReadonlyMap<string, number>;
  /** The waiting tasks that may be placed now, lowest index first. Iterated once at most. */
  readonly waitingIndexes: Iterable<number>;
  /** All of the waiting tasks are placed at once, or none. */
  readonly isGang: boolean;
  /** How many tasks are to be placed in all. */
  readonly taskCount: number;
  /** Machines that the job must not use, since its tasks failed there. */
  readonly avoidedMachines: ReadonlySet<MachineId>;
  /** Urgent tasks may use the capacity that is kept free by `ImageReserve`. */
  readonly isUrgent: boolean;
  /** The reserve is kept for jobs of this class: it may use that of its own image. */
  readonly canUseReserve: boolean;
  /**
   * The job has waited for long and none of its tasks is placed: its first task, or all of a gang, may use the
   * reserve, and machines under a soft reservation.
   */
  readonly mustStart: boolean;
  /** Priority in the queue, lowest first. Negative: the job is starved, and its reservations are hard. */
  readonly rank: number;
}

/**
 * Processors to keep free for anticipated urgent work, by image. They count on machines that hold the image:
 * less urgent tasks leave them free, so that an urgent one starts without waiting or fetching.
 */
export type ImageReserve = ReadonlyMap<string, number>;

/** What a team may still start under its quota. The placer subtracts what it places. */
export interface RemainingQuota {
  cpus: number;
  gpus: number;
}

/** The state of the cluster at the beginning of a placing round. */
export interface PlacementInput {
  /** Jobs with waiting tasks, in queue order. */
  readonly requests: readonly TaskRequest[];
  readonly machines: readonly CandidateMachine[];
  /** By team; a team without an entry has no limit. The values are reduced by what is placed. */
  readonly quotas: ReadonlyMap<string, RemainingQuota>;
  /** Tasks of arrays are placed up to this number; a gang that is reached before it is placed whole. */
  readonly maxAssignments: number;
  readonly reserve?: ImageReserve;
}

/** A decision of the placer: the task of that job and index goes to the machine. */
export interface Assignment {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}
