/** What is known of a thrown value, which may be anything. */

/** The message of an error; of anything else its text. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
