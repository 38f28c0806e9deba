/** The final states of jobs that were over lately, in memory. */
import type { JobId } from '../units/index.js';
import type { FinalState } from './job.js';

/** Final states never change, so one that is here need not be read again. At most `maxSize` are kept, the latest. */
export class FinalStateCache {
  private readonly states = new Map<JobId, FinalState>();

  constructor(private readonly maxSize: number) {}

  /** Undefined if it is not kept, whatever the store holds. */
  get(id: JobId): FinalState | undefined {
    return this.states.get(id);
  }

  set(id: JobId, final: FinalState): void {
    this.states.delete(id);
    this.states.set(id, final);
    if (this.states.size <= this.maxSize) return;
    const oldest = this.states.keys().next().value;
    if (oldest !== undefined) this.states.delete(oldest);
  }
}
