/** The jobs that a leader has in memory: all live ones, and the final states of those that finished recently. */
import type { JobId } from '../units/index.js';
import { FinalStateCache, type KnownFinalState } from './final-state-cache.js';
import type { Job } from './job.js';

/** When the table is full, the oldest final states are discarded and read from the store again if needed. */
const MAX_CACHED_FINAL_STATES = 4000;

/** Live jobs and final states by job id. */
export class JobTable {
  /** All live jobs. */
  readonly jobs = new Map<JobId, Job>();
  readonly finalStates = new FinalStateCache(MAX_CACHED_FINAL_STATES);

  /** Adds a live job; it replaces another one with the same id. */
  set(job: Job): void {
    this.jobs.set(job.id, job);
  }

  /** Removes a live job, unless another one with the same id has replaced it. */
  remove(job: Job): void {
    if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
  }

  /** Removes a finished job from the live jobs and keeps its final state. */
  finish(job: Job, known: KnownFinalState): void {
    this.finalStates.set(job.id, known);
    this.remove(job);
  }
}
