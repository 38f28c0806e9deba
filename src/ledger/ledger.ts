import { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Commit, StoreClient } from '../store/client.js';
import { Backoff } from '../store/budget.js';
import {
  ms,
  sleep,
  since,
  type Clock,
  type Epoch,
  type JobId,
  type Random,
  type Revision,
  type SteadyMs,
} from '../units/index.js';
import type { Condition, Write } from '../wire/index.js';
import {
  decodeFinal,
  decodeJob,
  doneKey,
  encodeFinal,
  encodeJob,
  liveKey,
  markOf,
  sizeOf,
} from './codec.js';
import { Press, type Final, type Job, type Shown } from './job.js';

export const LEADER_KEY = 'leader';

const TXN_TIMEOUT = ms(2000);
const READ_TIMEOUT = ms(2000);
/** Transactions under way at once: a slow one must not hold up the others. */
const MAX_IN_FLIGHT = 3;
/** A transaction may hold 64 KiB in all. */
const MAX_TXN_BYTES = 56 * 1024;
/** Progress that only saves rework after a takeover is written at most this often per job. */
const PROGRESS_EVERY = ms(2000);
const MAX_FINALS = 4000;

interface Waiter {
  readonly version: number;
  readonly settle: (ok: boolean) => void;
}

interface Sent {
  readonly job: Job;
  readonly version: number;
  readonly shown: Shown;
  readonly final: Final | undefined;
}

export interface LedgerEvents {
  /** A version of the job is in the store: what waited for it may happen. */
  committed(job: Job): void;
  /** The store holds another record than ours: `job` takes the place of what we had. */
  adopted(job: Job): void;
  finished(job: Job, final: Final): void;
  /** Another leader wrote the leader key. */
  deposed(): void;
}

/**
 * The live jobs of one epoch and the commit loop that writes them. Each write names the revision
 * it replaces and the leader key's, so nothing that a deposed leader sends can apply.
 */
export class Ledger {
  readonly jobs = new Map<JobId, Job>();
  private readonly finals = new Map<JobId, Final>();
  private readonly waiters = new Map<JobId, Waiter[]>();
  private readonly lastCommit = new Map<JobId, SteadyMs>();
  private readonly lock = new Mutex();
  private readonly backoff: Backoff;
  private inFlight = 0;
  private pumping = false;
  private again = false;
  private closed = false;
  /** Keys to delete along the way: notices of jobs that other nodes took in. */
  private readonly notices = new Set<string>();

  constructor(
    private readonly store: StoreClient,
    private readonly epoch: Epoch,
    private readonly txnOps: number,
    private readonly clock: Clock,
    random: Random,
    private readonly log: Logger,
    private readonly events: LedgerEvents,
  ) {
    this.backoff = new Backoff(clock, random, ms(150), ms(1000));
  }

  close(): void {
    this.closed = true;
    for (const list of this.waiters.values()) for (const w of list) w.settle(false);
    this.waiters.clear();
  }

  final(id: JobId): Final | undefined {
    return this.finals.get(id);
  }

  remember(id: JobId, final: Final): void {
    this.finals.delete(id);
    this.finals.set(id, final);
    if (this.finals.size > MAX_FINALS) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
  }

  insert(job: Job): void {
    this.jobs.set(job.id, job);
  }

  forgetNotice(key: string): void {
    this.notices.add(key);
    this.kick();
  }

  /** Resolves once the job's present version is in the store, or false if that can't be told. */
  written(job: Job): Promise<boolean> {
    if (job.committed >= job.version) return Promise.resolve(true);
    if (this.closed) return Promise.resolve(false);
    return new Promise((settle) => {
      const list = this.waiters.get(job.id) ?? [];
      list.push({ version: job.version, settle });
      this.waiters.set(job.id, list);
      this.kick();
    });
  }

  private settleWaiters(id: JobId, upTo: number, ok: boolean): void {
    const list = this.waiters.get(id);
    if (!list) return;
    const rest: Waiter[] = [];
    for (const w of list) {
      if (w.version <= upTo) w.settle(ok);
      else rest.push(w);
    }
    if (rest.length > 0) this.waiters.set(id, rest);
    else this.waiters.delete(id);
  }

