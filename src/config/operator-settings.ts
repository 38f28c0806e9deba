/** What operators may set themselves. */
import { ms, seconds, upperBoundUnderDrift, type DurationMs } from '../units/index.js';

/** The operators' settings. Every value has a default, and the service runs without their file. */
export interface OperatorSettings {
  /** How long the leader's lease lasts. */
  readonly lease: DurationMs;
  /** How often the leader renews it. */
  readonly renewInterval: DurationMs;
  /** How long a cheap machine without work is kept, in its type's boot times. */
  readonly idleTimeoutBootTimes: number;
}

/** The defaults, in the units of the file. */
export const OPERATOR_DEFAULTS = { leaseSeconds: 4, renewSeconds: 1.2, idleTimeoutBootTimes: 1.5 };

/** The defaults, whatever the platform's times are; `defaultsFor` respects those. */
export const defaultOperatorSettings: OperatorSettings = {
  lease: seconds(OPERATOR_DEFAULTS.leaseSeconds),
  renewInterval: seconds(OPERATOR_DEFAULTS.renewSeconds),
  idleTimeoutBootTimes: OPERATOR_DEFAULTS.idleTimeoutBootTimes,
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
export function defaultOperatorSettingsFor(times: PlatformTimes): OperatorSettings {
  const lease = ms(
    Math.max(MIN_LEASE, Math.min(defaultOperatorSettings.lease, maxLeaderLease(times))),
  );
  return {
    ...defaultOperatorSettings,
    lease,
    renewInterval: ms(Math.min(defaultOperatorSettings.renewInterval, lease / 3)),
  };
}
