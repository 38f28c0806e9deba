/** The operator's settings file (XML). */
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import * as z from 'zod';
import { errorMessage } from '../units/errors.js';
import { seconds } from '../units/index.js';
import { SettingsError, readSettingsText, toSettingsError } from './settings-error.js';
import { OPERATOR_DEFAULTS, maxLeaderLease, type OperatorSettings } from './operator-settings.js';
import type { Settings } from './settings.js';

/** The name of these settings in error messages. */
const SETTINGS_KIND = 'operator settings';

/** The schema of a number in the text of an attribute. */
const numberBetween = (min: number, max: number) =>
  z
    .string()
    .regex(/^\d+(\.\d+)?$/, 'must be a number')
    .transform(Number)
    .pipe(z.number().min(min).max(max));

const OperatorFile = z.strictObject({
  topazpin: z.strictObject({
    leadership: z
      .strictObject({
        'lease-s': numberBetween(1, 60).optional(),
        'renew-s': numberBetween(0.2, 20).optional(),
      })
      .optional(),
    capacity: z.strictObject({ 'idle-boots': numberBetween(0, 100).optional() }).optional(),
  }),
});

/** Converts elements and attributes to nested objects. Throws a `SettingsError` if the text is not well-formed XML. */
function parseXml(text: string): unknown {
  // The parser itself accepts malformed XML. Its validator is deprecated in favour of a separate package.
  // eslint-disable-next-line @typescript-eslint/no-deprecated
  const validity = XMLValidator.validate(text);
  if (validity !== true) {
    const { msg, line, col } = validity.err;
    throw new SettingsError(`${SETTINGS_KIND}: not XML: ${msg}:${line}:${col}`);
  }
  try {
    return new XMLParser({
      ignoreAttributes: false,
      attributeNamePrefix: '',
      parseAttributeValue: false,
      parseTagValue: false,
      ignoreDeclaration: true,
    }).parse(text);
  } catch (error) {
    throw new SettingsError(`${SETTINGS_KIND}: not XML: ${errorMessage(error)}`, { cause: error });
  }
}

/** Parses and validates the text of an operator's settings file. Throws a `SettingsError`. */
export function parseOperatorSettings(text: string): OperatorSettings {
  const parsed = OperatorFile.safeParse(parseXml(text));
  if (!parsed.success) throw toSettingsError(parsed.error, SETTINGS_KIND);
  const { leadership = {}, capacity = {} } = parsed.data.topazpin;
  const lease = leadership['lease-s'] ?? OPERATOR_DEFAULTS.leaseSeconds;
  const renewInterval =
    leadership['renew-s'] ?? Math.min(OPERATOR_DEFAULTS.renewSeconds, lease / 3);
  if (renewInterval > lease / 2) {
    throw new SettingsError(
      `${SETTINGS_KIND}: leadership.renew-s: must be at most half of lease-s`,
    );
  }
  return {
    lease: seconds(lease),
    renewInterval: seconds(renewInterval),
    idleTimeoutBootTimes: capacity['idle-boots'] ?? OPERATOR_DEFAULTS.idleTimeoutBootTimes,
  };
}

/** Reads and validates an operator's settings file. Throws a `SettingsError`. */
export function readOperatorSettingsFile(path: string): OperatorSettings {
  return parseOperatorSettings(readSettingsText(path, SETTINGS_KIND));
}

/**
 * Checks the leader's lease against the platform's times: a cancelled task must have ended in time even if its machine
 * stops it only when the worker's lease expires. Throws a `SettingsError`.
 */
export function checkLeaderLease(settings: Settings, operator: OperatorSettings): void {
  if (operator.lease > maxLeaderLease(settings.workers)) {
    throw new SettingsError(
      `${SETTINGS_KIND}: leadership.lease-s: with params.workers.lease_s it must stay below cancel_s`,
    );
  }
}
