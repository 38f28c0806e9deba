import { Mutex } from 'async-mutex';
import type { Logger } from 'pino';
import type { StoreClient } from '../store/client.js';
import type { CommitResult } from '../store/results.js';
import { Backoff } from '../store/backoff.js';
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
import { BatchBuilder, changeCountOf, type Batch, type PendingRecord } from './batch.js';
import { LEADER_KEY, decodeFinal, decodeJob, finalKey, liveKey, writerMarkOf } from './codec.js';
import { rankOf } from './queue.js';
import type { RecordLimits } from './record-limits.js';
import { WritePriority, type FinalState, type Job } from './job.js';

const TRANSACTION_TIMEOUT = ms(2000);
const READ_TIMEOUT = ms(2000);
/** Transactions under way at once: a slow one must not hold up the others. */
const MAX_IN_FLIGHT = 3;
/** Progress that only saves rework after a takeover is written at most this often per job. */
const PROGRESS_INTERVAL = ms(2000);
/** Progress leaves this share of a full burst of writes to what may come next. */
const PROGRESS_MIN_SHARE = 0.6;
/**
 * How long each kind of change may be held up by others when writes are scarce: the order in which
 * they are written is that of when they came plus this. Intake and cancellations go before all.
 */
const MAX_DELAY: Record<Exclude<WritePriority, typeof WritePriority.none>, DurationMs> = {
  [WritePriority.admission]: ms(0),
  [WritePriority.placement]: ms(400),
  [WritePriority.completion]: ms(1000),
  [WritePriority.progress]: ms(5000),
};
const MAX_FINALS = 4000;
/** How long a record that is too large even by itself is not tried again: as its tasks end, it shrinks. */
const OVERSIZE_HOLD = ms(2000);

interface Waiter {
  readonly version: number;
  readonly resolve: (ok: boolean) => void;
}

export interface LedgerEvents {
  /** A version of the job is in the store: what waited for it may happen. */
  onCommitted(job: Job): void;
  /** The store holds another record than ours: `job` takes the place of what we had. */
  onReplaced(job: Job): void;
  onFinished(job: Job, final: FinalState): void;
  /** Its creation was not carried out, and is its user's to repeat: the job does not exist. */
  onDropped(job: Job): void;
  /** Another leader wrote the leader key. */
  onDeposed(): void;
}

/**
 * The live jobs of one epoch and the commit loop that writes them. Each write names the revision
 * it replaces and the leader key's, so nothing that a deposed leader sends can apply.
 */
