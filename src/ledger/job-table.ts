/** The jobs that a leader knows: the live ones, and the final states of those that were over lately. */
import type { JobId } from '../units/index.js';
import { FinalStateCache } from './final-state-cache.js';
import type { FinalState, Job } from './job.js';

/** How many final states are kept; the others are read from the store again. */
const MAX_FINAL_STATES = 4000;

/** Jobs by id. */
export class JobTable {
  /** All live jobs. */
  readonly jobs = new Map<JobId, Job>();
  readonly finalStates = new FinalStateCache(MAX_FINAL_STATES);

  /** Adds a live job, in the place of another of the same id. */
  set(job: Job): void {
    this.jobs.set(job.id, job);
  }

  /** Removes a live job unless another has its place by now. */
  remove(job: Job): void {
    if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
  }

  /** Moves a job that is over to the final states. */
  finish(job: Job, final: FinalState): void {
    this.finalStates.set(job.id, final);
    this.remove(job);
  }
}
