import type { StoreClient } from '../store/client.js';
import { Epoch, JobId, Revision, ms, type Clock, type DurationMs } from '../units/index.js';
import type { JobSpec } from '../wire/index.js';
import { LEADER_KEY, decodeFinal, decodeJob, doneKey, encodeFinal, liveKey } from './codec.js';
import { Job, type Final } from './job.js';
import type { RecordLimits } from './record-limits.js';

const NOTICES = 'inbox/';
const ABORT = '/abort';
const TIMEOUT = ms(1500);
const WATCH = ms(10_000);
/** A user's question or request waits so long for its turn at the store, and is told to come back else. */
const PATIENCE = ms(1000);
const FOR_USER = { patience: PATIENCE };
/** Final records are immutable: those read last need not be read again. */
const MAX_FINALS = 2000;

export type Held =
  | { kind: 'live'; job: Job }
  | { kind: 'final'; final: Final }
  | { kind: 'absent' }
  | { kind: 'unsure' };

/** What another node did, or asks for, on behalf of a user while it can't reach the leader. */
export interface Notice {
  readonly key: string;
  readonly id: JobId;
  readonly abort: boolean;
}

/**
 * What any node may do with the store itself, without being leader: look a job up, take a job in
 * that is not there yet, and cancel one while there is no leader at all.
 */
export class StoreFront {
  private readonly finals = new Map<JobId, Final>();

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly limits: RecordLimits,
  ) {}

  /**
   * A job by the store's word. A live record only ever moves to a final one, which stays, so what is
   * found absent in this order was in neither place when the first answer was given.
   */
  async lookup(id: JobId): Promise<Held> {
    const known = this.finals.get(id);
    if (known) return { kind: 'final', final: known };
    const live = await this.store.get(liveKey(id), TIMEOUT, FOR_USER);
    if (live.kind === 'failed') return { kind: 'unsure' };
    if (live.kind === 'found') {
      this.limits.noteRecord(live.data);
      return { kind: 'live', job: decodeJob(id, live.data, live.revision, this.clock.steady()) };
    }
    const done = await this.store.get(doneKey(id), TIMEOUT, FOR_USER);
    if (done.kind === 'failed') return { kind: 'unsure' };
    if (done.kind === 'absent') return { kind: 'absent' };
    return { kind: 'final', final: this.remember(id, decodeFinal(done.data)) };
  }

  private remember(id: JobId, final: Final): Final {
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
  async create(spec: JobSpec): Promise<'created' | 'exists' | 'unsure'> {
    const id = JobId(spec.id);
    const job = new Job(id, spec, this.clock.wall(), Revision(0));
    const result = await this.store.multi(
      [
        { key: liveKey(id), revision: 0 },
        { key: doneKey(id), revision: 0 },
      ],
      [
        { put: liveKey(id), data: this.limits.encode(job, Epoch(0)).record },
        { put: this.noticeKey(id), data: {} },
      ],
      TIMEOUT,
      FOR_USER,
    );
    if (result.kind === 'committed') return 'created';
    if (result.kind === 'oversize') this.limits.noteRefusal();
    return result.kind === 'conflict' ? 'exists' : 'unsure';
  }

  /**
   * Cancels while no leader exists. The condition that the leader key is absent protects readers:
   * a leader answers from memory, and must never call running what somebody was told is cancelled.
   */
  async abort(id: JobId): Promise<Held> {
    const held = await this.lookup(id);
    if (held.kind !== 'live' || held.job.aborted) return held;
    const { job } = held;
    job.abort();
    const conditions = [
      { key: LEADER_KEY, revision: 0 },
      { key: liveKey(id), revision: job.revision },
    ];
    const result = job.settled
      ? await this.store.multi(
          [...conditions, { key: doneKey(id), revision: 0 }],
          [{ put: doneKey(id), data: encodeFinal(job.final()) }, { delete: liveKey(id) }],
          TIMEOUT,
          FOR_USER,
        )
      : await this.store.multi(
          conditions,
          [{ put: liveKey(id), data: this.limits.encode(job, Epoch(0)).record }],
          TIMEOUT,
          FOR_USER,
        );
    if (result.kind === 'oversize') this.limits.noteRefusal();
    if (result.kind !== 'committed') return { kind: 'unsure' };
    return job.settled ? { kind: 'final', final: job.final() } : held;
  }

  /** Leaves word for a leader that can't be reached that a user cancels the job. */
  async requestAbort(id: JobId): Promise<boolean> {
    const put = await this.store.multi(
      [{ key: doneKey(id), revision: 0 }],
      [{ put: `${this.noticeKey(id)}${ABORT}`, data: {} }],
      TIMEOUT,
      FOR_USER,
    );
    return put.kind === 'committed';
  }

  private noticeKey(id: JobId): string {
    return `${NOTICES}${id}`;
  }

  async notices(): Promise<{ notices: Notice[]; revision: Revision } | undefined> {
    const listed = await this.store.list(NOTICES, TIMEOUT);
    if (!listed) return undefined;
    const notices = listed.items.map(({ key }) => {
      const abort = key.endsWith(ABORT);
      return {
        key,
        id: JobId(key.slice(NOTICES.length, abort ? -ABORT.length : undefined)),
        abort,
      };
    });
    return { notices, revision: listed.revision };
  }

  /** Waits for a further notice; false if that could not be done. */
  async followNotices(from: Revision): Promise<boolean> {
    return (await this.store.follow(NOTICES, from, WATCH)) !== undefined;
  }
}
