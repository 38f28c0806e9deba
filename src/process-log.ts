/** The log of the process: lines of JSON on standard error. */
import { destination, pino, stdTimeFunctions, type Logger } from 'pino';

const LEVELS = ['error', 'warn', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';

/** A log of that level, or of the default one if there is no such level; each line names the node. */
export function createLog(node: string, level = DEFAULT_LEVEL): Logger {
  return pino(
    {
      level: LEVELS.includes(level) ? level : DEFAULT_LEVEL,
      base: { node },
      formatters: { level: (label) => ({ level: label }) },
      timestamp: stdTimeFunctions.isoTime,
    },
    // Synchronous: what a killed process was about to say is then already written.
    destination({ dest: 2, sync: true }),
  );
}

/** Logs what nothing caught. Such an error must not end the service; its state is rebuilt from records. */
export function logUncaughtErrors(log: Logger): void {
  process.on('uncaughtException', (error) => log.error({ err: error }, 'uncaught error'));
  process.on('unhandledRejection', (error) => log.error({ err: error }, 'unhandled rejection'));
}
