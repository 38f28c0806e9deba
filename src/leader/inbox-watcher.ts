/**
 * Processes inbox entries. Other controllers write them to the store while they cannot reach a leader: one for each
 * job that they create, and one for each cancellation that a user requests.
 */
import type { JobRecords } from '../ledger/job-records.js';
import type { Ledger } from '../ledger/ledger.js';
import { seconds, sleep, type Clock } from '../units/index.js';
import type { JobRequests } from './job-requests.js';

const RETRY_DELAY = seconds(1);

/** Processes inbox entries as they appear, and deletes each one once the outcome of its processing is known. */
export class InboxWatcher {
  private isClosed = false;

  constructor(
    private readonly jobRecords: Pick<JobRecords, 'readInbox' | 'watchInbox'>,
    private readonly jobs: Pick<JobRequests, 'find' | 'cancel'>,
    private readonly ledger: Pick<Ledger, 'deleteInboxEntry'>,
    private readonly clock: Clock,
  ) {}

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const listed = await this.jobRecords.readInbox();
      if (this.isClosed) return;
      if (listed) {
        // No helper is awaited here: a further await for each entry would spread the deletions over more transactions.
        for (const { key, id, isCancellation } of listed.entries) {
          const result = isCancellation ? await this.jobs.cancel(id) : await this.jobs.find(id);
          if (this.isClosed) return;
          // If the entry is written again during its deletion, nothing is lost: the work it requests is already done.
          if (result.kind !== 'unknown') this.ledger.deleteInboxEntry(key);
        }
        if (await this.jobRecords.watchInbox(listed.revision)) continue;
      }
      await sleep(this.clock, RETRY_DELAY);
    }
  }

  /** Stops processing. An entry that is being processed is not deleted. */
  close(): void {
    this.isClosed = true;
  }
}