export class Ledger {
  readonly jobs = new Map<JobId, Job>();
  private readonly finalStates = new Map<JobId, FinalState>();
  private readonly waiters = new Map<JobId, Waiter[]>();
  private readonly lastCommit = new Map<JobId, SteadyMs>();
  /** Jobs with changes that are not in the store yet, and since when. */
  private readonly changedSince = new Map<Job, SteadyMs>();
  /** Jobs of a transaction that was refused as too large: each is tried by itself, and not before then. */
  private readonly writtenAloneAfter = new Map<Job, SteadyMs>();
  private readonly assembleLock = new Mutex();
  private readonly backoff: Backoff;
  private inFlight = 0;
  private loopRunning = false;
  private loopRequested = false;
  private closed = false;
  private retryAt = Infinity;
  private retryTimer: Timer | undefined;
  /** Keys to delete along the way: notices of jobs that other nodes took in. */
  private readonly noticesToDelete = new Set<string>();

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
    this.retryTimer?.cancel();
    for (const list of this.waiters.values()) for (const w of list) w.resolve(false);
    this.waiters.clear();
  }

  finalState(id: JobId): FinalState | undefined {
    return this.finalStates.get(id);
  }

  rememberFinal(id: JobId, final: FinalState): void {
    this.finalStates.delete(id);
    this.finalStates.set(id, final);
    if (this.finalStates.size > MAX_FINALS) {
      const oldest = this.finalStates.keys().next().value;
      if (oldest !== undefined) this.finalStates.delete(oldest);
    }
  }

  insert(job: Job): void {
    this.jobs.set(job.id, job);
    this.track(job);
  }

  private track(job: Job): void {
    const touched = (): void => {
      if (!this.changedSince.has(job)) this.changedSince.set(job, this.clock.steady());
      this.scheduleCommit();
    };
    job.onChange = touched;
    if (job.version > job.committedVersion) touched();
  }

  private untrack(job: Job): void {
    job.onChange = undefined;
    this.writtenAloneAfter.delete(job);
    this.changedSince.delete(job);
  }

  /** About how long a job that is submitted now will wait for its turn to be written. */
  admissionWait(): DurationMs {
    const pause = this.backoff.remaining();
    if (pause > 0) return pause;
    let ahead = 1;
    for (const job of this.changedSince.keys())
      if (job.writePriority === WritePriority.admission && !job.writeInFlight) ahead++;
    return this.store.writeBacklog(ahead);
  }

  deleteNotice(key: string): void {
    this.noticesToDelete.add(key);
    this.scheduleCommit();
  }

  /** Resolves once the job's present version is in the store, or false if that can't be told. */
  whenCommitted(job: Job): Promise<boolean> {
    if (job.committedVersion >= job.version) return Promise.resolve(true);
    if (this.closed) return Promise.resolve(false);
    return new Promise((settle) => {
      const list = this.waiters.get(job.id) ?? [];
      list.push({ version: job.version, resolve: settle });
      this.waiters.set(job.id, list);
      this.scheduleCommit();
    });
  }

  private resolveWaiters(id: JobId, upTo: number, ok: boolean): void {
    const list = this.waiters.get(id);
    if (!list) return;
    const rest: Waiter[] = [];
    for (const w of list) {
      if (w.version <= upTo) w.resolve(ok);
      else rest.push(w);
    }
    if (rest.length > 0) this.waiters.set(id, rest);
    else this.waiters.delete(id);
  }

  /** Looks for something to write, now or when the budgets allow. */
  scheduleCommit(): void {
    if (this.closed) return;
    if (this.loopRunning) {
      this.loopRequested = true;
      return;
    }
    this.loopRunning = true;
    void this.runCommitLoop().catch((e: unknown) => {
      this.loopRunning = false;
      this.log.error({ err: e }, 'commit loop failed');
      this.retryAfter(ms(200));
    });
  }

  /** Looks again after a while; of several such wishes the earliest counts. */
  private retryAfter(after: DurationMs): void {
    // Whole steps of the clock: a rest too small for it to move would be waited for for ever.
    const pause = ms(Math.max(1, Math.ceil(after)));
    const at = this.clock.steady() + pause;
    if (at >= this.retryAt) return;
    this.retryTimer?.cancel();
    this.retryAt = at;
    this.retryTimer = this.clock.after(pause, () => {
      this.retryAt = Infinity;
      this.scheduleCommit();
    });
  }

  private async runCommitLoop(): Promise<void> {
    // Let everything that happens in this turn gather in one transaction.
    await Promise.resolve();
    do {
      this.loopRequested = false;
      while (!this.closed && this.inFlight < MAX_IN_FLIGHT) {
        const pause = this.backoff.remaining();
        if (pause > 0) {
          this.retryAfter(pause);
          break;
        }
        const batch = await this.assembleLock.runExclusive(() => this.assemble());
        if (!batch) break;
        this.inFlight++;
        void this.write(batch).finally(() => {
          this.inFlight--;
          this.scheduleCommit();
        });
      }
    } while (this.loopRequested);
    this.loopRunning = false;
  }

  /** What is to be written, most pressing first; what must wait is looked at again in time. */
  private due(now: SteadyMs): Job[] {
    const due: { job: Job; at: number }[] = [];
    for (const [job, since0] of this.changedSince) {
      if (job.version <= job.committedVersion) {
        this.changedSince.delete(job);
        continue;
      }
      if (job.writeInFlight) continue;
      const held = since(now, this.writtenAloneAfter.get(job) ?? now);
      if (held > 0) {
        this.retryAfter(held);
        continue;
      }
      const press =
        job.writePriority === WritePriority.none ? WritePriority.progress : job.writePriority;
      if (press === WritePriority.progress) {
        const last = this.lastCommit.get(job.id);
        const early = last === undefined ? 0 : PROGRESS_INTERVAL - since(last, now);
        if (early > 0) {
          this.retryAfter(ms(early));
          continue;
        }
      }
      const urgent =
        press === WritePriority.placement && rankOf(job.spec.priority) <= rankOf('high');
      const wait = urgent ? 0 : MAX_DELAY[press];
      due.push({ job, at: press === WritePriority.admission ? -Infinity : since0 + wait });
    }
    return due.sort((a, b) => a.at - b.at).map((d) => d.job);
  }

  private assemble(): Batch | undefined {
    const due = this.due(this.clock.steady());
    const available = this.store.availableWrites();
    const batch = new BatchBuilder(
      this.epoch,
      this.limits,
      Math.min(this.limits.transactionOps, available.count),
    );
    for (const job of due) {
      const isSpare = job.writePriority >= WritePriority.progress;
      if (isSpare && available.share < PROGRESS_MIN_SHARE) {
        this.retryAfter(ms(500));
        break;
      }
      const isAlone = this.writtenAloneAfter.has(job);
      if (isAlone && !batch.isEmpty) continue;
      if (!batch.hasRoomFor(changeCountOf(job))) {
        // What is next in order waits for its turn; less pressing work does not overtake it.
        if (batch.isEmpty) this.retryAfter(this.store.writeWait(changeCountOf(job)));
        break;
      }
      if (!batch.add(job)) break;
      this.changedSince.delete(job);
      if (isAlone) return batch.build();
    }
    for (const key of this.noticesToDelete) {
      if (!batch.hasRoomFor(1)) break;
      batch.deleteNotice(key);
      this.noticesToDelete.delete(key);
    }
    if (!batch.isEmpty) return batch.build();
    if (this.noticesToDelete.size > 0) this.retryAfter(this.store.writeWait(1));
    return undefined;
  }

  private async write(batch: Batch): Promise<void> {
    let result: CommitResult;
    try {
      result = await this.store.transact(batch.conditions, batch.writes, TRANSACTION_TIMEOUT);
    } catch (e) {
      result = { kind: 'unknown', reason: (e as Error).message };
    }
    if (this.closed) return;
    if (result.kind !== 'committed')
      for (const key of batch.noticeKeys) this.noticesToDelete.add(key);
    switch (result.kind) {
      case 'committed': {
        this.backoff.noteSuccess();
        const revision = result.revision;
        await this.assembleLock.runExclusive(() => {
          for (const s of batch.records) this.noteApplied(s, revision);
        });
        return;
      }
      case 'conflict': {
        if (result.failed.includes(LEADER_KEY)) {
          this.events.onDeposed();
          return;
        }
        const failed = new Set(result.failed);
        await Promise.all(
          batch.records.map(async (s) => {
            if (failed.has(liveKey(s.job.id)) || failed.has(finalKey(s.job.id))) {
              await this.resolveOutcome(s);
            } else this.retry(s);
          }),
        );
        return;
      }
      case 'unknown':
        this.log.warn(
          { reason: result.reason, jobs: batch.records.length },
          'commit outcome unknown',
        );
        this.backoff.noteFailure();
        for (const s of batch.records) {
          if (s.job.revision === 0) s.job.creationOutcomeUnknown = true;
          // It may still be carried out, and others read its end in the store, until a later write is.
          if (s.job.terminalWriteInFlight) s.job.terminalOutcomeUnknown = true;
          // Whoever waits is told now: the outcome may take long to find out.
          this.resolveWaiters(s.job.id, s.version, false);
        }
        await Promise.all(batch.records.map((s) => this.resolveOutcome(s)));
        return;
      case 'tooLarge':
        this.refusedAsTooLarge(batch.records);
        return;
      case 'leaseExpired':
      case 'refused':
        this.log.info({ reason: result.kind === 'refused' ? result.reason : '' }, 'commit refused');
        this.backoff.noteFailure();
        for (const s of batch.records) {
          this.resolveWaiters(s.job.id, s.version, false);
          this.retry(s);
        }
    }
  }

  /**
   * The limits of the state service may have been lowered since this was made: then all is written anew,
   * smaller. Otherwise one record is at fault, and must hold up no others until it has shrunk.
   */
  private refusedAsTooLarge(sent: readonly PendingRecord[]): void {
    const isNews = this.limits.noteRefusal();
    this.log.warn({ jobs: sent.length, isNews }, 'commit refused as too large');
    const now = this.clock.steady();
    for (const s of sent) {
      if (!isNews) {
        this.writtenAloneAfter.set(s.job, sent.length > 1 ? now : later(now, OVERSIZE_HOLD));
        if (sent.length === 1) this.resolveWaiters(s.job.id, s.version, false);
      }
      this.retry(s);
    }
  }

  private retry(s: PendingRecord): void {
    const { job } = s;
    job.writeInFlight = false;
    job.terminalWriteInFlight = job.terminalOutcomeUnknown;
    // A creation that surely was not carried out is the user's to repeat.
    if (job.revision === 0 && !job.creationOutcomeUnknown && !this.waiters.has(job.id)) {
      this.untrack(job);
      if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
      this.events.onDropped(job);
      return;
    }
    if (s.writePriority < job.writePriority) job.writePriority = s.writePriority;
    if (job.onChange && !this.changedSince.has(job))
      this.changedSince.set(job, this.clock.steady());
  }

  private noteApplied(s: PendingRecord, revision: Revision): void {
    const { job } = s;
    job.writeInFlight = false;
    job.terminalWriteInFlight = false;
    job.terminalOutcomeUnknown = false;
    job.creationOutcomeUnknown = false;
    job.revision = revision;
    job.committedVersion = Math.max(job.committedVersion, s.version);
    job.committedProgress = s.progress;
    this.writtenAloneAfter.delete(job);
    this.lastCommit.set(job.id, this.clock.steady());
    if (s.finalState) {
      this.untrack(job);
      this.rememberFinal(job.id, s.finalState);
      if (this.jobs.get(job.id) === job) this.jobs.delete(job.id);
      this.lastCommit.delete(job.id);
      this.resolveWaiters(job.id, Infinity, true);
      this.events.onFinished(job, s.finalState);
      return;
    }
    this.resolveWaiters(job.id, s.version, true);
    this.events.onCommitted(job);
  }

  /**
   * Finds out what the store holds for a job after a conflict or an unknown outcome. Nothing that
   * is concluded here needs the old transaction to be dead: our next write names the revision that
   * was read, so either it or the late one wins, and the loser comes back here.
   */
  private async resolveOutcome(s: PendingRecord): Promise<void> {
    const { job } = s;
    for (;;) {
      if (this.closed) return;
      const live = await this.store.get(liveKey(job.id), READ_TIMEOUT);
      if (this.closed) return;
      if (live.kind === 'found') {
        const mark = writerMarkOf(live.data);
        if (live.revision === job.revision) this.retry(s);
        else if (mark && mark.epoch === this.epoch && mark.version === s.version) {
          this.noteApplied({ ...s, finalState: undefined }, live.revision);
        } else this.replaceWithStored(job, live.data, live.revision);
        return;
      }
      if (live.kind === 'absent') {
        const done = await this.store.get(finalKey(job.id), READ_TIMEOUT);
        if (done.kind === 'found') {
          this.noteApplied({ ...s, finalState: decodeFinal(done.data) }, done.revision);
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
  private replaceWithStored(job: Job, data: unknown, revision: Revision): void {
    this.log.warn({ job: job.id }, 'record changed under us; taking what the store holds');
    this.limits.noteRecord(data);
    const fresh = decodeJob(job.id, data, revision, this.clock.steady());
    fresh.inheritFrom(job);
    this.untrack(job);
    this.jobs.set(job.id, fresh);
    this.track(fresh);
    this.resolveWaiters(job.id, Infinity, false);
    this.events.onReplaced(fresh);
  }
}