  /** Looks for something to write, now or when the budgets allow. */
  kick(): void {
    if (this.closed) return;
    if (this.pumping) {
      this.again = true;
      return;
    }
    this.pumping = true;
    void this.pump().catch((e: unknown) => {
      this.pumping = false;
      this.log.error({ err: e }, 'commit loop failed');
      this.clock.after(ms(200), () => this.kick());
    });
  }

  private async pump(): Promise<void> {
    // Let everything that happens in this turn gather in one transaction.
    await Promise.resolve();
    do {
      this.again = false;
      while (!this.closed && this.inFlight < MAX_IN_FLIGHT) {
        const pause = this.backoff.remaining();
        if (pause > 0) {
          this.clock.after(pause, () => this.kick());
          break;
        }
        const wait = this.store.writeWait(2);
        if (wait > 0) {
          this.clock.after(wait, () => this.kick());
          break;
        }
        const batch = await this.lock.runExclusive(() => this.assemble());
        if (!batch) break;
        this.inFlight++;
        void this.write(batch).finally(() => {
          this.inFlight--;
          this.kick();
        });
      }
    } while (this.again);
    this.pumping = false;
  }

  private due(job: Job, now: SteadyMs): boolean {
    if (job.inFlight || job.version <= job.committed) return false;
    if (job.press < Press.progress) return true;
    const last = this.lastCommit.get(job.id);
    return last === undefined || since(last, now) >= PROGRESS_EVERY;
  }

  private assemble():
    { sent: Sent[]; conditions: Condition[]; writes: Write[]; notices: string[] } | undefined {
    const now = this.clock.steady();
    const ready: Job[] = [];
    let asleep = false;
    for (const job of this.jobs.values()) {
      if (this.due(job, now)) ready.push(job);
      else if (!job.inFlight && job.version > job.committed) asleep = true;
    }
    if (asleep) this.clock.after(PROGRESS_EVERY, () => this.kick());
    if (ready.length === 0 && this.notices.size === 0) return undefined;
    ready.sort((a, b) => a.press - b.press);
    const sent: Sent[] = [];
    const conditions: Condition[] = [{ key: LEADER_KEY, stamp: this.epoch }];
    const writes: Write[] = [];
    let bytes = 0;
    for (const job of ready) {
      const key = liveKey(job.id);
      // A job that was never written can't be finished: nothing of it ran.
      const final = job.settled && job.revision > 0 ? job.final() : undefined;
      const ops = final ? 2 : 1;
      const record = final ? encodeFinal(final) : encodeJob(job, this.epoch);
      const size = sizeOf(record) + 200;
      if (writes.length + ops > this.txnOps || (bytes > 0 && bytes + size > MAX_TXN_BYTES)) break;
      bytes += size;
      conditions.push({ key, stamp: job.revision });
      if (final) {
        conditions.push({ key: doneKey(job.id), stamp: 0 });
        writes.push({ put: doneKey(job.id), data: record }, { delete: key });
      } else {
        // A creation must not bring back a job that is over.
        if (job.revision === 0) conditions.push({ key: doneKey(job.id), stamp: 0 });
        writes.push({ put: key, data: record });
      }
      job.inFlight = true;
      job.turning = final !== undefined || job.aborted !== job.shown.aborted;
      job.press = Press.none;
      sent.push({
        job,
        version: job.version,
        shown: { aborted: job.aborted, done: job.doneCount, running: job.placed.size },
        final,
      });
    }
    const notices: string[] = [];
    for (const key of this.notices) {
      if (writes.length >= this.txnOps) break;
      writes.push({ delete: key });
      notices.push(key);
      this.notices.delete(key);
    }
    return { sent, conditions, writes, notices };
  }

