/** An in-memory cache of the final states of recently finished jobs. */
import type { JobId, SteadyMs } from '../units/index.js';
import type { FinalState } from './job.js';

/** A final state that this controller knows. */
export interface KnownFinalState {
  readonly final: FinalState;
  /** A time by which the final record was in the store. */
  readonly storedBy: SteadyMs;
}

/** Final states never change, so a cached one is always valid. The cache keeps the `maxSize` latest ones. */
export class FinalStateCache {
  private readonly states = new Map<JobId, KnownFinalState>();

  constructor(private readonly maxSize: number) {}

  /** Undefined if the state is not cached; the store may still have it. */
  get(id: JobId): KnownFinalState | undefined {
    return this.states.get(id);
  }

  set(id: JobId, known: KnownFinalState): void {
    this.states.delete(id);
    this.states.set(id, known);
    if (this.states.size <= this.maxSize) return;
    const oldest = this.states.keys().next().value;
    if (oldest !== undefined) this.states.delete(oldest);
  }
}
