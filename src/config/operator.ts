import { seconds, type DurationMs } from '../units/index.js';

/**
 * What operators may set themselves, in an XML file. Every value has a default, and the service
 * runs without the file.
 */
export interface OperatorSettings {
  readonly lease: DurationMs;
  readonly renew: DurationMs;
  readonly idle: DurationMs;
}

export const DEFAULTS = { leaseS: 4, renewS: 1.2, idleS: 20 };

export const defaultOperator: OperatorSettings = {
  lease: seconds(DEFAULTS.leaseS),
  renew: seconds(DEFAULTS.renewS),
  idle: seconds(DEFAULTS.idleS),
};
