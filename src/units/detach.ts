/** Promises that nobody awaits. */

/** What a failure is told to; a `pino` logger is one. */
export interface ErrorLog {
  error(context: object, message: string): void;
}

/** Detaches work from its caller on purpose: nobody waits for it, and a failure is logged. */
export function detach(work: Promise<unknown>, log: ErrorLog, what: string): void {
  work.catch((error: unknown) => {
    log.error({ err: error }, `${what} failed`);
  });
}
