/** What operators may set themselves. */
import { ms, seconds, upperBoundUnderDrift, type DurationMs } from '../units/index.js';

/** The operators' settings. Every value has a default, and the service runs without their file. */
export interface OperatorSettings {
  /** How long the leader's lease lasts. */
  readonly lease: DurationMs;
  /** How often the leader renews it. */
  readonly renewInterval: DurationMs;
  /** How long a cheap machine without work is kept, in its type's boot times. */
  readonly idleBootTimes: number;
}

/** The defaults, in the units of the file. */
export const DEFAULTS = { leaseSeconds: 4, renewSeconds: 1.2, idleBootTimes: 1.5 };

/** The defaults, whatever the platform's times are; `defaultsFor` respects those. */
export const defaultOperator: OperatorSettings = {
  lease: seconds(DEFAULTS.leaseSeconds),
  renewInterval: seconds(DEFAULTS.renewSeconds),
  idleBootTimes: DEFAULTS.idleBootTimes,
};

/** Time for what belongs to neither lease: heartbeats in flight, timers that fire late. */
export const CANCELLATION_MARGIN = seconds(2);
/** No lease of the leader is shorter: the store's own answers may take most of a second. */
const MIN_LEASE = seconds(1);

/** The platform's times on which the leader's lease depends. */
interface PlatformTimes {
  /** Of a worker. */
  readonly lease: DurationMs;
  readonly cancellationTime: DurationMs;
}

/**
 * How long a leader's lease may be at most. A worker that reaches no controller any more stops its tasks a worker
 * lease after its last heartbeat that was answered, and heartbeats are answered for at most a leader's lease after
 * its last renewal. No other node confirms a cancellation before that lease is over. So within both together a
 * cancelled task is gone even if its machine receives no command: they must stay below the time for a cancellation.
 */
export function maxLeaderLease({ lease, cancellationTime }: PlatformTimes): DurationMs {
  return ms(cancellationTime - upperBoundUnderDrift(lease) - CANCELLATION_MARGIN);
}

/** The defaults as far as the platform's times allow. */
export function defaultsFor(times: PlatformTimes): OperatorSettings {
  const lease = ms(Math.max(MIN_LEASE, Math.min(defaultOperator.lease, maxLeaderLease(times))));
  return {
    ...defaultOperator,
    lease,
    renewInterval: ms(Math.min(defaultOperator.renewInterval, lease / 3)),
  };
}
