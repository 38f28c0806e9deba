import { ms, seconds, stretched, type DurationMs } from '../units/index.js';

/**
 * What operators may set themselves, in an XML file. Every value has a default, and the service
 * runs without the file.
 */
export interface OperatorSettings {
  readonly lease: DurationMs;
  readonly renew: DurationMs;
  /** How long a cheap machine without work is kept, in its type's boot times. */
  readonly idleBoots: number;
}

export const DEFAULTS = { leaseS: 4, renewS: 1.2, idleBoots: 1.5 };

export const defaultOperator: OperatorSettings = {
  lease: seconds(DEFAULTS.leaseS),
  renew: seconds(DEFAULTS.renewS),
  idleBoots: DEFAULTS.idleBoots,
};

/** Room for what is neither lease: reports under way, timers that fire late. */
export const SLACK = seconds(2);
/** No lease of the leader is shorter: the store's own answers may take most of a second. */
const LEAST_LEASE = seconds(1);

/**
 * How long a leader's lease may be at most. A worker that hears from nobody any more stops its tasks a
 * worker lease after the last report that was answered, and reports are answered for at most a leader's
 * lease after its last renewal. Nobody else confirms a cancellation before that lease is over. So within
 * both together a cancelled task is gone even if nothing can be told to its machine: they must stay
 * below the time for a cancellation.
 */
export function longestLease(times: {
  readonly lease: DurationMs;
  readonly cancel: DurationMs;
}): DurationMs {
  return ms(times.cancel - stretched(times.lease) - SLACK);
}

/** The defaults as far as the platform's times allow. */
export function defaultsFor(times: {
  readonly lease: DurationMs;
  readonly cancel: DurationMs;
}): OperatorSettings {
  const lease = ms(Math.max(LEAST_LEASE, Math.min(defaultOperator.lease, longestLease(times))));
  return { ...defaultOperator, lease, renew: ms(Math.min(defaultOperator.renew, lease / 3)) };
}
