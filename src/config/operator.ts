import { seconds, type DurationMs } from '../units/index.js';

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
