/** An in-memory cache of the final states of recently finished jobs. */
import type { JobId } from '../units/index.js';
import type { FinalState } from './job.js';

/** Final states never change, so a cached one is always valid. The cache keeps the `maxSize` latest ones. */
export class FinalStateCache {
  private readonly states = new Map<JobId, FinalState>();

  constructor(private readonly maxSize: number) {}

  /** Undefined if the state is not cached; the store may still have it. */
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
