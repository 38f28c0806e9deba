/** Types of the scale-out planner: demand, capacity, offers and planned machines. */
import type { Resources } from '../fleet/resources.js';
import { ms, type DurationMs } from '../units/index.js';

/** What can be rented: a machine type in a zone, as a spot or on-demand machine. */
export interface Offer {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The key of an offer in maps and sets. */
export const offerKey = (offer: Offer): string =>
  `${offer.machineType}|${offer.zone}|${offer.spot ? 'spot' : 'plain'}`;

/** Waiting tasks of one job, or tasks of an anticipated job. */
export interface Demand {
  /** The resources of one task. */
  readonly resources: Resources;
  readonly taskCount: number;
  /** The allowed machine types and the only allowed zone; null means any. */
  readonly machineTypes: readonly string[] | null;
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  /** Whether the tasks run only all at once. */
  readonly isGang: boolean;
  /** Whether all tasks of a gang must be in one zone. */
  readonly singleZone: boolean;
  /** Whether at most half of a gang, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** How long a task is expected to run. */
  readonly expectedRuntime: DurationMs;
  /** No machine is rented for a task that would wait no longer than this. */
  readonly acceptableWait: DurationMs;
  /**
   * A task that would wait longer than this would be late. Only for late tasks are on-demand machines rented
   * in addition to spot machines, at a multiple of the price. `UNLIMITED_WAIT` if no wait is too long.
   */
  readonly maxWait: DurationMs;
}

/** The `acceptableWait` or `maxWait` of tasks that should not wait at all. */
export const NO_WAIT = ms(0);
/** The `maxWait` of tasks for which no on-demand machine is rented, however long they wait. */
export const UNLIMITED_WAIT = ms(Infinity);

/** Unused resources of a machine that is up, or all resources of a booting machine. */
export interface AvailableCapacity extends Offer {
  readonly free: Resources;
}

/** The tasks that run on the machines of one offer, and how soon these tasks free resources for waiting ones. */
export interface BusyCapacity extends Offer {
  /** The resources of one machine. */
  readonly capacity: Resources;
  /** CPUs in use by tasks whose resources any waiting task may use afterwards. */
  readonly busyCpus: number;
  /** The mean runtime of those tasks, weighted by CPUs. */
  readonly meanRuntime: DurationMs;
}

/** How many machines of an offer to rent. */
export interface PlannedScaleOut extends Offer {
  readonly count: number;
}
