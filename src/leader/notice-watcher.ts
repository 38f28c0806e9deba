/** Notices: what other nodes did and ask for, through the store, while they could not reach a leader. */
import type { JobRecords } from '../ledger/job-records.js';
import type { Ledger } from '../ledger/ledger.js';
import { seconds, sleep, type Clock } from '../units/index.js';
import type { JobRequests } from './job-requests.js';

const RETRY_PAUSE = seconds(1);

/** Carries out notices as they appear, and deletes each that is settled. */
export class NoticeWatcher {
  private closed = false;

  constructor(
    private readonly jobRecords: Pick<JobRecords, 'readInbox' | 'watchInbox'>,
    private readonly jobs: Pick<JobRequests, 'find' | 'cancel'>,
    private readonly ledger: Pick<Ledger, 'deleteInboxEntry'>,
    private readonly clock: Clock,
  ) {}

  /** Ends only after `close`. */
  async run(): Promise<void> {
    while (!this.closed) {
      const listed = await this.jobRecords.readInbox();
      if (this.closed) return;
      if (listed) {
        // In one function on purpose: a further await for each notice would divide their deletions among more transactions.
        for (const { key, id, isCancellation } of listed.entries) {
          const answer = isCancellation ? await this.jobs.cancel(id) : await this.jobs.find(id);
          if (this.closed) return;
          // One that is written again while it is being deleted asks for nothing that has not been done.
          if (answer.kind !== 'unknown') this.ledger.deleteInboxEntry(key);
        }
        if (await this.jobRecords.watchInbox(listed.revision)) continue;
      }
      await sleep(this.clock, RETRY_PAUSE);
    }
  }

  /** What is under way comes to nothing. */
  close(): void {
    this.closed = true;
  }
}
