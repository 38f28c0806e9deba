/** What the placer is asked: jobs with waiting tasks, machines with room, limits. */
import type { Size } from '../fleet/size.js';
import type { JobId, MachineId } from '../units/index.js';

export interface Host {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Size;
  readonly free: Size;
  /** What a processor of it costs an hour. */
  readonly rate: number;
  readonly fetchGbPerS: number;
  readonly holds: (image: string) => boolean;
  /** Images under way to it. */
  readonly fetching: ReadonlySet<string>;
}

export interface Want {
  readonly id: JobId;
  readonly team: string;
  readonly size: Size;
  readonly image: string;
  readonly imageGb: number;
  /** The allowed machine types and the only allowed zone; null: any. */
  readonly types: readonly string[] | null;
  readonly onlyZone: string | null;
  readonly spot: boolean;
  readonly together: boolean;
  /** The zone that a job kept together is bound to. */
  readonly zone: string | undefined;
  /** The most of its tasks that may be in one zone. */
  readonly perZone: number;
  /** Its tasks that may be on machines, by zone. */
  readonly inZone: ReadonlyMap<string, number>;
  /** The waiting tasks that may be placed now, lowest index first. */
  readonly indexes: Iterable<number>;
  /** All of its waiting tasks are placed at once, or none. */
  readonly whole: boolean;
  /** How many tasks wait in all. */
  readonly count: number;
  /** Machines it must not go to. */
  readonly avoid: ReadonlySet<MachineId>;
  /** Too urgent to be held to the reserve. */
  readonly urgent: boolean;
  /** Room is kept for jobs of its class: it may use what is kept for its image. */
  readonly isExpected: boolean;
  /** None of its tasks is anywhere, and it has waited for long: its first may go where room is kept. */
  readonly mustBegin: boolean;
  /** Its place among all: wants come in this order, and equal ones are alike in urgency. */
  readonly rank: number;
}

/**
 * Room kept for urgent work to come, by image: on the machines that hold the image, less urgent
 * tasks leave so many processors free, so that an urgent one starts without waiting or fetching.
 */
export type Reserve = ReadonlyMap<string, number>;

export interface TeamRoom {
  cpus: number;
  gpus: number;
}

export interface Assignment {
  readonly job: JobId;
  readonly index: number;
  readonly machine: MachineId;
}
