/** The jobs of a leader, and how their changes are written to the store. */
import { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import { Backoff } from '../store/backoff.js';
import type { StoreClient } from '../store/client.js';
import {
  ms,
  type Clock,
  type DurationMs,
  type Epoch,
  type JobId,
  type Random,
  type Revision,
} from '../units/index.js';
import { BatchAssembler } from './batch-assembler.js';
import { CommitLoop } from './commit-loop.js';
import { CommitQueue } from './commit-queue.js';
import { CommitWaiters } from './commit-waiters.js';
import type { KnownFinalState } from './final-state-cache.js';
import { JobTable } from './job-table.js';
import type { FinalState, Job } from './job.js';
import type { LedgerEvents } from './ledger-events.js';
import { OutcomeResolver } from './outcome-resolver.js';
import type { RecordLimits } from './record-limits.js';
import { TransactionWriter } from './transaction-writer.js';
import { NO_WRITE_HOLD, type WriteHold } from './write-hold.js';
import { WriteOutcomeHandler } from './write-outcome-handler.js';

const MIN_FAILURE_BACKOFF = ms(150);
const MAX_FAILURE_BACKOFF = ms(1000);

/** The dependencies of a ledger. */
export interface LedgerOptions {
  readonly store: StoreClient;
  readonly epoch: Epoch;
  readonly limits: RecordLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly events: LedgerEvents;
  /** What records wait for; nothing by default. */
  readonly hold?: WriteHold;
}

/**
 * The live jobs of one epoch, and the commit loop that writes them to the store. Each transaction is conditional on
 * the revisions of the records that it replaces and of the leader key, so that no write of a former leader is applied.
 */
export class Ledger {
  private readonly table = new JobTable();
  /** The live jobs, including those whose creation is not committed yet. */
  readonly jobs: ReadonlyMap<JobId, Job> = this.table.jobs;
  private readonly waiters = new CommitWaiters();
  private readonly store: StoreClient;
  private readonly backoff: Backoff;
  private readonly queue: CommitQueue;
  private readonly writer: TransactionWriter;
  private readonly loop: CommitLoop;

  constructor(options: LedgerOptions) {
    const { store, epoch, limits, clock, random, log, events, hold = NO_WRITE_HOLD } = options;
    const { table, waiters } = this;
    const lock = new Mutex();
    const backoff = new Backoff(clock, random, MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF);
    const queue = new CommitQueue(clock, () => this.scheduleCommit());
    const outcomeHandler = new WriteOutcomeHandler({
      table,
      queue,
      waiters,
      limits,
      events,
      clock,
      log,
    });
    const resolver = new OutcomeResolver({ store, epoch, outcomeHandler, clock, log });
    const context = { store, epoch, limits, queue, waiters, lock, backoff, clock, log };
    this.writer = new TransactionWriter({ ...context, outcomeHandler, resolver, events });
    const assembler = new BatchAssembler({ store, epoch, limits, queue, hold, clock });
    this.loop = new CommitLoop({ assembler, writer: this.writer, lock, backoff, clock, log });
    this.store = store;
    this.backoff = backoff;
    this.queue = queue;
  }

  /** Stops all writing. Pending `whenCommitted` promises resolve to false, as do later ones that would have to wait. */
  close(): void {
    this.loop.close();
    this.writer.close();
    this.waiters.close();
  }

  /**
   * The revision of the latest transaction that the store confirmed under this epoch; the epoch before the first one.
   * At that revision the leader key was still that of this epoch.
   */
  get lastCommittedRevision(): Revision {
    return this.writer.lastCommittedRevision;
  }

  /** The final state of a recently finished job; undefined if it is not in memory. */
  finalState(id: JobId): FinalState | undefined {
    return this.knownFinalState(id)?.final;
  }

  /** The same, with a time by which the final record was in the store. */
  knownFinalState(id: JobId): KnownFinalState | undefined {
    return this.table.finalStates.get(id);
  }

  /** Caches a final state that was read from the store. */
  cacheFinalState(id: JobId, known: KnownFinalState): void {
    this.table.finalStates.set(id, known);
  }

  /**
   * Adds a live job and starts to write its changes. Each change schedules the commit loop, which assembles the
   * transaction in a later microtask, so that all changes made in the current turn are written together.
   */
  insert(job: Job): void {
    this.table.set(job);
    this.queue.track(job);
  }

  /** Estimates how long a job submitted now would wait before its record is written. */
  admissionWait(): DurationMs {
    const pause = this.backoff.remaining();
    return pause > 0 ? pause : this.store.writeBacklog(this.queue.pendingUserRequests + 1);
  }

  /** Deletes an inbox entry that has been handled, together with other changes. */
  deleteInboxEntry(key: string): void {
    this.queue.addHandledInboxKey(key);
    this.scheduleCommit();
  }

  /** Resolves to true once the current version of the job is in the store, to false if that can't be confirmed. */
  whenCommitted(job: Job): Promise<boolean> {
    if (job.committedVersion >= job.version) return Promise.resolve(true);
    const committed = this.waiters.wait(job.id, job.version);
    this.scheduleCommit();
    return committed;
  }

  /** Runs the commit loop, which writes what is due now or once the rate limits of the store allow. */
  scheduleCommit(): void {
    this.loop.schedule();
  }
}
