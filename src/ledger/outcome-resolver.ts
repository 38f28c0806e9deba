/** Reads records back after a conflict or a transaction without a response, to determine what the store holds. */
import type { Logger } from 'pino';
import type { StoreClient } from '../store/client.js';
import type { ReadResult } from '../store/results.js';
import { ms, sleep, type Clock, type Epoch } from '../units/index.js';
import type { PendingRecord } from './batch.js';
import { decodeFinal } from './final-record.js';
import { writeIdOf } from './job-codec.js';
import { finalKey, liveKey } from './store-keys.js';
import type { WriteOutcomeHandler } from './write-outcome-handler.js';

const READ_TIMEOUT = ms(2000);
/** The delay before a failed read is retried. */
const RETRY_INTERVAL = ms(300);

/** The dependencies of a resolver. */
export interface OutcomeResolverOptions {
  readonly store: Pick<StoreClient, 'get'>;
  readonly epoch: Epoch;
  readonly outcomeHandler: WriteOutcomeHandler;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Retries reads until the outcome of a record is known, or until `close`. */
export class OutcomeResolver {
  private isClosed = false;

  constructor(private readonly options: OutcomeResolverOptions) {}

  close(): void {
    this.isClosed = true;
  }

  /**
   * Determines what the store holds for a job, and reports the outcome of its record. This stays correct if the old
   * transaction is applied later: the next write of this controller is conditional on the revision that was read, so
   * only one of the two is applied, and the other ends in a conflict and is resolved here again.
   */
  async resolve(record: PendingRecord): Promise<void> {
    const { store, outcomeHandler, clock } = this.options;
    const { job } = record;
    for (;;) {
      if (this.isClosed) return;
      const live = await store.get(liveKey(job.id), READ_TIMEOUT);
      if (this.isClosed) return;
      if (live.kind === 'found') {
        this.resolveLive(record, live);
        return;
      }
      if (live.kind === 'absent') {
        const final = await store.get(finalKey(job.id), READ_TIMEOUT);
        if (final.kind === 'found') {
          outcomeHandler.onCommitted(record, final.revision, decodeFinal(final.data));
          return;
        }
        if (final.kind === 'absent' && this.resolveAbsent(record)) return;
      }
      await sleep(clock, RETRY_INTERVAL);
    }
  }

  private resolveLive(record: PendingRecord, live: ReadResult & { kind: 'found' }): void {
    const { epoch, outcomeHandler } = this.options;
    const { job } = record;
    const writeId = writeIdOf(live.data);
    if (live.revision === job.revision) outcomeHandler.onNotCommitted(record);
    else if (writeId?.epoch === epoch && writeId.version === record.version) {
      outcomeHandler.onCommitted(record, live.revision, undefined);
    } else outcomeHandler.onReplaced(job, live.data, live.revision);
  }

  /** The store has neither a live nor a final record. False if that is impossible and the reads must be repeated. */
  private resolveAbsent(record: PendingRecord): boolean {
    const { outcomeHandler, log } = this.options;
    const { job } = record;
    if (job.revision > 0) {
      log.error({ job: job.id }, 'store has no record of a live job; reading it again');
      return false;
    }
    outcomeHandler.onNotCommitted(record);
    return true;
  }
}
