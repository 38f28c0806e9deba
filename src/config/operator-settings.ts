/** The settings that operators can change. */
import { ms, seconds, upperBoundUnderDrift, type DurationMs } from '../units/index.js';

/** The operator's settings. Every value has a default, so the settings file is optional. */
export interface OperatorSettings {
  /** How long the leader's lease lasts. */
  readonly lease: DurationMs;
  /** How often the leader renews it. */
  readonly renewInterval: DurationMs;
  /** How long an idle spot machine is kept, in multiples of the boot time of its type. */
  readonly idleTimeoutBootTimes: number;
}

/** The defaults, in the units of the settings file. */
export const OPERATOR_DEFAULTS = { leaseSeconds: 4, renewSeconds: 1.2, idleTimeoutBootTimes: 1.5 };

/** The defaults, regardless of the platform's times; `defaultOperatorSettingsFor` takes them into account. */
export const defaultOperatorSettings: OperatorSettings = {
  lease: seconds(OPERATOR_DEFAULTS.leaseSeconds),
  renewInterval: seconds(OPERATOR_DEFAULTS.renewSeconds),
  idleTimeoutBootTimes: OPERATOR_DEFAULTS.idleTimeoutBootTimes,
};

/** Time for delays that belong to neither lease, such as heartbeats in flight and late timers. */
export const CANCELLATION_MARGIN = seconds(2);
/** The shortest lease of a leader, since a response of the store may take most of a second. */
const MIN_LEASE = seconds(1);

/** The platform's times that limit the leader's lease. */
interface PlatformTimes {
  /** The lease of a worker. */
  readonly lease: DurationMs;
  readonly cancellationTime: DurationMs;
}

/**
 * The longest lease that a leader may have. A worker that can no longer reach any controller stops its tasks one worker
 * lease after the last heartbeat that received a response. A leader responds to heartbeats for at most one leader lease
 * after its last renewal, and no other controller confirms a cancellation before that lease has expired. A cancelled
 * task has therefore ended within both leases together, even if its machine receives no command. Their sum must stay
 * below the time limit for a cancellation.
 */
export function maxLeaderLease({ lease, cancellationTime }: PlatformTimes): DurationMs {
  return ms(cancellationTime - upperBoundUnderDrift(lease) - CANCELLATION_MARGIN);
}

/** The defaults, with the leader's lease shortened where the platform's times require it. */
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
