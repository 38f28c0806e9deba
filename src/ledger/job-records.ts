/**
 * Reads and writes job records in the store without a ledger. Any controller, including the leader, looks up jobs and
 * reads inbox entries here; only a controller that can't reach a leader creates and cancels jobs here for its users.
 */
import type { StoreClient } from '../store/client.js';
import type { CommitResult } from '../store/results.js';
import {
  Epoch,
  JobId,
  Revision,
  ms,
  type Clock,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import type { StoreCondition, JobSpec, StoreWrite } from '../wire/index.js';
import { decodeFinal, encodeFinal } from './final-record.js';
import { FinalStateCache, type KnownFinalState } from './final-state-cache.js';
import { decodeJob } from './job-codec.js';
import { Job } from './job.js';
import type { RecordLimits } from './record-limits.js';
import {
  LEADER_KEY,
  INBOX_PREFIX,
  cancellationInboxKey,
  creationInboxKey,
  finalKey,
  liveKey,
  parseInboxKey,
  type InboxEntryContents,
} from './store-keys.js';

const STORE_TIMEOUT = ms(1500);
const WATCH_TIMEOUT = ms(10_000);
/** The longest time for which a user's request may be queued for the store. One that would wait longer is refused. */
const MAX_QUEUE_WAIT = ms(1000);
const USER_REQUEST_OPTIONS = { queueTimeout: MAX_QUEUE_WAIT };
const MAX_CACHED_FINAL_STATES = 2000;
/** The epoch in records that no leader wrote. */
const NO_EPOCH = Epoch(0);

/** The result of looking up a job in the store. */
export type StoredJob =
  | { kind: 'live'; job: Job }
  | ({ kind: 'final' } & KnownFinalState)
  /** The store has no record of the job. */
  | { kind: 'absent' }
  /** The store could not be read, or a write got no response. */
  | { kind: 'unknown' };

/** For how long after a read was requested its result may be told to users: the job may have changed since. */
export const STORE_READ_TTL = ms(250);

/** A message to the leader, left in the store by a controller that could not reach it. */
export interface InboxEntry extends InboxEntryContents {
  readonly key: string;
}

/** All inbox entries at one revision of the store. */
export interface InboxSnapshot {
  readonly entries: InboxEntry[];
  readonly revision: Revision;
}

/** Looks up jobs, creates jobs that do not exist yet, and cancels jobs while there is no leader. */
export class JobRecords {
  private readonly finalStates = new FinalStateCache(MAX_CACHED_FINAL_STATES);

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly limits: RecordLimits,
  ) {}

  /**
   * Looks up a job. A live record is only ever replaced by a final one, which is permanent. So a job that is found
   * absent in this order had neither record at the time of the first read. Throws `RecordError` if a record can't be
   * decoded.
   */
  async lookUp(id: JobId): Promise<StoredJob> {
    const cached = this.finalStates.get(id);
    if (cached) return { kind: 'final', ...cached };
    const live = await this.store.get(liveKey(id), STORE_TIMEOUT, USER_REQUEST_OPTIONS);
    if (live.kind === 'failed') return { kind: 'unknown' };
    if (live.kind === 'found') {
      this.limits.onRecordRead(live.data);
      return { kind: 'live', job: decodeJob(id, live.data, live.revision, this.clock.steady()) };
    }
    const stored = await this.store.get(finalKey(id), STORE_TIMEOUT, USER_REQUEST_OPTIONS);
    if (stored.kind === 'failed') return { kind: 'unknown' };
    if (stored.kind === 'absent') return { kind: 'absent' };
    const known = { final: decodeFinal(stored.data), storedBy: this.reachedBy(stored.revision) };
    this.finalStates.set(id, known);
    return { kind: 'final', ...known };
  }

  /** A time by which the store had reached the revision of a record that was read from it. */
  reachedBy(revision: Revision): SteadyMs {
    return this.store.reachedBy(revision);
  }

  /** How long a creation would be queued for the store. */
  creationWait(): DurationMs {
    return this.store.writeWait(2);
  }

  /**
   * Creates a job on a controller that can't reach the leader: the transaction, which includes an inbox entry for
   * the leader, is conditional on the job having no record. So it can't contradict a response of a leader.
   */
  async create(spec: JobSpec): Promise<'created' | 'exists' | 'unknown'> {
    const id = JobId(spec.id);
    const job = new Job(id, spec, this.clock.wall(), Revision(0));
    const result = await this.transact(
      [
        { key: liveKey(id), revision: 0 },
        { key: finalKey(id), revision: 0 },
      ],
      [
        { put: liveKey(id), data: this.limits.encode(job, NO_EPOCH).record },
        { put: creationInboxKey(id), data: {} },
      ],
    );
    if (result.kind === 'committed') return 'created';
    if (result.kind === 'tooLarge') this.limits.onSizeRefusal();
    return result.kind === 'conflict' ? 'exists' : 'unknown';
  }

  /**
   * Cancels a job while there is no leader. The condition that the leader key is absent protects readers: a leader
   * responds from memory, and must never report a job as running after a user was told that it is cancelled.
   */
  async cancel(id: JobId): Promise<StoredJob> {
    const found = await this.lookUp(id);
    if (found.kind !== 'live' || found.job.isCancelled) return found;
    const { job } = found;
    job.cancel();
    const conditions = [
      { key: LEADER_KEY, revision: 0 },
      { key: liveKey(id), revision: job.revision },
    ];
    const result = job.isFinished
      ? await this.transact(
          [...conditions, { key: finalKey(id), revision: 0 }],
          [{ put: finalKey(id), data: encodeFinal(job.finalState()) }, { delete: liveKey(id) }],
        )
      : await this.transact(conditions, [
          { put: liveKey(id), data: this.limits.encode(job, NO_EPOCH).record },
        ]);
    if (result.kind === 'tooLarge') this.limits.onSizeRefusal();
    if (result.kind !== 'committed') return { kind: 'unknown' };
    if (!job.isFinished) {
      job.revision = result.revision;
      return found;
    }
    const known = { final: job.finalState(), storedBy: this.clock.steady() };
    this.finalStates.set(id, known);
    return { kind: 'final', ...known };
  }

  /** Writes an inbox entry that requests the cancellation from the unreachable leader; false if the write failed. */
  async requestCancellation(id: JobId): Promise<boolean> {
    const result = await this.transact(
      [{ key: finalKey(id), revision: 0 }],
      [{ put: cancellationInboxKey(id), data: {} }],
    );
    return result.kind === 'committed';
  }

  private transact(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): Promise<CommitResult> {
    return this.store.transact(conditions, writes, STORE_TIMEOUT, USER_REQUEST_OPTIONS);
  }

  /** Reads all inbox entries; undefined if the read failed. */
  async readInbox(): Promise<InboxSnapshot | undefined> {
    const listed = await this.store.list(INBOX_PREFIX, STORE_TIMEOUT);
    if (!listed) return undefined;
    const entries = listed.items.map(({ key }) => ({ key, ...parseInboxKey(key) }));
    return { entries, revision: listed.revision };
  }

  /** Waits for an inbox entry after revision `from`, or until the watch times out; false if the watch failed. */
  async watchInbox(from: Revision): Promise<boolean> {
    return (await this.store.watch(INBOX_PREFIX, from, WATCH_TIMEOUT)) !== 'failed';
  }
}
