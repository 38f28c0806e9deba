/** Callers that wait until a version of a job is in the store. */
import type { JobId } from '../units/index.js';

interface Waiter {
  readonly version: number;
  readonly resolve: (isCommitted: boolean) => void;
}

/** Waiters by job. Each is answered exactly once: by `settle`, or with false by `close`. */
export class CommitWaiters {
  private readonly waiters = new Map<JobId, Waiter[]>();
  private isClosed = false;

  /** Resolves to true once this version is in the store, to false if it is not known to be. */
  wait(id: JobId, version: number): Promise<boolean> {
    if (this.isClosed) return Promise.resolve(false);
    return new Promise((resolve) => {
      const list = this.waiters.get(id) ?? [];
      list.push({ version, resolve });
      this.waiters.set(id, list);
    });
  }

  has(id: JobId): boolean {
    return this.waiters.has(id);
  }

  /** Answers those who wait for this version of a job or an earlier one. */
  resolveUpTo(id: JobId, version: number, isCommitted: boolean): void {
    const list = this.waiters.get(id);
    if (!list) return;
    const rest: Waiter[] = [];
    for (const waiter of list) {
      if (waiter.version <= version) waiter.resolve(isCommitted);
      else rest.push(waiter);
    }
    if (rest.length > 0) this.waiters.set(id, rest);
    else this.waiters.delete(id);
  }

  /** Answers all who wait for a version of a job. */
  resolveAll(id: JobId, isCommitted: boolean): void {
    this.resolveUpTo(id, Infinity, isCommitted);
  }

  close(): void {
    this.isClosed = true;
    for (const list of this.waiters.values()) for (const waiter of list) waiter.resolve(false);
    this.waiters.clear();
  }
}
