/** The queue of jobs with changes that are not in the store yet, and the order in which they are written. */
import {
  ms,
  durationBetween,
  type Clock,
  type DurationMs,
  type JobId,
  type SteadyMs,
} from '../units/index.js';
import { WritePriority, type Job } from './job.js';
import { isUrgent } from './placement-order.js';

/** Progress, which only avoids repeated work after a failover, is written at most this often for one job. */
const MIN_PROGRESS_INTERVAL = ms(2000);
/**
 * How long other changes may delay each kind of change while the store's rate limits hold writes back: changes are
 * written in the order of the time at which they were made plus this delay. Submissions and cancellations go first.
 */
const MAX_WRITE_DELAY: Record<Exclude<WritePriority, typeof WritePriority.none>, DurationMs> = {
  [WritePriority.userRequest]: ms(0),
  [WritePriority.placement]: ms(400),
  [WritePriority.jobEnd]: ms(1000),
  [WritePriority.progress]: ms(5000),
};

/** A delay that never ends: no further check is needed. */
export const NEVER = ms(Infinity);

/** The jobs that may be written now. */
export interface DueJobs {
  /** Most urgent first. */
  readonly jobs: readonly Job[];
  /** The time until another job is due; `NEVER` if no job waits for its time. */
  readonly checkAfter: DurationMs;
}

/** The priority of the job's change. A change without a stated reason counts as progress. */
const writePriorityOf = (job: Job): Exclude<WritePriority, typeof WritePriority.none> =>
  job.writePriority === WritePriority.none ? WritePriority.progress : job.writePriority;

/** The time on the steady clock by which a change made at `changedAt` should be written. */
function writeBy(job: Job, changedAt: SteadyMs): number {
  const priority = writePriorityOf(job);
  if (priority === WritePriority.userRequest) return -Infinity;
  const isUrgentPlacement = priority === WritePriority.placement && isUrgent(job.spec.priority);
  return changedAt + (isUrgentPlacement ? 0 : MAX_WRITE_DELAY[priority]);
}

/** The pending changes of one ledger. */
export class CommitQueue {
  /** Jobs with changes that are in no transaction yet, with the time of the first such change. */
  private readonly changedSince = new Map<Job, SteadyMs>();
  /** Jobs from transactions that were refused as too large: each is written by itself, not before the given time. */
  private readonly ownTransactionNotBefore = new Map<Job, SteadyMs>();
  private readonly lastCommitAt = new Map<JobId, SteadyMs>();
  /** Keys of inbox entries that have been handled: they are deleted together with other changes. */
  private readonly handledInboxKeys = new Set<string>();

  /** `onChange` is called after each change of a tracked job. */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** Starts to write the changes of this job, beginning with those that it already has. */
  track(job: Job): void {
    job.onChange = (): void => {
      this.add(job);
      this.onChange();
    };
    if (job.version > job.committedVersion) job.onChange();
  }

  /** Stops writing changes of this job. */
  untrack(job: Job): void {
    job.onChange = undefined;
    this.ownTransactionNotBefore.delete(job);
    this.changedSince.delete(job);
  }

  /** Removes a job whose current version was added to a transaction. */
  take(job: Job): void {
    this.changedSince.delete(job);
  }

  /** Adds a job again whose transaction was not applied. */
  putBack(job: Job): void {
    if (job.onChange) this.add(job);
  }

  private add(job: Job): void {
    if (!this.changedSince.has(job)) this.changedSince.set(job, this.clock.steady());
  }

  recordCommit(job: Job): void {
    this.ownTransactionNotBefore.delete(job);
    this.lastCommitAt.set(job.id, this.clock.steady());
  }

  /** Discards all state of a finished job, including the time of its last write. */
  forget(job: Job): void {
    this.untrack(job);
    this.lastCommitAt.delete(job.id);
  }

  /** Makes the job be written in a transaction by itself, not before `time`. */
  retryInOwnTransaction(job: Job, time: SteadyMs): void {
    this.ownTransactionNotBefore.set(job, time);
  }

  needsOwnTransaction(job: Job): boolean {
    return this.ownTransactionNotBefore.has(job);
  }

  addHandledInboxKey(key: string): void {
    this.handledInboxKeys.add(key);
  }

  takeInboxKey(key: string): void {
    this.handledInboxKeys.delete(key);
  }

  /** Keys of the inbox entries that are to be deleted, oldest first. */
  get inboxKeysToDelete(): ReadonlySet<string> {
    return this.handledInboxKeys;
  }

  /** How many submissions and cancellations are in no transaction yet. */
  get pendingUserRequests(): number {
    let count = 0;
    for (const job of this.changedSince.keys())
      if (job.writePriority === WritePriority.userRequest && !job.hasWriteInFlight) count++;
    return count;
  }

  /** The jobs that may be written now, and when to check again for the others. */
  dueJobs(now: SteadyMs): DueJobs {
    const due: { job: Job; writeBy: number }[] = [];
    let checkAfter = Infinity;
    for (const [job, changedAt] of this.changedSince) {
      if (job.version <= job.committedVersion) {
        this.changedSince.delete(job);
        continue;
      }
      if (job.hasWriteInFlight) continue;
      const wait = this.timeUntilWritable(job, now);
      if (wait > 0) checkAfter = Math.min(checkAfter, wait);
      else due.push({ job, writeBy: writeBy(job, changedAt) });
    }
    due.sort((a, b) => a.writeBy - b.writeBy);
    return { jobs: due.map((entry) => entry.job), checkAfter: ms(checkAfter) };
  }

  /** How long until the job may be written; 0 or less if it may be written now. */
  private timeUntilWritable(job: Job, now: SteadyMs): DurationMs {
    const ownTransactionWait = durationBetween(now, this.ownTransactionNotBefore.get(job) ?? now);
    if (ownTransactionWait > 0 || writePriorityOf(job) !== WritePriority.progress)
      return ownTransactionWait;
    const committedAt = this.lastCommitAt.get(job.id);
    return ms(
      committedAt === undefined ? 0 : MIN_PROGRESS_INTERVAL - durationBetween(committedAt, now),
    );
  }
}
