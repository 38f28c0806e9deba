/** The log of the process: JSON lines on standard error. */
import { destination, pino, stdTimeFunctions, type Logger } from 'pino';

const LEVELS = ['error', 'warn', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';

/** Creates a logger with this level, or the default level if this one is unknown. Each line names the controller. */
export function createLog(controllerId: string, level = DEFAULT_LEVEL): Logger {
  return pino(
    {
      level: LEVELS.includes(level) ? level : DEFAULT_LEVEL,
      base: { node: controllerId },
      formatters: { level: (label) => ({ level: label }) },
      timestamp: stdTimeFunctions.isoTime,
    },
    // Synchronous, so that no log line is lost when the process is killed.
    destination({ dest: 2, sync: true }),
  );
}

/** Logs uncaught errors and lets the process continue, since its state can be rebuilt from records. */
export function logUncaughtErrors(log: Logger): void {
  process.on('uncaughtException', (error) =>
    log.error({ err: error }, 'uncaught error; the controller continues'),
  );
  process.on('unhandledRejection', (error) =>
    log.error({ err: error }, 'unhandled promise rejection; the controller continues'),
  );
}