  private async write(batch: {
    sent: Sent[];
    conditions: Condition[];
    writes: Write[];
    notices: string[];
  }): Promise<void> {
    let result: Commit;
    try {
      result = await this.store.multi(batch.conditions, batch.writes, TXN_TIMEOUT);
    } catch (e) {
      result = { kind: 'unknown', why: (e as Error).message };
    }
    if (this.closed) return;
    if (result.kind !== 'committed') for (const key of batch.notices) this.notices.add(key);
    switch (result.kind) {
      case 'committed': {
        this.backoff.worked();
        const revision = result.revision;
        await this.lock.runExclusive(() => {
          for (const s of batch.sent) this.applied(s, revision);
        });
        return;
      }
      case 'conflict': {
        if (result.failed.includes(LEADER_KEY)) {
          this.events.deposed();
          return;
        }
        const failed = new Set(result.failed);
        await Promise.all(
          batch.sent.map(async (s) => {
            if (failed.has(liveKey(s.job.id)) || failed.has(doneKey(s.job.id))) {
              await this.reread(s);
            } else this.retry(s);
          }),
        );
        return;
      }
      case 'unknown':
        this.log.warn({ why: result.why, jobs: batch.sent.length }, 'commit outcome unknown');
        this.backoff.failed();
        for (const s of batch.sent) {
          if (s.job.revision === 0) s.job.doubtful = true;
          // Whoever waits is told now: the outcome may take long to find out.
          this.settleWaiters(s.job.id, s.version, false);
        }
        await Promise.all(batch.sent.map((s) => this.reread(s)));
        return;
      case 'leaseless':
      case 'refused':
        this.log.info({ why: result.kind === 'refused' ? result.why : '' }, 'commit refused');
        this.backoff.failed();
        for (const s of batch.sent) {
          this.settleWaiters(s.job.id, s.version, false);
          this.retry(s);
        }
    }
  }

  private retry(s: Sent): void {
    s.job.inFlight = false;
    s.job.turning = false;
    // A creation that surely was not carried out is the user's to repeat.
    if (s.job.revision === 0 && !s.job.doubtful) {
      if (!this.waiters.has(s.job.id)) {
        if (this.jobs.get(s.job.id) === s.job) this.jobs.delete(s.job.id);
        return;
      }
    }
    if (s.job.press === Press.none) s.job.press = s.final ? Press.finish : Press.place;
  }

  private applied(s: Sent, revision: Revision): void {
    const { job } = s;
    job.inFlight = false;
    job.turning = false;
    job.doubtful = false;
    job.revision = revision;
    job.committed = Math.max(job.committed, s.version);
    job.shown = s.shown;
    this.lastCommit.set(job.id, this.clock.steady());
    if (s.final) {
      this.remember(job.id, s.final);
      if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
      this.lastCommit.delete(job.id);
      this.settleWaiters(job.id, Infinity, true);
      this.events.finished(job, s.final);
      return;
    }
    this.settleWaiters(job.id, s.version, true);
    this.events.committed(job);
  }

  /**
   * Finds out what the store holds for a job after a conflict or an unknown outcome. Nothing that
   * is concluded here needs the old transaction to be dead: our next write names the revision that
   * was read, so either it or the late one wins, and the loser comes back here.
   */
  private async reread(s: Sent): Promise<void> {
    const { job } = s;
    for (;;) {
      if (this.closed) return;
      const live = await this.store.get(liveKey(job.id), READ_TIMEOUT);
      if (this.closed) return;
      if (live.kind === 'found') {
        const mark = markOf(live.data);
        if (live.stamp === job.revision) this.retry(s);
        else if (mark && mark.epoch === this.epoch && mark.version === s.version) {
          this.applied({ ...s, final: undefined }, live.stamp);
        } else this.adopt(job, live.data, live.stamp);
        return;
      }
      if (live.kind === 'absent') {
        const done = await this.store.get(doneKey(job.id), READ_TIMEOUT);
        if (done.kind === 'found') {
          this.applied({ ...s, final: decodeFinal(done.data) }, done.stamp);
          return;
        }
        if (done.kind === 'absent') {
          if (job.revision > 0) {
            this.log.error({ job: job.id }, 'record of a live job is missing; reading again');
          } else {
            this.retry(s);
            return;
          }
        }
      }
      await sleep(this.clock, ms(300));
    }
  }

  /** The store holds something we did not write: it counts, our view of the job goes. */
  private adopt(job: Job, data: unknown, stamp: Revision): void {
    this.log.warn({ job: job.id }, 'record changed under us; taking what the store holds');
    const fresh = decodeJob(job.id, data, stamp, this.clock.steady());
    this.jobs.set(job.id, fresh);
    this.settleWaiters(job.id, Infinity, false);
    this.events.adopted(fresh);
  }
}
