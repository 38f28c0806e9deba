/** Describes thrown values, which need not be `Error` objects. */

/** Returns the message of an `Error`, and the string form of any other value. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
