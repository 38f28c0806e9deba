/** Rereads records after a conflict or an unanswered transaction, to find out what the store holds. */
import type { Logger } from 'pino';
import type { StoreClient } from '../store/client.js';
import type { ReadResult } from '../store/results.js';
import { ms, sleep, type Clock, type Epoch } from '../units/index.js';
import type { PendingRecord } from './batch.js';
import { writerMarkOf } from './codec.js';
import { decodeFinal } from './final-record.js';
import type { RecordOutcomes } from './record-outcomes.js';
import { finalKey, liveKey } from './store-keys.js';

const READ_TIMEOUT = ms(2000);
/** The pause before what could not be read is read again. */
const RETRY_INTERVAL = ms(300);

/** What a resolver works with. */
export interface OutcomeResolverOptions {
  readonly store: Pick<StoreClient, 'get'>;
  readonly epoch: Epoch;
  readonly outcomes: RecordOutcomes;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Reads until the outcome of a record is known, or until `close`. */
export class OutcomeResolver {
  private closed = false;

  constructor(private readonly options: OutcomeResolverOptions) {}

  close(): void {
    this.closed = true;
  }

  /**
   * Finds out what the store holds for a job, and passes on the outcome of its record. Nothing that is concluded
   * here needs the old transaction to be dead: our next write names the revision that was read, so either it or
   * the late one is carried out, and the other ends in a conflict and is resolved here again.
   */
  async resolve(record: PendingRecord): Promise<void> {
    const { store, outcomes, clock } = this.options;
    const { job } = record;
    for (;;) {
      if (this.closed) return;
      const live = await store.get(liveKey(job.id), READ_TIMEOUT);
      if (this.closed) return;
      if (live.kind === 'found') {
        this.resolveLive(record, live);
        return;
      }
      if (live.kind === 'absent') {
        const final = await store.get(finalKey(job.id), READ_TIMEOUT);
        if (final.kind === 'found') {
          outcomes.committed(record, final.revision, decodeFinal(final.data));
          return;
        }
        if (final.kind === 'absent' && this.resolveAbsent(record)) return;
      }
      await sleep(clock, RETRY_INTERVAL);
    }
  }

  private resolveLive(record: PendingRecord, live: ReadResult & { kind: 'found' }): void {
    const { epoch, outcomes } = this.options;
    const { job } = record;
    const writer = writerMarkOf(live.data);
    if (live.revision === job.revision) outcomes.notCommitted(record);
    else if (writer?.epoch === epoch && writer.version === record.version) {
      outcomes.committed(record, live.revision, undefined);
    } else outcomes.replaced(job, live.data, live.revision);
  }

  /** The store has neither a live nor a final record; false if that can't be, and is to be read again. */
  private resolveAbsent(record: PendingRecord): boolean {
    const { outcomes, log } = this.options;
    const { job } = record;
    if (job.revision > 0) {
      log.error({ job: job.id }, 'record of a live job is missing; reading again');
      return false;
    }
    outcomes.notCommitted(record);
    return true;
  }
}
