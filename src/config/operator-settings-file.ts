/** The operators' settings file (XML). */
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import * as z from 'zod';
import { errorMessage } from '../units/errors.js';
import { seconds } from '../units/index.js';
import { SettingsError, readSettingsText, toSettingsError } from './settings-error.js';
import { OPERATOR_DEFAULTS, maxLeaderLease, type OperatorSettings } from './operator-settings.js';
import type { Settings } from './settings.js';

/** How these settings are named in errors. */
const KIND = 'operator settings';

/** A number as the text of an attribute. */
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

/** Elements and attributes as nested objects. Throws a `SettingsError` on anything that is not well-formed. */
function parseXml(text: string): unknown {
  // The parser itself accepts malformed XML. Its validator is deprecated in favour of a package of its own.
  // eslint-disable-next-line @typescript-eslint/no-deprecated
  const validity = XMLValidator.validate(text);
  if (validity !== true) {
    const { msg, line, col } = validity.err;
    throw new SettingsError(`${KIND}: not XML: ${msg}:${line}:${col}`);
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
    throw new SettingsError(`${KIND}: not XML: ${errorMessage(error)}`, { cause: error });
  }
}

/** Checks the text of an operators' file. Throws a `SettingsError`. */
export function parseOperatorSettings(text: string): OperatorSettings {
  const parsed = OperatorFile.safeParse(parseXml(text));
  if (!parsed.success) throw toSettingsError(parsed.error, KIND);
  const { leadership = {}, capacity = {} } = parsed.data.topazpin;
  const lease = leadership['lease-s'] ?? OPERATOR_DEFAULTS.leaseSeconds;
  const renewInterval =
    leadership['renew-s'] ?? Math.min(OPERATOR_DEFAULTS.renewSeconds, lease / 3);
  if (renewInterval > lease / 2) {
    throw new SettingsError(`${KIND}: leadership.renew-s: must be at most half of lease-s`);
  }
  return {
    lease: seconds(lease),
    renewInterval: seconds(renewInterval),
    idleTimeoutBootTimes: capacity['idle-boots'] ?? OPERATOR_DEFAULTS.idleTimeoutBootTimes,
  };
}

/** Reads an operators' file. Throws a `SettingsError`. */
export function readOperatorSettingsFile(path: string): OperatorSettings {
  return parseOperatorSettings(readSettingsText(path, KIND));
}

/**
 * Checks the leader's lease against the platform's times: a cancelled task must be gone in time even if its machine
 * only stops it when the worker's lease ends. Throws a `SettingsError`.
 */
export function checkLeaderLease(settings: Settings, operator: OperatorSettings): void {
  if (operator.lease > maxLeaderLease(settings.workers)) {
    throw new SettingsError(
      `${KIND}: leadership.lease-s: with params.workers.lease_s it must stay below cancel_s`,
    );
  }
}
