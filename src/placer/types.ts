/** What the placer is asked: jobs with waiting tasks, machines with room, limits. */
import type { Resources } from '../fleet/resources.js';
import type { JobId, MachineId } from '../units/index.js';

export interface CandidateMachine {
  readonly id: MachineId;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  readonly free: Resources;
  /** What a processor of it costs an hour. */
  readonly pricePerCpu: number;
  readonly fetchGbPerSecond: number;
  readonly hasImage: (image: string) => boolean;
  /** Images under way to it. */
  readonly imagesBeingFetched: ReadonlySet<string>;
}

export interface TaskRequest {
  readonly id: JobId;
  readonly team: string;
  readonly resources: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** The allowed machine types and the only allowed zone; null: any. */
  readonly machineTypes: readonly string[] | null;
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  readonly singleZone: boolean;
  /** The zone that a job kept together is bound to. */
  readonly boundZone: string | undefined;
  /** The most of its tasks that may be in one zone. */
  readonly maxPerZone: number;
  /** Its tasks that may be on machines, by zone. */
  readonly placedByZone: ReadonlyMap<string, number>;
  /** The waiting tasks that may be placed now, lowest index first. */
  readonly waitingIndexes: Iterable<number>;
  /** All of its waiting tasks are placed at once, or none. */
  readonly isGang: boolean;
  /** How many tasks wait in all. */
  readonly taskCount: number;
  /** Machines it must not go to. */
  readonly avoidedMachines: ReadonlySet<MachineId>;
  /** Too urgent to be held to the reserve. */
  readonly isUrgent: boolean;
  /** Room is kept for jobs of its class: it may use what is kept for its image. */
  readonly usesReserve: boolean;
  /** None of its tasks is anywhere, and it has waited for long: its first may go where room is kept. */
  readonly mustStart: boolean;
  /** Its place among all: wants come in this order, and equal ones are alike in urgency. */
  readonly rank: number;
}

/**
 * Room kept for urgent work to come, by image: on the machines that hold the image, less urgent
 * tasks leave so many processors free, so that an urgent one starts without waiting or fetching.
 */
export type ImageReserve = ReadonlyMap<string, number>;

export interface RemainingQuota {
  cpus: number;
  gpus: number;
}

export interface Assignment {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}
