/** Start commands that were sent to a worker's own address rather than in the response to a heartbeat. */
import type { SteadyMs } from '../units/index.js';

/**
 * The direct start commands of a worker's current session, by `attemptKey`. Until a command is acknowledged, it
 * may still be delivered; after that, a duplicate of it may. Both matter as soon as the worker forgets the
 * attempt, since it would then run the task again.
 */
export class DirectStarts {
  private readonly pending = new Set<string>();
  /** Acknowledged start commands, and when their attempts were first seen to have ended. */
  private readonly acknowledged = new Map<string, { endedAt: SteadyMs | undefined }>();

  /** Attempts whose start command may still be delivered. */
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

  /** Records that the start command was certainly not delivered. */
  recordUndelivered(attempt: string): void {
    this.pending.delete(attempt);
  }

  /** Records that the worker executed or refused the start command. */
  recordAcknowledged(attempt: string): void {
    this.pending.delete(attempt);
    this.acknowledged.set(attempt, { endedAt: undefined });
  }

  /** Records that an attempt has ended. Returns when this was first recorded. */
  recordEnded(attempt: string, now: SteadyMs): SteadyMs {
    const start = this.acknowledged.get(attempt);
    if (!start) return now;
    return (start.endedAt ??= now);
  }

  /** Removes an acknowledged start command. */
  forget(attempt: string): void {
    this.acknowledged.delete(attempt);
  }

  /** Removes everything once the session has ended, since a command sent to it can no longer be executed. */
  clear(): void {
    this.pending.clear();
    this.acknowledged.clear();
  }
}
