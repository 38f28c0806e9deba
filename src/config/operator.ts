import { ms, seconds, stretched, type DurationMs } from '../units/index.js';

/**
 * What operators may set themselves, in an XML file. Every value has a default, and the service
 * runs without the file.
 */
export interface OperatorSettings {
  readonly lease: DurationMs;
  readonly renewInterval: DurationMs;
  /** How long a cheap machine without work is kept, in its type's boot times. */
  readonly idleBootTimes: number;
}

export const DEFAULTS = { leaseS: 4, renewS: 1.2, idleBoots: 1.5 };

export const defaultOperator: OperatorSettings = {
  lease: seconds(DEFAULTS.leaseS),
  renewInterval: seconds(DEFAULTS.renewS),
  idleBootTimes: DEFAULTS.idleBoots,
};

/** Room for what is neither lease: reports under way, timers that fire late. */
export const LEASE_MARGIN = seconds(2);
/** No lease of the leader is shorter: the store's own answers may take most of a second. */
const MIN_LEASE = seconds(1);

/**
 * How long a leader's lease may be at most. A worker that hears from nobody any more stops its tasks a
 * worker lease after the last report that was answered, and reports are answered for at most a leader's
 * lease after its last renewal. Nobody else confirms a cancellation before that lease is over. So within
 * both together a cancelled task is gone even if nothing can be told to its machine: they must stay
 * below the time for a cancellation.
 */
export function maxLeaderLease(times: {
  readonly lease: DurationMs;
  readonly cancellationTime: DurationMs;
}): DurationMs {
  return ms(times.cancellationTime - stretched(times.lease) - LEASE_MARGIN);
}

/** The defaults as far as the platform's times allow. */
export function defaultsFor(times: {
  readonly lease: DurationMs;
  readonly cancellationTime: DurationMs;
}): OperatorSettings {
  const lease = ms(Math.max(MIN_LEASE, Math.min(defaultOperator.lease, maxLeaderLease(times))));
  return {
    ...defaultOperator,
    lease,
    renewInterval: ms(Math.min(defaultOperator.renewInterval, lease / 3)),
  };
}
