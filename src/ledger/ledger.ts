import { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { Commit, StoreClient } from '../store/client.js';
import { Backoff } from '../store/budget.js';
import {
  later,
  ms,
  sleep,
  since,
  type Clock,
  type DurationMs,
  type Epoch,
  type JobId,
  type Random,
  type Revision,
  type SteadyMs,
  type Timer,
} from '../units/index.js';
import { BatchBuilder, changesOf, type Batch, type Sent } from './batch.js';
import { LEADER_KEY, decodeFinal, decodeJob, doneKey, liveKey, markOf } from './codec.js';
import { rankOf } from './queue.js';
import type { RecordLimits } from './record-limits.js';
import { Press, type Final, type Job } from './job.js';

const TXN_TIMEOUT = ms(2000);
const READ_TIMEOUT = ms(2000);
/** Transactions under way at once: a slow one must not hold up the others. */
const MAX_IN_FLIGHT = 3;
/** Progress that only saves rework after a takeover is written at most this often per job. */
const PROGRESS_EVERY = ms(2000);
/** Progress leaves this share of a full burst of writes to what may come next. */
const PROGRESS_LEAVES = 0.6;
/**
 * How long each kind of change may be held up by others when writes are scarce: the order in which
 * they are written is that of when they came plus this. Intake and cancellations go before all.
 */
const MAY_WAIT: Record<Exclude<Press, typeof Press.none>, DurationMs> = {
  [Press.intake]: ms(0),
  [Press.place]: ms(400),
  [Press.finish]: ms(1000),
  [Press.progress]: ms(5000),
};
const MAX_FINALS = 4000;
/** How long a record that is too large even by itself is not tried again: as its tasks end, it shrinks. */
const OVERSIZE_HOLD = ms(2000);

interface Waiter {
  readonly version: number;
  readonly settle: (ok: boolean) => void;
}

export interface LedgerEvents {
  /** A version of the job is in the store: what waited for it may happen. */
  committed(job: Job): void;
  /** The store holds another record than ours: `job` takes the place of what we had. */
  adopted(job: Job): void;
  finished(job: Job, final: Final): void;
  /** Its creation was not carried out, and is its user's to repeat: the job does not exist. */
  dropped(job: Job): void;
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
  /** Jobs with changes that are not in the store yet, and since when. */
  private readonly dirty = new Map<Job, SteadyMs>();
  /** Jobs of a transaction that was refused as too large: each is tried by itself, and not before then. */
  private readonly alone = new Map<Job, SteadyMs>();
  private readonly lock = new Mutex();
  private readonly backoff: Backoff;
  private inFlight = 0;
  private pumping = false;
  private again = false;
  private closed = false;
  private wakeAt = Infinity;
  private waker: Timer | undefined;
  /** Keys to delete along the way: notices of jobs that other nodes took in. */
  private readonly notices = new Set<string>();

  constructor(
    private readonly store: StoreClient,
    private readonly epoch: Epoch,
    private readonly limits: RecordLimits,
    private readonly clock: Clock,
    random: Random,
    private readonly log: Logger,
    private readonly events: LedgerEvents,
  ) {
    this.backoff = new Backoff(clock, random, ms(150), ms(1000));
  }

  close(): void {
    this.closed = true;
    this.waker?.cancel();
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
    this.mind(job);
  }

  private mind(job: Job): void {
    const touched = (): void => {
      if (!this.dirty.has(job)) this.dirty.set(job, this.clock.steady());
      this.kick();
    };
    job.onTouch = touched;
    if (job.version > job.committed) touched();
  }

  private unmind(job: Job): void {
    job.onTouch = undefined;
    this.alone.delete(job);
    this.dirty.delete(job);
  }

  /** About how long a job that is submitted now will wait for its turn to be written. */
  intakeWait(): DurationMs {
    const pause = this.backoff.remaining();
    if (pause > 0) return pause;
    let ahead = 1;
    for (const job of this.dirty.keys()) if (job.press === Press.intake && !job.inFlight) ahead++;
    return this.store.writeBacklog(ahead);
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
      this.wake(ms(200));
    });
  }

  /** Looks again after a while; of several such wishes the earliest counts. */
  private wake(after: DurationMs): void {
    // Whole steps of the clock: a rest too small for it to move would be waited for for ever.
    const pause = ms(Math.max(1, Math.ceil(after)));
    const at = this.clock.steady() + pause;
    if (at >= this.wakeAt) return;
    this.waker?.cancel();
    this.wakeAt = at;
    this.waker = this.clock.after(pause, () => {
      this.wakeAt = Infinity;
      this.kick();
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
          this.wake(pause);
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

  /** What is to be written, most pressing first; what must wait is looked at again in time. */
  private due(now: SteadyMs): Job[] {
    const due: { job: Job; at: number }[] = [];
    for (const [job, since0] of this.dirty) {
      if (job.version <= job.committed) {
        this.dirty.delete(job);
        continue;
      }
      if (job.inFlight) continue;
      const held = since(now, this.alone.get(job) ?? now);
      if (held > 0) {
        this.wake(held);
        continue;
      }
      const press = job.press === Press.none ? Press.progress : job.press;
      if (press === Press.progress) {
        const last = this.lastCommit.get(job.id);
        const early = last === undefined ? 0 : PROGRESS_EVERY - since(last, now);
        if (early > 0) {
          this.wake(ms(early));
          continue;
        }
      }
      const urgent = press === Press.place && rankOf(job.spec.priority) <= rankOf('high');
      const wait = urgent ? 0 : MAY_WAIT[press];
      due.push({ job, at: press === Press.intake ? -Infinity : since0 + wait });
    }
    return due.sort((a, b) => a.at - b.at).map((d) => d.job);
  }

  private assemble(): Batch | undefined {
    const due = this.due(this.clock.steady());
    const room = this.store.writeRoom();
    const batch = new BatchBuilder(
      this.epoch,
      this.limits,
      Math.min(this.limits.txnOps, room.writes),
    );
    for (const job of due) {
      const isSpare = job.press >= Press.progress;
      if (isSpare && room.share < PROGRESS_LEAVES) {
        this.wake(ms(500));
        break;
      }
      const isAlone = this.alone.has(job);
      if (isAlone && !batch.isEmpty) continue;
      if (!batch.hasRoomFor(changesOf(job))) {
        // What is next in order waits for its turn; less pressing work does not overtake it.
        if (batch.isEmpty) this.wake(this.store.writeWait(changesOf(job)));
        break;
      }
      if (!batch.add(job)) break;
      this.dirty.delete(job);
      if (isAlone) return batch.build();
    }
    for (const key of this.notices) {
      if (!batch.hasRoomFor(1)) break;
      batch.forget(key);
      this.notices.delete(key);
    }
    if (!batch.isEmpty) return batch.build();
    if (this.notices.size > 0) this.wake(this.store.writeWait(1));
    return undefined;
  }

  private async write(batch: Batch): Promise<void> {
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
          // It may still be carried out, and others read its end in the store, until a later write is.
          if (s.job.turning) s.job.endUnsure = true;
          // Whoever waits is told now: the outcome may take long to find out.
          this.settleWaiters(s.job.id, s.version, false);
        }
        await Promise.all(batch.sent.map((s) => this.reread(s)));
        return;
      case 'oversize':
        this.refusedAsTooLarge(batch.sent);
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

  /**
   * The limits of the state service may have been lowered since this was made: then all is written anew,
   * smaller. Otherwise one record is at fault, and must hold up no others until it has shrunk.
   */
  private refusedAsTooLarge(sent: readonly Sent[]): void {
    const isNews = this.limits.noteRefusal();
    this.log.warn({ jobs: sent.length, isNews }, 'commit refused as too large');
    const now = this.clock.steady();
    for (const s of sent) {
      if (!isNews) {
        this.alone.set(s.job, sent.length > 1 ? now : later(now, OVERSIZE_HOLD));
        if (sent.length === 1) this.settleWaiters(s.job.id, s.version, false);
      }
      this.retry(s);
    }
  }

  private retry(s: Sent): void {
    const { job } = s;
    job.inFlight = false;
    job.turning = job.endUnsure;
    // A creation that surely was not carried out is the user's to repeat.
    if (job.revision === 0 && !job.doubtful && !this.waiters.has(job.id)) {
      this.unmind(job);
      if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
      this.events.dropped(job);
      return;
    }
    if (s.press < job.press) job.press = s.press;
    if (job.onTouch && !this.dirty.has(job)) this.dirty.set(job, this.clock.steady());
  }

  private applied(s: Sent, revision: Revision): void {
    const { job } = s;
    job.inFlight = false;
    job.turning = false;
    job.endUnsure = false;
    job.doubtful = false;
    job.revision = revision;
    job.committed = Math.max(job.committed, s.version);
    job.shown = s.shown;
    this.alone.delete(job);
    this.lastCommit.set(job.id, this.clock.steady());
    if (s.final) {
      this.unmind(job);
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
        if (live.revision === job.revision) this.retry(s);
        else if (mark && mark.epoch === this.epoch && mark.version === s.version) {
          this.applied({ ...s, final: undefined }, live.revision);
        } else this.adopt(job, live.data, live.revision);
        return;
      }
      if (live.kind === 'absent') {
        const done = await this.store.get(doneKey(job.id), READ_TIMEOUT);
        if (done.kind === 'found') {
          this.applied({ ...s, final: decodeFinal(done.data) }, done.revision);
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
  private adopt(job: Job, data: unknown, revision: Revision): void {
    this.log.warn({ job: job.id }, 'record changed under us; taking what the store holds');
    this.limits.noteRecord(data);
    const fresh = decodeJob(job.id, data, revision, this.clock.steady());
    fresh.succeed(job);
    this.unmind(job);
    this.jobs.set(job.id, fresh);
    this.mind(fresh);
    this.settleWaiters(job.id, Infinity, false);
    this.events.adopted(fresh);
  }
}
