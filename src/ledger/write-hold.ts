/** Holds back records from the store. */
import { ms, type DurationMs } from '../units/index.js';
import type { Job } from './job.js';

/** Decides whether the record of a job, the next one to be written, has to wait. */
export interface WriteHold {
  /** Holds the record back, if necessary, and returns for how long; 0 or less if it may be written now. */
  holdBack(job: Job): DurationMs;
}

/** Holds no record back. */
export const NO_WRITE_HOLD: WriteHold = { holdBack: () => ms(0) };
