/** What is to be written: jobs with changes that are not in the store yet, and in which order they are written. */
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

/** Progress that only saves repeated work after a failover is written at most this often for one job. */
const MIN_PROGRESS_INTERVAL = ms(2000);
/**
 * How long each kind of change may be delayed by others when writes are scarce: changes are written in the order
 * of when they were made plus this. Admissions and cancellations go before all.
 */
const MAX_WRITE_DELAY: Record<Exclude<WritePriority, typeof WritePriority.none>, DurationMs> = {
  [WritePriority.userRequest]: ms(0),
  [WritePriority.placement]: ms(400),
  [WritePriority.jobEnd]: ms(1000),
  [WritePriority.progress]: ms(5000),
};

/** No need to look again. */
export const NEVER = ms(Infinity);

/** What may be written now. */
export interface DueJobs {
  /** Most urgent first. */
  readonly jobs: readonly Job[];
  /** After this time a further job is due; `NEVER` if none is waiting for its time. */
  readonly checkAfter: DurationMs;
}

/** A change without a stated reason counts as progress. */
const priorityOf = (job: Job): Exclude<WritePriority, typeof WritePriority.none> =>
  job.writePriority === WritePriority.none ? WritePriority.progress : job.writePriority;

/** By when, on the steady clock, a change made at `changedAt` is to be written. */
function writeBy(job: Job, changedAt: SteadyMs): number {
  const priority = priorityOf(job);
  if (priority === WritePriority.userRequest) return -Infinity;
  const isUrgentPlacement = priority === WritePriority.placement && isUrgent(job.spec.priority);
  return changedAt + (isUrgentPlacement ? 0 : MAX_WRITE_DELAY[priority]);
}

/** The changes of one ledger that wait to be written. */
export class CommitQueue {
  /** Jobs with changes that no transaction has taken, and since when. */
  private readonly changedSince = new Map<Job, SteadyMs>();
  /** Jobs of a transaction that was refused as too large: each is tried by itself, and not before then. */
  private readonly ownTransactionNotBefore = new Map<Job, SteadyMs>();
  private readonly lastCommit = new Map<JobId, SteadyMs>();
  /** Keys of notices that were dealt with: they are deleted along with other changes. */
  private readonly handledInboxKeys = new Set<string>();

  /** `onChange` is called after each change of a tracked job. */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** From now on changes of this job are written; at once, if it has any. */
  track(job: Job): void {
    job.onChange = (): void => {
      this.add(job);
      this.onChange();
    };
    if (job.version > job.committedVersion) job.onChange();
  }

  /** Nothing more of this job is written. */
  untrack(job: Job): void {
    job.onChange = undefined;
    this.ownTransactionNotBefore.delete(job);
    this.changedSince.delete(job);
  }

  /** A transaction has taken the job's present version. */
  take(job: Job): void {
    this.changedSince.delete(job);
  }

  /** What a transaction took was not written. */
  putBack(job: Job): void {
    if (job.onChange) this.add(job);
  }

  private add(job: Job): void {
    if (!this.changedSince.has(job)) this.changedSince.set(job, this.clock.steady());
  }

  recordCommit(job: Job): void {
    this.ownTransactionNotBefore.delete(job);
    this.lastCommit.set(job.id, this.clock.steady());
  }

  /** The job is over: when it was last written does not matter any more. */
  forget(job: Job): void {
    this.untrack(job);
    this.lastCommit.delete(job.id);
  }

  /** The job is written in a transaction by itself, and not before `time`. */
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

  /** Keys of the notices that are to be deleted, oldest first. */
  get inboxKeysToDelete(): ReadonlySet<string> {
    return this.handledInboxKeys;
  }

  /** How many admissions and cancellations no transaction has taken yet. */
  get pendingUserRequests(): number {
    let count = 0;
    for (const job of this.changedSince.keys())
      if (job.writePriority === WritePriority.userRequest && !job.hasWriteInFlight) count++;
    return count;
  }

  /** The jobs that may be written now, and when to look again for those that may not yet. */
  due(now: SteadyMs): DueJobs {
    const due: { job: Job; at: number }[] = [];
    let checkAfter = Infinity;
    for (const [job, changedAt] of this.changedSince) {
      if (job.version <= job.committedVersion) {
        this.changedSince.delete(job);
        continue;
      }
      if (job.hasWriteInFlight) continue;
      const wait = this.waitOf(job, now);
      if (wait > 0) checkAfter = Math.min(checkAfter, wait);
      else due.push({ job, at: writeBy(job, changedAt) });
    }
    due.sort((a, b) => a.at - b.at);
    return { jobs: due.map((entry) => entry.job), checkAfter: ms(checkAfter) };
  }

  /** How long a job may not be written yet; 0 or less if it may. */
  private waitOf(job: Job, now: SteadyMs): DurationMs {
    const ownTransactionWait = durationBetween(now, this.ownTransactionNotBefore.get(job) ?? now);
    if (ownTransactionWait > 0 || priorityOf(job) !== WritePriority.progress)
      return ownTransactionWait;
    const last = this.lastCommit.get(job.id);
    return ms(last === undefined ? 0 : MIN_PROGRESS_INTERVAL - durationBetween(last, now));
  }
}
