/** Start commands that were sent to a worker's own address rather than in the response to a heartbeat. */
import { attemptKey } from './worker-status.js';

/** A direct start command. */
export interface DirectStart {
  readonly task: string;
  readonly attempt: number;
  /** The fencing token with which it was sent. */
  readonly fencingToken: number;
}

/**
 * The direct start commands of a worker's current session that it may still execute. A command, or a copy of it, may
 * arrive at any later time, whether or not it was executed before. While the worker knows the attempt, that has no
 * effect. Once the worker has forgotten the attempt, it would run the task again, unless it has seen a fencing token
 * higher than that of the command.
 */
export class DirectStarts implements Iterable<[attempt: string, start: DirectStart]> {
  private readonly byAttempt = new Map<string, DirectStart>();
  /** The highest token of a start that was removed because the worker refuses it. */
  private highestFencedToken = -1;

  get size(): number {
    return this.byAttempt.size;
  }

  /** The starts by `attemptKey`. */
  [Symbol.iterator](): IterableIterator<[attempt: string, start: DirectStart]> {
    return this.byAttempt.entries();
  }

  /**
   * Whether a start of the attempt may have been sent that a worker still accepts if `fencingToken` is the highest token
   * that it has seen. A worker that has restarted has seen none, so that it would accept all starts.
   */
  isExecutableUnder(fencingToken: number, attempt: string): boolean {
    const start = this.byAttempt.get(attempt);
    return fencingToken <= (start?.fencingToken ?? this.highestFencedToken);
  }

  /** The number of starts that a worker may still execute if `fencingToken` is the highest token that it has seen. */
  countExecutableUnder(fencingToken: number): number {
    let count = 0;
    for (const start of this.byAttempt.values()) if (start.fencingToken >= fencingToken) count++;
    return count;
  }

  recordSent(start: DirectStart): void {
    this.byAttempt.set(attemptKey(start.task, start.attempt), start);
  }

  /** Removes the start of an attempt that may be executed at any time without harm. */
  remove(attempt: string): void {
    this.byAttempt.delete(attempt);
  }

  /** Removes the starts that the worker refuses because it has seen a higher fencing token. */
  removeFenced(fencingToken: number): void {
    for (const [attempt, start] of this.byAttempt) {
      if (start.fencingToken >= fencingToken) continue;
      this.highestFencedToken = Math.max(this.highestFencedToken, start.fencingToken);
      this.byAttempt.delete(attempt);
    }
  }

  /** Removes all starts once the session has ended, since the worker refuses commands addressed to it. */
  clear(): void {
    this.byAttempt.clear();
  }
}
