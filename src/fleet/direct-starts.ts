/** Starts that were pushed to a worker rather than sent in the reply to a heartbeat. */
import type { SteadyMs } from '../units/index.js';

/**
 * The pushed starts of a worker's current session, by `attemptKey`. Until a push is acknowledged, the start may
 * still be delivered; after that, a duplicate of it may. Both matter as soon as the worker forgets the attempt,
 * since it would then run the task again.
 */
export class DirectStarts {
  private readonly pending = new Set<string>();
  /** Acknowledged starts, and when their attempts were first seen to have ended. */
  private readonly acknowledged = new Map<string, { endedAt: SteadyMs | undefined }>();

  /** Attempts whose start may still be delivered. */
  get unacknowledged(): ReadonlySet<string> {
    return this.pending;
  }

  isUnacknowledged(attempt: string): boolean {
    return this.pending.has(attempt);
  }

  isAcknowledged(attempt: string): boolean {
    return this.acknowledged.has(attempt);
  }

  recordSent(attempt: string): void {
    this.pending.add(attempt);
  }

  /** The start was certainly not delivered. */
  recordUndelivered(attempt: string): void {
    this.pending.delete(attempt);
  }

  /** The worker executed or refused the start. */
  recordAcknowledged(attempt: string): void {
    this.pending.delete(attempt);
    this.acknowledged.set(attempt, { endedAt: undefined });
  }

  /** An attempt has ended. Returns when that was noted first. */
  recordEnded(attempt: string, now: SteadyMs): SteadyMs {
    const start = this.acknowledged.get(attempt);
    if (!start) return now;
    return (start.endedAt ??= now);
  }

  /** Drops an acknowledged start. */
  forget(attempt: string): void {
    this.acknowledged.delete(attempt);
  }

  /** The session is over, and nothing that was sent to it can be executed any more. */
  clear(): void {
    this.pending.clear();
    this.acknowledged.clear();
  }
}
