import { readFileSync } from 'node:fs';
import { XMLParser } from 'fast-xml-parser';
import * as z from 'zod';
import { seconds } from '../units/index.js';
import { DEFAULTS, maxLeaderLease, type OperatorSettings } from './operator.js';
import { SettingsError, type Settings } from './settings.js';

const span = (least: number, most: number) =>
  z
    .string()
    .regex(/^\d+(\.\d+)?$/, 'must be a number')
    .transform(Number)
    .pipe(z.number().min(least).max(most));

const File = z.strictObject({
  topazpin: z.strictObject({
    leadership: z
      .strictObject({ 'lease-s': span(1, 60).optional(), 'renew-s': span(0.2, 20).optional() })
      .optional(),
    capacity: z.strictObject({ 'idle-boots': span(0, 100).optional() }).optional(),
  }),
});

export function parseOperator(text: string): OperatorSettings {
  let xml: unknown;
  try {
    xml = new XMLParser({
      ignoreAttributes: false,
      attributeNamePrefix: '',
      parseAttributeValue: false,
      parseTagValue: false,
      ignoreDeclaration: true,
    }).parse(text, true);
  } catch (e) {
    throw new SettingsError(`operator settings: not XML: ${(e as Error).message}`);
  }
  const parsed = File.safeParse(xml);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new SettingsError(
      `operator settings: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`,
    );
  }
  const f = parsed.data.topazpin;
  const lease = f.leadership?.['lease-s'] ?? DEFAULTS.leaseS;
  const renew = f.leadership?.['renew-s'] ?? Math.min(DEFAULTS.renewS, lease / 3);
  if (renew > lease / 2) {
    throw new SettingsError(
      'operator settings: leadership.renew-s: must be at most half of lease-s',
    );
  }
  return {
    lease: seconds(lease),
    renewInterval: seconds(renew),
    idleBootTimes: f.capacity?.['idle-boots'] ?? DEFAULTS.idleBoots,
  };
}

export function readOperator(path: string): OperatorSettings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`operator settings: cannot read ${path}: ${(e as Error).message}`);
  }
  return parseOperator(text);
}

/** A cancelled task must be gone in time even if its machine only stops when its lease ends. */
export function checkTogether(s: Settings, o: OperatorSettings): void {
  if (o.lease > maxLeaderLease(s.workers)) {
    throw new SettingsError(
      'operator settings: leadership.lease-s: with params.workers.lease_s it must stay below cancel_s',
    );
  }
}
