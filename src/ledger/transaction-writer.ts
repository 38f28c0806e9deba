/** Sends transactions to the store and passes on their outcomes, record by record. */
import type { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Backoff } from '../store/backoff.js';
import type { StoreClient } from '../store/client.js';
import type { CommitResult } from '../store/results.js';
import { later, ms, type Clock, type Revision } from '../units/index.js';
import type { Batch, PendingRecord } from './batch.js';
import type { CommitQueue } from './commit-queue.js';
import type { CommitWaiters } from './commit-waiters.js';
import type { LedgerEvents } from './ledger-events.js';
import type { OutcomeResolver } from './outcome-resolver.js';
import type { RecordLimits } from './record-limits.js';
import type { WriteOutcomeHandler } from './write-outcome-handler.js';
import { LEADER_KEY, finalKey, liveKey } from './store-keys.js';

const TRANSACTION_TIMEOUT = ms(2000);
/** How long a record that is too large even by itself is not tried again: as its tasks end, it shrinks. */
const OVERSIZE_RETRY_DELAY = ms(2000);

/** What a writer works with. */
export interface TransactionWriterOptions {
  readonly store: Pick<StoreClient, 'transact'>;
  readonly limits: RecordLimits;
  readonly queue: CommitQueue;
  readonly waiters: CommitWaiters;
  readonly outcomeHandler: WriteOutcomeHandler;
  readonly resolver: OutcomeResolver;
  readonly events: Pick<LedgerEvents, 'onLeadershipLost'>;
  /** While commits are taken in, no transaction is assembled. */
  readonly lock: Mutex;
  /** Pauses all writing after failures. */
  readonly backoff: Backoff;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Writes transactions until `close`; the outcome of one that is under way then is dropped. */
export class TransactionWriter {
  private isClosed = false;

  constructor(private readonly options: TransactionWriterOptions) {}

  close(): void {
    this.isClosed = true;
    this.options.resolver.close();
  }

  /** Resolves once the outcome of each record in it is known. */
  async write(batch: Batch): Promise<void> {
    const { store, backoff, lock, events } = this.options;
    let result: CommitResult;
    try {
      result = await store.transact(batch.conditions, batch.writes, TRANSACTION_TIMEOUT);
    } catch (error) {
      result = { kind: 'unknown', reason: (error as Error).message };
    }
    if (this.isClosed) return;
    if (result.kind !== 'committed') this.putBackInboxKeys(batch);
    switch (result.kind) {
      case 'committed': {
        backoff.noteSuccess();
        const { revision } = result;
        await lock.runExclusive(() => this.onCommitted(batch, revision));
        return;
      }
      case 'conflict':
        if (result.failed.includes(LEADER_KEY)) events.onLeadershipLost();
        else await this.resolveConflict(batch, new Set(result.failed));
        return;
      case 'unknown':
        await this.resolveUnknown(batch, result.reason);
        return;
      case 'tooLarge':
        this.onTooLarge(batch.records);
        return;
      case 'leaseExpired':
      case 'refused':
        this.onRefused(batch, result.kind === 'refused' ? result.reason : '');
    }
  }

  /** Notices that were not deleted, as far as is known, are deleted with a later transaction. */
  private putBackInboxKeys(batch: Batch): void {
    for (const key of batch.inboxKeys) this.options.queue.addHandledInboxKey(key);
  }

  private onCommitted(batch: Batch, revision: Revision): void {
    for (const record of batch.records) {
      this.options.outcomeHandler.onCommitted(record, revision, record.finalState);
    }
  }

  /** Nothing of the transaction was carried out: records whose own conditions held are just written again. */
  private resolveConflict(batch: Batch, failed: ReadonlySet<string>): Promise<unknown> {
    const { outcomeHandler, resolver } = this.options;
    return Promise.all(
      batch.records.map(async (record) => {
        const { id } = record.job;
        if (failed.has(liveKey(id)) || failed.has(finalKey(id))) await resolver.resolve(record);
        else outcomeHandler.onNotCommitted(record);
      }),
    );
  }

  private resolveUnknown(batch: Batch, reason: string): Promise<unknown> {
    const { waiters, resolver, backoff, log } = this.options;
    log.warn({ reason, jobs: batch.records.length }, 'commit outcome unknown');
    backoff.noteFailure();
    for (const { job, version } of batch.records) {
      if (job.revision === 0) job.isCreationOutcomeUnknown = true;
      // It may still be carried out, and others read the job's end in the store, until a later write is.
      if (job.hasTerminalWriteInFlight) job.isTerminalOutcomeUnknown = true;
      // Those who wait are answered now: it may take long to find out the outcome.
      waiters.resolveUpTo(job.id, version, false);
    }
    return Promise.all(batch.records.map((record) => resolver.resolve(record)));
  }

  /**
   * The limits of the state service may have been lowered since this was made: then all is written anew,
   * smaller. Otherwise one record is at fault, and must not delay the others until it has shrunk.
   */
  private onTooLarge(records: readonly PendingRecord[]): void {
    const { limits, queue, waiters, outcomeHandler, clock, log } = this.options;
    const areLimitsNewlyLowered = limits.recordSizeRefusal();
    log.warn(
      { jobs: records.length, isNews: areLimitsNewlyLowered },
      'commit refused as too large',
    );
    const now = clock.steady();
    const isSingle = records.length === 1;
    for (const record of records) {
      const { job, version } = record;
      if (!areLimitsNewlyLowered) {
        queue.retryInOwnTransaction(job, isSingle ? later(now, OVERSIZE_RETRY_DELAY) : now);
        if (isSingle) waiters.resolveUpTo(job.id, version, false);
      }
      outcomeHandler.onNotCommitted(record);
    }
  }

  private onRefused(batch: Batch, reason: string): void {
    const { waiters, outcomeHandler, backoff, log } = this.options;
    log.info({ reason }, 'commit refused');
    backoff.noteFailure();
    for (const record of batch.records) {
      waiters.resolveUpTo(record.job.id, record.version, false);
      outcomeHandler.onNotCommitted(record);
    }
  }
}
