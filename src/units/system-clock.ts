/** The clock that a controller uses in production. */
import { performance } from 'node:perf_hooks';
import { type Clock, SteadyMs, WallMs } from './index.js';

/** Reads the machine's clocks and uses Node.js timers. */
export const systemClock: Clock = {
  steady: () => SteadyMs(performance.now()),
  wall: () => WallMs(Date.now()),
  after: (delay, run) => {
    const timer = setTimeout(run, Math.max(0, delay));
    return { cancel: () => clearTimeout(timer) };
  },
  nextTurn: (run) => {
    setImmediate(run);
  },
};
