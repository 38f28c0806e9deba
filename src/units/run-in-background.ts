/** Promises that are not awaited. */

/** Where failures are logged; a `pino` logger is one. */
export interface ErrorLog {
  error(context: object, message: string): void;
}

/** Detaches work from its caller on purpose: it is not awaited, and a failure is logged as `<what> failed`. */
export function runInBackground(work: Promise<unknown>, log: ErrorLog, what: string): void {
  work.catch((error: unknown) => {
    log.error({ err: error }, `${what} failed`);
  });
}
