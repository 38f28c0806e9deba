/**
 * Jobs as the store holds them. Any node, the leader too, looks jobs up and reads notices; only a node without a
 * reachable leader creates and cancels jobs here, on behalf of users.
 */
import type { StoreClient } from '../store/client.js';
import type { CommitResult } from '../store/results.js';
import { Epoch, JobId, Revision, ms, type Clock, type DurationMs } from '../units/index.js';
import type { Condition, JobSpec, Write } from '../wire/index.js';
import { decodeJob } from './job-codec.js';
import { FinalStateCache } from './final-state-cache.js';
import { decodeFinal, encodeFinal } from './final-record.js';
import { Job, type FinalState } from './job.js';
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
/** The longest wait of a user's request for its turn at the store; past it the request is refused at once. */
const MAX_QUEUE_WAIT = ms(1000);
const USER_REQUEST_OPTIONS = { queueTimeout: MAX_QUEUE_WAIT };
/** How many final states are kept in memory. */
const MAX_FINAL_STATES = 2000;
/** What records name as their writer's epoch if no leader wrote them. */
const NO_EPOCH = Epoch(0);

/** A job as the store has it. */
export type StoredJob =
  | { kind: 'live'; job: Job }
  | { kind: 'final'; final: FinalState }
  /** The store has no record of it. */
  | { kind: 'absent' }
  /** The store could not be read, or did not answer a write. */
  | { kind: 'unknown' };

/** A message to the leader in the store: what another node did, or asks for, while it can't reach the leader. */
export interface InboxEntry extends InboxEntryContents {
  readonly key: string;
}

/** All notices at one revision of the store. */
export interface InboxSnapshot {
  readonly entries: InboxEntry[];
  readonly revision: Revision;
}

/** Looks jobs up, creates those that do not exist yet, and cancels them while there is no leader at all. */
export class JobRecords {
  private readonly finalStates = new FinalStateCache(MAX_FINAL_STATES);

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly limits: RecordLimits,
  ) {}

  /**
   * Reads a job. A live record only ever moves to a final one, which stays, so what is found absent in this
   * order was in neither place when the first answer was given. Throws `RecordError` if a record can't be read.
   */
  async lookUp(id: JobId): Promise<StoredJob> {
    const known = this.finalStates.get(id);
    if (known) return { kind: 'final', final: known };
    const live = await this.store.get(liveKey(id), STORE_TIMEOUT, USER_REQUEST_OPTIONS);
    if (live.kind === 'failed') return { kind: 'unknown' };
    if (live.kind === 'found') {
      this.limits.onRecordRead(live.data);
      return { kind: 'live', job: decodeJob(id, live.data, live.revision, this.clock.steady()) };
    }
    const stored = await this.store.get(finalKey(id), STORE_TIMEOUT, USER_REQUEST_OPTIONS);
    if (stored.kind === 'failed') return { kind: 'unknown' };
    if (stored.kind === 'absent') return { kind: 'absent' };
    const final = decodeFinal(stored.data);
    this.finalStates.set(id, final);
    return { kind: 'final', final };
  }

  /** How long a creation would wait for its turn. */
  creationWait(): DurationMs {
    return this.store.writeWait(2);
  }

  /**
   * Creates a job on a node that can't reach the leader: it is committed if it is in no record, together with
   * a notice for the leader. It can't contradict what a leader answered.
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
    if (result.kind === 'tooLarge') this.limits.recordSizeRefusal();
    return result.kind === 'conflict' ? 'exists' : 'unknown';
  }

  /**
   * Cancels while no leader exists. The condition that the leader key is absent protects readers:
   * a leader answers from memory, and must never call running what a user was told is cancelled.
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
    if (result.kind === 'tooLarge') this.limits.recordSizeRefusal();
    if (result.kind !== 'committed') return { kind: 'unknown' };
    return job.isFinished ? { kind: 'final', final: job.finalState() } : found;
  }

  /** Leaves a notice that a user cancels the job, for a leader that can't be reached; false if that failed. */
  async requestCancellation(id: JobId): Promise<boolean> {
    const result = await this.transact(
      [{ key: finalKey(id), revision: 0 }],
      [{ put: cancellationInboxKey(id), data: {} }],
    );
    return result.kind === 'committed';
  }

  private transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): Promise<CommitResult> {
    return this.store.transact(conditions, writes, STORE_TIMEOUT, USER_REQUEST_OPTIONS);
  }

  /** All notices for the leader; undefined if they could not be read. */
  async readInbox(): Promise<InboxSnapshot | undefined> {
    const listed = await this.store.list(INBOX_PREFIX, STORE_TIMEOUT);
    if (!listed) return undefined;
    const entries = listed.items.map(({ key }) => ({ key, ...parseInboxKey(key) }));
    return { entries, revision: listed.revision };
  }

  /** Waits for a notice that is later than `from`, or for some seconds; false if that could not be done. */
  async watchInbox(from: Revision): Promise<boolean> {
    return (await this.store.watch(INBOX_PREFIX, from, WATCH_TIMEOUT)) !== 'failed';
  }
}
