/** Sends transactions to the store and handles the outcome for each record in them. */
import type { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Backoff } from '../store/backoff.js';
import type { StoreClient } from '../store/client.js';
import type { CommitResult } from '../store/results.js';
import { addDuration, ms, Revision, type Clock, type Epoch } from '../units/index.js';
import type { Batch, PendingRecord } from './batch.js';
import type { CommitQueue } from './commit-queue.js';
import type { CommitWaiters } from './commit-waiters.js';
import type { LedgerEvents } from './ledger-events.js';
import type { OutcomeResolver } from './outcome-resolver.js';
import type { RecordLimits } from './record-limits.js';
import { LEADER_KEY, finalKey, liveKey } from './store-keys.js';
import type { WriteOutcomeHandler } from './write-outcome-handler.js';

const TRANSACTION_TIMEOUT = ms(2000);
/** The delay before a record that is too large even by itself is retried. It shrinks as its tasks end. */
const OVERSIZE_RETRY_DELAY = ms(2000);

/** The dependencies of a writer. */
export interface TransactionWriterOptions {
  readonly store: Pick<StoreClient, 'transact'>;
  readonly epoch: Epoch;
  readonly limits: RecordLimits;
  readonly queue: CommitQueue;
  readonly waiters: CommitWaiters;
  readonly outcomeHandler: WriteOutcomeHandler;
  readonly resolver: OutcomeResolver;
  readonly events: Pick<LedgerEvents, 'onLeaderKeyLost'>;
  /** Held while a commit is recorded, so that no transaction is assembled meanwhile. */
  readonly lock: Mutex;
  /** Delays all writing after failures. */
  readonly backoff: Backoff;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Writes transactions until `close`. The outcome of a transaction that is in flight at that time is ignored. */
export class TransactionWriter {
  private isClosed = false;
  private committedRevision: Revision;

  constructor(private readonly options: TransactionWriterOptions) {
    this.committedRevision = Revision(options.epoch);
  }

  /** The highest revision of a transaction that the store confirmed; the epoch before the first one. */
  get lastCommittedRevision(): Revision {
    return this.committedRevision;
  }

  close(): void {
    this.isClosed = true;
    this.options.resolver.close();
  }

  /** Resolves once the outcome of each record in the transaction is known. */
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
        backoff.recordSuccess();
        const { revision } = result;
        this.committedRevision = Revision(Math.max(this.committedRevision, revision));
        await lock.runExclusive(() => this.onCommitted(batch, revision));
        return;
      }
      case 'conflict':
        if (result.failed.includes(LEADER_KEY)) events.onLeaderKeyLost();
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

  /** Queues the inbox entries again for deletion, since this transaction is not known to have deleted them. */
  private putBackInboxKeys(batch: Batch): void {
    for (const key of batch.inboxKeys) this.options.queue.addHandledInboxKey(key);
  }

  private onCommitted(batch: Batch, revision: Revision): void {
    for (const record of batch.records) {
      this.options.outcomeHandler.onCommitted(record, revision, record.finalState);
    }
  }

  /** The transaction was not applied. Records whose own conditions held are written again. */
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
    log.warn(
      { reason, jobs: batch.records.length },
      'commit outcome unknown; reading the records back from the store',
    );
    backoff.recordFailure();
    for (const { job, version } of batch.records) {
      if (job.revision === 0) job.isCreationOutcomeUnknown = true;
      // Until a later write is applied, this one may be applied, and others may read the job's end in the store.
      if (job.hasTerminalWriteInFlight) job.isTerminalOutcomeUnknown = true;
      // Waiters get a result now, since it may take long to determine the outcome.
      waiters.resolveUpTo(job.id, version, false);
    }
    return Promise.all(batch.records.map((record) => resolver.resolve(record)));
  }

  /**
   * The state store may have lowered its limits since the transaction was assembled: then all records are encoded
   * again in the smaller format. Otherwise one record is too large, and must not delay the others until it shrinks.
   */
  private onTooLarge(records: readonly PendingRecord[]): void {
    const { limits, queue, waiters, outcomeHandler, clock, log } = this.options;
    const areLimitsNewlyLowered = limits.onSizeRefusal();
    log.warn(
      { jobs: records.length, isNews: areLimitsNewlyLowered },
      'commit refused as too large; its records are encoded smaller or written one by one',
    );
    const now = clock.steady();
    const isSingle = records.length === 1;
    for (const record of records) {
      const { job, version } = record;
      if (!areLimitsNewlyLowered) {
        queue.retryInOwnTransaction(job, isSingle ? addDuration(now, OVERSIZE_RETRY_DELAY) : now);
        if (isSingle) waiters.resolveUpTo(job.id, version, false);
      }
      outcomeHandler.onNotCommitted(record);
    }
  }

  private onRefused(batch: Batch, reason: string): void {
    const { waiters, outcomeHandler, backoff, log } = this.options;
    log.info({ reason }, 'commit refused; further writes wait for a backoff');
    backoff.recordFailure();
    for (const record of batch.records) {
      waiters.resolveUpTo(record.job.id, record.version, false);
      outcomeHandler.onNotCommitted(record);
    }
  }
}
