/** The jobs of a leader and their way into the store. */
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
} from '../units/index.js';
import { BatchAssembler } from './batch-assembler.js';
import { CommitLoop } from './commit-loop.js';
import { CommitQueue } from './commit-queue.js';
import { CommitWaiters } from './commit-waiters.js';
import { JobTable } from './job-table.js';
import type { FinalState, Job } from './job.js';
import type { LedgerEvents } from './ledger-events.js';
import { OutcomeResolver } from './outcome-resolver.js';
import type { RecordLimits } from './record-limits.js';
import { WriteOutcomeHandler } from './write-outcome-handler.js';
import { TransactionWriter } from './transaction-writer.js';

const MIN_FAILURE_BACKOFF = ms(150);
const MAX_FAILURE_BACKOFF = ms(1000);

/** What a ledger works with. */
export interface LedgerOptions {
  readonly store: StoreClient;
  readonly epoch: Epoch;
  readonly limits: RecordLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly events: LedgerEvents;
}

/**
 * The live jobs of one epoch and the commit loop that writes them. Each write names the revision that it replaces
 * and that of the leader key, so nothing that a deposed leader sends can apply.
 */
export class Ledger {
  private readonly table = new JobTable();
  /** The live jobs, those included whose creation is not committed yet. */
  readonly jobs: ReadonlyMap<JobId, Job> = this.table.jobs;
  private readonly waiters = new CommitWaiters();
  private readonly store: StoreClient;
  private readonly backoff: Backoff;
  private readonly queue: CommitQueue;
  private readonly writer: TransactionWriter;
  private readonly loop: CommitLoop;

  constructor({ store, epoch, limits, clock, random, log, events }: LedgerOptions) {
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
    const context = { store, limits, queue, waiters, lock, backoff, clock, log };
    this.writer = new TransactionWriter({ ...context, outcomeHandler, resolver, events });
    const assembler = new BatchAssembler({ store, epoch, limits, queue, clock });
    this.loop = new CommitLoop({ assembler, writer: this.writer, lock, backoff, clock, log });
    this.store = store;
    this.backoff = backoff;
    this.queue = queue;
  }

  /** Writes nothing more. All who wait get false, and so will all who ask later. */
  close(): void {
    this.loop.close();
    this.writer.close();
    this.waiters.close();
  }

  /** The final state of a job that was over lately; undefined if it is not in memory. */
  finalState(id: JobId): FinalState | undefined {
    return this.table.finalStates.get(id);
  }

  /** Keeps a final state that was read from the store. */
  cacheFinalState(id: JobId, final: FinalState): void {
    this.table.finalStates.set(id, final);
  }

  /**
   * Adds a live job. From now on its changes are written: each one schedules the commit loop, which assembles a
   * transaction in a later microtask, so that all changes of one turn go together.
   */
  insert(job: Job): void {
    this.table.set(job);
    this.queue.track(job);
  }

  /** About how long a job that is submitted now will wait for its turn to be written. */
  admissionWait(): DurationMs {
    const pause = this.backoff.remaining();
    return pause > 0 ? pause : this.store.writeBacklog(this.queue.pendingUserRequests + 1);
  }

  /** Deletes a notice that was dealt with, along with other changes. */
  deleteInboxEntry(key: string): void {
    this.queue.addHandledInboxKey(key);
    this.scheduleCommit();
  }

  /** Resolves to true once the job's present version is in the store, to false if it is not known to be. */
  whenCommitted(job: Job): Promise<boolean> {
    if (job.committedVersion >= job.version) return Promise.resolve(true);
    const committed = this.waiters.wait(job.id, job.version);
    this.scheduleCommit();
    return committed;
  }

  /** Looks for something to write, now or when the budgets allow. */
  scheduleCommit(): void {
    this.loop.schedule();
  }
}
