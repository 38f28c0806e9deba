import type { StoreClient } from '../store/client.js';
import { Epoch, JobId, Revision, ms, type Clock, type DurationMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import { LEADER_KEY, decodeFinal, decodeJob, finalKey, encodeFinal, liveKey } from './codec.js';
import { Job, type FinalState } from './job.js';
import type { RecordLimits } from './record-limits.js';

const NOTICE_PREFIX = 'inbox/';
const CANCEL_SUFFIX = '/abort';
const STORE_TIMEOUT = ms(1500);
const WATCH_TIMEOUT = ms(10_000);
/** A user's question or request waits so long for its turn at the store, and is told to come back else. */
const MAX_QUEUE_WAIT = ms(1000);
const USER_CALL = { patience: MAX_QUEUE_WAIT };
/** Final records are immutable: those read last need not be read again. */
const MAX_FINALS = 2000;

export type StoredJob =
  | { kind: 'live'; job: Job }
  | { kind: 'final'; final: FinalState }
  | { kind: 'absent' }
  | { kind: 'unknown' };

/** What another node did, or asks for, on behalf of a user while it can't reach the leader. */
export interface Notice {
  readonly key: string;
  readonly id: JobId;
  readonly cancels: boolean;
}

/**
 * What any node may do with the store itself, without being leader: look a job up, take a job in
 * that is not there yet, and cancel one while there is no leader at all.
 */
export class JobRecords {
  private readonly finals = new Map<JobId, FinalState>();

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly limits: RecordLimits,
  ) {}

  /**
   * A job by the store's word. A live record only ever moves to a final one, which stays, so what is
   * found absent in this order was in neither place when the first answer was given.
   */
  async lookup(id: JobId): Promise<StoredJob> {
    const known = this.finals.get(id);
    if (known) return { kind: 'final', final: known };
    const live = await this.store.get(liveKey(id), STORE_TIMEOUT, USER_CALL);
    if (live.kind === 'failed') return { kind: 'unknown' };
    if (live.kind === 'found') {
      this.limits.noteRecord(live.data);
      return { kind: 'live', job: decodeJob(id, live.data, live.revision, this.clock.steady()) };
    }
    const done = await this.store.get(finalKey(id), STORE_TIMEOUT, USER_CALL);
    if (done.kind === 'failed') return { kind: 'unknown' };
    if (done.kind === 'absent') return { kind: 'absent' };
    return { kind: 'final', final: this.rememberFinal(id, decodeFinal(done.data)) };
  }

  private rememberFinal(id: JobId, final: FinalState): FinalState {
    this.finals.set(id, final);
    if (this.finals.size > MAX_FINALS) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
    return final;
  }

  /** How long a creation would wait for its turn. */
  createWait(): DurationMs {
    return this.store.writeWait(2);
  }

  /**
   * The exception to intake through the leader: the job is committed by this node, if it is in no
   * record, together with a notice for the leader. It can take nothing back that a leader said.
   */
  async create(spec: JobSpec): Promise<'created' | 'exists' | 'unknown'> {
    const id = JobId(spec.id);
    const job = new Job(id, spec, this.clock.wall(), Revision(0));
    const result = await this.store.transact(
      [
        { key: liveKey(id), revision: 0 },
        { key: finalKey(id), revision: 0 },
      ],
      [
        { put: liveKey(id), data: this.limits.encode(job, Epoch(0)).record },
        { put: this.noticeKey(id), data: {} },
      ],
      STORE_TIMEOUT,
      USER_CALL,
    );
    if (result.kind === 'committed') return 'created';
    if (result.kind === 'tooLarge') this.limits.noteRefusal();
    return result.kind === 'conflict' ? 'exists' : 'unknown';
  }

  /**
   * Cancels while no leader exists. The condition that the leader key is absent protects readers:
   * a leader answers from memory, and must never call running what somebody was told is cancelled.
   */
  async cancel(id: JobId): Promise<StoredJob> {
    const held = await this.lookup(id);
    if (held.kind !== 'live' || held.job.cancelled) return held;
    const { job } = held;
    job.cancel();
    const conditions = [
      { key: LEADER_KEY, revision: 0 },
      { key: liveKey(id), revision: job.revision },
    ];
    const result = job.isSettled
      ? await this.store.transact(
          [...conditions, { key: finalKey(id), revision: 0 }],
          [{ put: finalKey(id), data: encodeFinal(job.finalState()) }, { delete: liveKey(id) }],
          STORE_TIMEOUT,
          USER_CALL,
        )
      : await this.store.transact(
          conditions,
          [{ put: liveKey(id), data: this.limits.encode(job, Epoch(0)).record }],
          STORE_TIMEOUT,
          USER_CALL,
        );
    if (result.kind === 'tooLarge') this.limits.noteRefusal();
    if (result.kind !== 'committed') return { kind: 'unknown' };
    return job.isSettled ? { kind: 'final', final: job.finalState() } : held;
  }

  /** Leaves word for a leader that can't be reached that a user cancels the job. */
  async requestCancellation(id: JobId): Promise<boolean> {
    const put = await this.store.transact(
      [{ key: finalKey(id), revision: 0 }],
      [{ put: `${this.noticeKey(id)}${CANCEL_SUFFIX}`, data: {} }],
      STORE_TIMEOUT,
      USER_CALL,
    );
    return put.kind === 'committed';
  }

  private noticeKey(id: JobId): string {
    return `${NOTICE_PREFIX}${id}`;
  }

  async notices(): Promise<{ notices: Notice[]; revision: Revision } | undefined> {
    const listed = await this.store.list(NOTICE_PREFIX, STORE_TIMEOUT);
    if (!listed) return undefined;
    const notices = listed.items.map(({ key }) => {
      const cancels = key.endsWith(CANCEL_SUFFIX);
      const end = cancels ? -CANCEL_SUFFIX.length : undefined;
      return { key, id: JobId(key.slice(NOTICE_PREFIX.length, end)), cancels };
    });
    return { notices, revision: listed.revision };
  }

  /** Waits for a further notice; false if that could not be done. */
  async watchNotices(from: Revision): Promise<boolean> {
    return (await this.store.watch(NOTICE_PREFIX, from, WATCH_TIMEOUT)) !== 'failed';
  }
}
