/** Promises that resolve once a version of a job is in the store. */
import type { JobId } from '../units/index.js';

interface Waiter {
  readonly version: number;
  readonly resolve: (isCommitted: boolean) => void;
}

/** Waiters by job. Each is resolved exactly once: by `resolveUpTo`, or with false by `close`. */
export class CommitWaiters {
  private readonly waiters = new Map<JobId, Waiter[]>();
  private isClosed = false;

  /** Resolves to true once this version is in the store, to false if that can't be confirmed. */
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

  /** Resolves the waiters for this version of a job or an earlier one. */
  resolveUpTo(id: JobId, version: number, isCommitted: boolean): void {
    const list = this.waiters.get(id);
    if (!list) return;
    const remaining: Waiter[] = [];
    for (const waiter of list) {
      if (waiter.version <= version) waiter.resolve(isCommitted);
      else remaining.push(waiter);
    }
    if (remaining.length > 0) this.waiters.set(id, remaining);
    else this.waiters.delete(id);
  }

  /** Resolves all waiters for a job. */
  resolveAll(id: JobId, isCommitted: boolean): void {
    this.resolveUpTo(id, Infinity, isCommitted);
  }

  close(): void {
    this.isClosed = true;
    for (const list of this.waiters.values()) for (const waiter of list) waiter.resolve(false);
    this.waiters.clear();
  }
}
