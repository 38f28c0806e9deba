/** Computes on the leader's clock when a worker's lease has certainly expired. */
import {
  addDuration,
  ms,
  upperBoundUnderDrift,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';

/** Added to the lease, beyond clock drift, for imprecise timers of the worker. */
const WORKER_TIMER_MARGIN = ms(500);

/**
 * The time by which a worker's lease has expired on every clock.
 *
 * @param from when the last heartbeat that renewed the lease arrived, which is after the worker sent it
 * @param lease the length of the lease
 */
export const workerLeaseEnd = (from: SteadyMs, lease: DurationMs): SteadyMs =>
  addDuration(from, ms(upperBoundUnderDrift(lease) + WORKER_TIMER_MARGIN));
