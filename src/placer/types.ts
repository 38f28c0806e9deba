/** Input and output of the placer: waiting tasks, machines with free capacity, quotas and assignments. */
import type { Resources } from '../fleet/resources.js';
import type { JobId, MachineId } from '../units/index.js';

/** A machine that may take tasks in this placement round. */
export interface CandidateMachine {
  readonly id: MachineId;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The total resources of the machine. */
  readonly capacity: Resources;
  /** The resources not taken by tasks that are, or may be, on the machine. */
  readonly free: Resources;
  /** Price of one CPU for an hour. */
  readonly pricePerCpu: number;
  /** Rate at which the machine fetches images, in GB per second. */
  readonly fetchGbPerSecond: number;
  /** Whether the image is in the machine's cache. */
  readonly hasImage: (image: string) => boolean;
  /** Images that the machine is fetching. */
  readonly imagesBeingFetched: ReadonlySet<string>;
}

/** The waiting tasks of one job, which all need the same resources, and the constraints on where they may run. */
export interface TaskRequest {
  readonly id: JobId;
  readonly team: string;
  /** The resources of one task. */
  readonly resources: Resources;
  readonly image: string;
  readonly imageSizeGb: number;
  /** The allowed machine types; null means any. */
  readonly machineTypes: readonly string[] | null;
  /** The only allowed zone; null means any. */
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  /** Whether all tasks of the job must be in the same zone. */
  readonly singleZone: boolean;
  /** The zone in which a job with `singleZone` already has tasks; undefined if none is placed. */
  readonly boundZone: string | undefined;
  /** The maximum number of tasks of the job in one zone. */
  readonly maxPerZone: number;
  /** Number of tasks of the job that may already be on machines, by zone. */
  readonly placedByZone: ReadonlyMap<string, number>;
  /** The waiting tasks that may be placed now, lowest index first. Iterated at most once. */
  readonly waitingIndexes: Iterable<number>;
  /** Whether all waiting tasks must be placed at once. */
  readonly isGang: boolean;
  /** The number of tasks to place. */
  readonly taskCount: number;
  /** Machines that the job must not use because its tasks failed there. */
  readonly avoidedMachines: ReadonlySet<MachineId>;
  /** Whether the tasks may use the capacity that `ImageReserve` keeps free. */
  readonly isUrgent: boolean;
  /** Whether the reserve is kept for jobs of this kind; if so, the job may use the reserve of its own image. */
  readonly canUseReserve: boolean;
  /**
   * Whether the job has waited for long without any placed task. Its first task, or the whole gang, may then use
   * the reserve and machines with a soft reservation.
   */
  readonly mustStart: boolean;
  /** Rank in the queue; the lowest is placed first. Negative if the job is starved; its reservations are then hard. */
  readonly rank: number;
}

/**
 * CPUs to keep free for anticipated urgent work, by image. Only CPUs on machines that hold the image count. Less
 * urgent tasks leave them free, so that an urgent task starts without waiting or fetching the image.
 */
export type ImageReserve = ReadonlyMap<string, number>;

/** The resources that a team may still use under its quota. The placer subtracts what it places. */
export interface RemainingQuota {
  cpus: number;
  gpus: number;
}

/** The state of the cluster at the beginning of a placement round. */
export interface PlacementInput {
  /** Jobs with waiting tasks, in queue order. */
  readonly requests: readonly TaskRequest[];
  readonly machines: readonly CandidateMachine[];
  /** By team; a team without an entry has no limit. Placements are subtracted from the values. */
  readonly quotas: ReadonlyMap<string, RemainingQuota>;
  /** The round ends once this number of tasks has been placed. Only a gang may exceed it, since it is placed whole. */
  readonly maxAssignments: number;
  readonly reserve?: ImageReserve;
}

/** A decision of the placer: the task of `job` with `index` goes to `machine`. */
export interface Assignment {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}
