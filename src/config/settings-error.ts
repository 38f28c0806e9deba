/** Reading settings files, and reporting errors in them. */
import { readFileSync } from 'node:fs';
import type * as z from 'zod';
import { errorMessage } from '../units/errors.js';

/** An error in a settings file. The message is one line that names the kind of file and the field. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Reads a file as text. Throws a `SettingsError` that names `kind` if it cannot be read. */
export function readSettingsText(path: string, kind: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${kind}: cannot read ${path}: ${errorMessage(error)}`, {
      cause: error,
    });
  }
}

/** Converts the first issue of a schema check into a `SettingsError` that names the field. */
export function toSettingsError(error: z.ZodError, kind: string): SettingsError {
  const issue = error.issues[0];
  const field = issue?.path.join('.') || 'file';
  return new SettingsError(`${kind}: ${field}: ${issue?.message ?? 'invalid'}`, { cause: error });
}
