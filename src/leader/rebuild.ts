/** What a new leader does first: it reads the records of all live jobs. */
import type { Logger } from 'pino';
import { decodeJob } from '../ledger/job-codec.js';
import { LIVE_PREFIX } from '../ledger/store-keys.js';
import type { Job } from '../ledger/job.js';
import type { RecordLimits } from '../ledger/record-limits.js';
import type { StoreClient } from '../store/client.js';
import { JobId, ms, sleep, type Clock, type Timer } from '../units/index.js';

const STORE_TIMEOUT = ms(2000);
const RETRY_PAUSE = ms(300);
/** Heartbeats that come while the records are read wait so long, counted from the beginning of the term. */
const MAX_WAIT = ms(1500);

/** What a rebuild needs of the rest of the node. */
export interface RebuildDependencies {
  readonly store: Pick<StoreClient, 'list'>;
  readonly recordLimits: Pick<RecordLimits, 'onRecordRead'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Reads the live records once, and tells those who wait for it. */
export class Rebuild {
  /** Resolves once the records are read, the rebuild is closed, or it has taken too long. */
  readonly settled: Promise<void>;
  private settle: () => void = () => undefined;
  private readonly timer: Timer;
  private closed = false;

  constructor(
    private readonly deps: RebuildDependencies,
    /** Takes a job that was read. */
    private readonly adopt: (job: Job) => void,
  ) {
    this.settled = new Promise((resolve) => (this.settle = resolve));
    this.timer = deps.clock.after(MAX_WAIT, () => this.settle());
  }

  /** Resolves with true once all records are read, however often that must be tried; false if closed. */
  async run(): Promise<boolean> {
    while (!this.closed) {
      const listed = await this.deps.store.list(LIVE_PREFIX, STORE_TIMEOUT, { urgent: true });
      if (this.closed) return false;
      if (listed) {
        const now = this.deps.clock.steady();
        for (const item of listed.items) {
          const id = JobId(item.key.slice(LIVE_PREFIX.length));
          try {
            this.deps.recordLimits.onRecordRead(item.data);
            this.adopt(decodeJob(id, item.data, item.revision, now));
          } catch (error) {
            const message = 'unreadable record; the job waits for repair';
            this.deps.log.error({ job: id, err: error }, message);
          }
        }
        return true;
      }
      await sleep(this.deps.clock, RETRY_PAUSE);
    }
    return false;
  }

  /** Releases those who wait, whether the records are read or not. */
  close(): void {
    this.closed = true;
    this.timer.cancel();
    this.settle();
  }
}
