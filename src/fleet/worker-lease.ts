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
 * @param latestRenewal a time at or after the last renewal of the lease, for example when the heartbeat arrived: the
 *   worker renews the lease from the earlier time at which it sent the heartbeat
 * @param lease the length of the lease
 */
export const workerLeaseEnd = (latestRenewal: SteadyMs, lease: DurationMs): SteadyMs =>
  addDuration(latestRenewal, ms(upperBoundUnderDrift(lease) + WORKER_TIMER_MARGIN));
