/** Recovery at the start of a term: the new leader reads the records of all live jobs. */
import type { Logger } from 'pino';
import { decodeJob } from '../ledger/job-codec.js';
import { LIVE_PREFIX } from '../ledger/store-keys.js';
import type { Job } from '../ledger/job.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { StoreClient } from '../store/client.js';
import type { ListItem } from '../store/results.js';
import {
  JobId,
  durationBetween,
  ms,
  seconds,
  sleep,
  type Clock,
  type Epoch,
  type SteadyMs,
  type Timer,
} from '../units/index.js';

const STORE_TIMEOUT = ms(2000);
const RETRY_DELAY = ms(300);
/** Heartbeats that arrive during recovery wait until at most this long after the start of the term. */
const MAX_HEARTBEAT_WAIT = ms(1500);
/** A leader that has had authority for this long without having read the records violates an invariant. */
const MAX_RECOVERY_TIME = seconds(60);

/** The dependencies of recovery on the rest of the controller. */
export interface JobRecoveryDependencies {
  readonly store: Pick<StoreClient, 'listPage'>;
  readonly recordLimits: Pick<RecordLimits, 'onRecordRead'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** The epoch under which this controller may act now; undefined if it has no authority. */
  readonly authority: () => Epoch | undefined;
}

/** Reads the live records once and ends the wait of heartbeats through `completionOrTimeout`. */
export class JobRecovery {
  /** Resolves once the records have been read, recovery is closed, or `MAX_HEARTBEAT_WAIT` has passed. */
  readonly completionOrTimeout: Promise<void>;
  private endWait: () => void = () => undefined;
  private readonly timer: Timer;
  private readonly startedAt: SteadyMs;
  /** Since when the controller has had authority without interruption, as far as failed reads show. */
  private authorisedSince: SteadyMs;
  private isClosed = false;
  private isOverdueReported = false;
  private readPages = 0;
  private failedPages = 0;

  constructor(
    private readonly deps: JobRecoveryDependencies,
    /** Receives each job that was read. */
    private readonly onJobRead: (job: Job) => void,
  ) {
    this.startedAt = deps.clock.steady();
    this.authorisedSince = this.startedAt;
    this.completionOrTimeout = new Promise((resolve) => (this.endWait = resolve));
    this.timer = deps.clock.after(MAX_HEARTBEAT_WAIT, () => this.endWait());
  }

  /** Retries until all records have been read. Resolves with true then, and with false if closed earlier. */
  async run(): Promise<boolean> {
    const { clock, store } = this.deps;
    const jobs: Job[] = [];
    let lastKey: string | undefined;
    while (!this.isClosed) {
      const page = await store.listPage(LIVE_PREFIX, lastKey, STORE_TIMEOUT, {
        aheadOfQueue: true,
      });
      if (this.isClosed) return false;
      if (page.kind === 'failed') {
        this.recordFailure(page.reason);
        await sleep(clock, RETRY_DELAY);
        continue;
      }
      this.readPages++;
      for (const item of page.items) this.decode(item, jobs);
      if (page.next === undefined) {
        this.complete(jobs);
        return true;
      }
      lastKey = page.next;
    }
    return false;
  }

  private decode({ key, data, revision }: ListItem, jobs: Job[]): void {
    const { clock, log, recordLimits } = this.deps;
    const id = JobId(key.slice(LIVE_PREFIX.length));
    try {
      recordLimits.onRecordRead(data);
      jobs.push(decodeJob(id, data, revision, clock.steady()));
    } catch (error) {
      const message = 'recovery: unreadable record; the job waits until the record is repaired';
      log.error({ job: id, err: error }, message);
    }
  }

  private complete(jobs: readonly Job[]): void {
    for (const job of jobs) this.onJobRead(job);
    const { readPages, failedPages, elapsedMs } = this;
    this.deps.log.info(
      { jobs: jobs.length, readPages, failedPages, elapsedMs },
      'recovery: all job records read from the store',
    );
  }

  private get elapsedMs(): number {
    return Math.round(durationBetween(this.startedAt, this.deps.clock.steady()));
  }

  private recordFailure(reason: string): void {
    this.failedPages++;
    const { readPages, failedPages, elapsedMs } = this;
    this.deps.log.warn(
      { reason, readPages, failedPages, elapsedMs },
      'recovery: a page of job records could not be read; reading it again',
    );
    this.checkProgress();
  }

  private checkProgress(): void {
    const { authority, clock, log } = this.deps;
    const now = clock.steady();
    const epoch = authority();
    if (epoch === undefined) this.authorisedSince = now;
    if (this.isOverdueReported || durationBetween(this.authorisedSince, now) < MAX_RECOVERY_TIME)
      return;
    this.isOverdueReported = true;
    const { readPages, failedPages } = this;
    log.error(
      { epoch, readPages, failedPages },
      'invariant violated: the leader has authority but can not read the job records',
    );
  }

  /** Stops recovery and resolves `completionOrTimeout`, whether or not the records have been read. */
  close(): void {
    this.isClosed = true;
    this.timer.cancel();
    this.endWait();
  }
}
