/** What the scale-out planner works with: demand, capacity, offers and the machines it plans. */
import type { Resources } from '../fleet/resources.js';
import { ms, type DurationMs } from '../units/index.js';

/** What can be rented: a machine type in a zone, as a spot or an on-demand machine. */
export interface Offer {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The key of an offer in maps and sets. */
export const offerKey = (offer: Offer): string =>
  `${offer.machineType}|${offer.zone}|${offer.spot ? 'spot' : 'plain'}`;

/** Waiting tasks of one job, or tasks of an anticipated one. */
export interface Demand {
  /** What one task takes. */
  readonly resources: Resources;
  readonly taskCount: number;
  /** The allowed machine types and the only allowed zone; null: any. */
  readonly machineTypes: readonly string[] | null;
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  /** All of its tasks run at once or none does. */
  readonly isGang: boolean;
  /** All tasks of a gang must be in one zone. */
  readonly singleZone: boolean;
  /** At most half of a gang, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** How long a task is expected to run. */
  readonly expectedRuntime: DurationMs;
  /** No machine is rented for a task that would wait no longer than this. */
  readonly acceptableWait: DurationMs;
  /**
   * A task that would wait longer than this would be late: for such tasks alone, on-demand machines are
   * rented beside spot ones, at a multiple of the price. `NEVER` if no wait is too long.
   */
  readonly maxWait: DurationMs;
}

/** The `acceptableWait` or `maxWait` of tasks that should not wait at all. */
export const NO_WAIT = ms(0);
/** The `maxWait` of tasks that are not worth an on-demand machine however long they wait. */
export const UNLIMITED_WAIT = ms(Infinity);

/** Unused resources of a machine that is up, or all resources of one that boots. */
export interface AvailableCapacity extends Offer {
  readonly free: Resources;
}

/** The machines of one offer that run tasks, and how soon these make place for waiting ones. */
export interface Turnover extends Offer {
  /** The resources of one machine. */
  readonly capacity: Resources;
  /** CPUs in use by tasks whose place any waiting task may take afterwards. */
  readonly busyCpus: number;
  /** The mean runtime of those tasks, weighted by CPUs. */
  readonly meanRuntime: DurationMs;
}

/** How many machines of an offer to rent. */
export interface PlannedScaleOut extends Offer {
  readonly count: number;
}
