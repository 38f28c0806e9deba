/** What the files of settings have in common: how they are read, and how an error in one is stated. */
import { readFileSync } from 'node:fs';
import type * as z from 'zod';
import { errorMessage } from '../units/errors.js';

/** What is wrong with settings, in one line that names the file's kind and the field. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** The text of a file; `kind` names the kind of settings in the `SettingsError` if it cannot be read. */
export function readSettingsText(path: string, kind: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${kind}: cannot read ${path}: ${errorMessage(error)}`, {
      cause: error,
    });
  }
}

/** The first issue that a schema found, as a `SettingsError` that names the field. */
export function toSettingsError(error: z.ZodError, kind: string): SettingsError {
  const issue = error.issues[0];
  const field = issue?.path.join('.') || 'file';
  return new SettingsError(`${kind}: ${field}: ${issue?.message ?? 'invalid'}`, { cause: error });
}
