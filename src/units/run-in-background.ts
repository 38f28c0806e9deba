/** Runs promises that the caller does not await. */

/** A logger for failures, such as a `pino` logger. */
export interface ErrorLog {
  error(context: object, message: string): void;
}

/** Leaves a promise running without awaiting it. A rejection is logged as `<operation> failed`. */
export function runInBackground(work: Promise<unknown>, log: ErrorLog, operation: string): void {
  work.catch((error: unknown) => {
    log.error({ err: error }, `${operation} failed`);
  });
}
