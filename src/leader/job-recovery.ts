/** Recovery at the start of a term: the new leader reads the records of all live jobs. */
import type { Logger } from 'pino';
import { decodeJob } from '../ledger/job-codec.js';
import { LIVE_PREFIX } from '../ledger/store-keys.js';
import type { Job } from '../ledger/job.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { StoreClient } from '../store/client.js';
import {
  JobId,
  durationBetween,
  ms,
  sleep,
  type Clock,
  type SteadyMs,
  type Timer,
} from '../units/index.js';

const STORE_TIMEOUT = ms(2000);
const RETRY_DELAY = ms(300);
/** Heartbeats that arrive during recovery wait until at most this long after the start of the term. */
const MAX_HEARTBEAT_WAIT = ms(1500);

/** The dependencies of recovery on the rest of the controller. */
export interface JobRecoveryDependencies {
  readonly store: Pick<StoreClient, 'list'>;
  readonly recordLimits: Pick<RecordLimits, 'onRecordRead'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Reads the live records once and ends the wait of heartbeats through `completionOrTimeout`. */
export class JobRecovery {
  /** Resolves once the records have been read, recovery is closed, or `MAX_HEARTBEAT_WAIT` has passed. */
  readonly completionOrTimeout: Promise<void>;
  private endWait: () => void = () => undefined;
  private readonly timer: Timer;
  private readonly startedAt: SteadyMs;
  private isClosed = false;
  private failedListings = 0;

  constructor(
    private readonly deps: JobRecoveryDependencies,
    /** Receives each job that was read. */
    private readonly onJobRead: (job: Job) => void,
  ) {
    this.startedAt = deps.clock.steady();
    this.completionOrTimeout = new Promise((resolve) => (this.endWait = resolve));
    this.timer = deps.clock.after(MAX_HEARTBEAT_WAIT, () => this.endWait());
  }

  /** Retries until all records have been read. Resolves with true then, and with false if closed earlier. */
  async run(): Promise<boolean> {
    while (!this.isClosed) {
      const listed = await this.deps.store.list(LIVE_PREFIX, STORE_TIMEOUT, { urgent: true });
      if (this.isClosed) return false;
      if (listed) {
        const now = this.deps.clock.steady();
        for (const item of listed.items) {
          const id = JobId(item.key.slice(LIVE_PREFIX.length));
          try {
            this.deps.recordLimits.onRecordRead(item.data);
            this.onJobRead(decodeJob(id, item.data, item.revision, now));
          } catch (error) {
            const message =
              'recovery: unreadable record; the job waits until the record is repaired';
            this.deps.log.error({ job: id, err: error }, message);
          }
        }
        return true;
      }
      this.logFailure();
      await sleep(this.deps.clock, RETRY_DELAY);
    }
    return false;
  }

  private logFailure(): void {
    this.failedListings++;
    const { clock, log } = this.deps;
    const elapsedMs = Math.round(durationBetween(this.startedAt, clock.steady()));
    log.warn(
      { failedListings: this.failedListings, elapsedMs },
      'recovery: the records could not be listed; the listing starts again',
    );
  }

  /** Stops recovery and resolves `completionOrTimeout`, whether or not the records have been read. */
  close(): void {
    this.isClosed = true;
    this.timer.cancel();
    this.endWait();
  }
}
