/**
 * Processes inbox entries. Other controllers write them to the store while they cannot reach a leader: about jobs
 * that they have created, and to request cancellations.
 */
import type { JobRecords } from '../ledger/job-records.js';
import type { Ledger } from '../ledger/ledger.js';
import { seconds, sleep, type Clock } from '../units/index.js';
import type { JobRequests } from './job-requests.js';

const RETRY_DELAY = seconds(1);

/** Processes inbox entries as they appear, and deletes each entry whose outcome is known. */
export class InboxWatcher {
  private isClosed = false;

  constructor(
    private readonly jobRecords: Pick<JobRecords, 'notices' | 'watchNotices'>,
    private readonly jobs: Pick<JobRequests, 'find' | 'cancel'>,
    private readonly ledger: Pick<Ledger, 'deleteNotice'>,
    private readonly clock: Clock,
  ) {}

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const listed = await this.jobRecords.notices();
      if (this.isClosed) return;
      if (listed) {
        // All in one function, because another await for each entry would spread the deletions over more transactions.
        for (const { key, id, isCancellation } of listed.notices) {
          const result = isCancellation ? await this.jobs.cancel(id) : await this.jobs.find(id);
          if (this.isClosed) return;
          // If the entry is written again during its deletion, nothing is lost: what it asks for is already done.
          if (result.kind !== 'unknown') this.ledger.deleteNotice(key);
        }
        if (await this.jobRecords.watchNotices(listed.revision)) continue;
      }
      await sleep(this.clock, RETRY_DELAY);
    }
  }

  /** Stops processing. An entry that is being processed is not deleted. */
  close(): void {
    this.isClosed = true;
  }
}
