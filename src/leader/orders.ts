import {
  attemptKey,
  isAfter,
  leaseEnd,
  toReport,
  type Machine,
  type Report,
} from '../fleet/machine.js';
import type { Final, Job } from '../ledger/job.js';
import {
  later,
  ms,
  parseTaskKey,
  seconds,
  since,
  type DurationMs,
  type Epoch,
  type JobId,
  type MachineId,
} from '../units/index.js';
import type { CommandOutcome } from '../peer/messages.js';
import { callWorker, callWorkerThrough } from '../relay/worker-call.js';
import { ExitReason, JobStatus, TaskState, type Command, type TaskStatus } from '../wire/index.js';
import type { Board } from './board.js';
import type { TermDeps } from './deps.js';

const COMMAND_TIMEOUT = ms(2500);
/** The same where only a report that may be a late copy speaks for the machine being there at all. */
const UNSURE_TIMEOUT = ms(1200);
/** A machine that seems not to hear us is asked straight this often, and so many at a time. */
const ASK_EVERY = seconds(4);
const MOST_ASKED = 8;
/** The share of a node's sockets that commands under way may take. */
const COMMAND_SHARE = 0.08;
/** After an unanswered command a machine gets its orders by report for a while. */
const DIRECT_PAUSE = seconds(8);
/** Orders that fit a response to a worker with room to spare. */
const MAX_ORDERS = 300;

/** Repeats of messages come up to this many worker leases late. */
const REPEAT_LEASES = 3;

/** What workers are told: in the answers to their reports, and straight where it should not wait. */
export class Orders {
  private readonly pushes = new Set<Machine>();
  private pushing = false;
  private underWay = 0;
  private closed = false;
  /** This process is behind: starts are left to the answers to reports, each costs less than a command. */
  isBusy = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly board: Board,
    private readonly deps: TermDeps,
    /** The answer to a command shows the machine as a report does. */
    private readonly observe: (m: Machine, r: Report) => void,
  ) {}

  close(): void {
    this.closed = true;
  }

  private get jobs(): ReadonlyMap<Job['id'], Job> {
    return this.board.ledger.jobs;
  }

  /** The orders that a report is answered with. */
  answer(m: Machine, r: Report): Command[] {
    const out: Command[] = [];
    for (const e of r.tasks) {
      const ref = parseTaskKey(e.task);
      if (!ref) {
        if (e.state === TaskState.exited)
          out.push({ type: 'clear', task: e.task, attempt: e.attempt });
        continue;
      }
      const job = this.jobs.get(ref.job);
      const p = job?.placed.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.attempt;
      if (e.state === TaskState.exited) {
        if (mine || !this.mayClear(m, e, job, ref.job, ref.index)) continue;
        out.push({ type: 'clear', task: e.task, attempt: e.attempt });
      } else if (!mine || job?.aborted) {
        out.push({ type: 'kill', task: e.task, attempt: e.attempt, gracePeriodSeconds: 0 });
      } else if (p.evict !== undefined) {
        out.push({ type: 'kill', task: e.task, attempt: e.attempt, gracePeriodSeconds: p.evict });
      }
    }
    for (const [key, a] of m.assigned) {
      if (out.length >= MAX_ORDERS) break;
      const job = this.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      const attempt = attemptKey(key, a.attempt);
      if (!job || !p || r.byAttempt.has(attempt)) continue;
      if (job.aborted || p.evict !== undefined) {
        // A start sent straight to the worker may still arrive. Used up here, it can't run then.
        if (m.doubts.has(attempt)) {
          out.push({ type: 'launch', task: key, attempt: a.attempt });
          out.push({ type: 'kill', task: key, attempt: a.attempt, gracePeriodSeconds: 0 });
        }
      } else if (
        !p.inherited &&
        p.version <= job.committed &&
        (!m.draining || m.doubts.has(attempt))
      ) {
        p.sent = { session: r.session, sequence: r.sequence };
        out.push({ type: 'launch', task: key, attempt: a.attempt });
      }
    }
    return out;
  }

  /**
   * Whether a worker may forget an attempt that has ended. Once it has, the same start would run it
   * again: one that is still on its way, or the repeat of one that was carried out long ago.
   */
  private mayClear(
    m: Machine,
    e: TaskStatus,
    job: Job | undefined,
    id: JobId,
    index: number,
  ): boolean {
    const attempt = attemptKey(e.task, e.attempt);
    if (m.doubts.has(attempt)) return false;
    const done = e.exitReason === ExitReason.done;
    // The worker's word is the only record of a finish until ours is written.
    if (done && job && !(job.isDone(index) && finishKept(job))) return false;
    const direct = m.direct.get(attempt);
    if (direct === undefined) return true;
    // What is done ends at once if it is started again, and harms nobody unless it must not be there.
    if (done && !this.bound(job, this.board.ledger.final(id))) {
      m.direct.delete(attempt);
      return true;
    }
    const now = this.deps.clock.steady();
    direct.ended ??= now;
    if (since(direct.ended, now) < this.deps.settings.workers.lease * REPEAT_LEASES) return false;
    m.direct.delete(attempt);
    return true;
  }

  /** Whether a task of the job would break something even in the moment that it takes to end. */
  private bound(job: Job | undefined, final: Final | undefined): boolean {
    const team = this.deps.settings.teams.get(job?.spec.team ?? final?.desk ?? '');
    const limited = team !== undefined && (team.cpusMax > 0 || team.gpusMax > 0);
    if (!job) return limited || final?.status !== JobStatus.done;
    return limited || job.aborted || job.spec.singleZone || job.spec.spreadZones;
  }

  // --- direct orders ----------------------------------------------------------------------------

  /** Orders that should not wait for the next report are sent to the machine in this turn's end. */
  push(id: MachineId): void {
    const m = this.board.fleet.machines.get(id);
    if (!m) return;
    this.pushes.add(m);
    this.pushSoon();
  }

  private pushSoon(): void {
    if (this.pushing) return;
    this.pushing = true;
    this.deps.clock.after(ms(0), () => {
      this.pushing = false;
      this.pushAll();
    });
  }

  /** As many at a time as there are sockets for; meanwhile the answers to reports tell the rest. */
  private pushAll(): void {
    const most = Math.max(4, this.deps.settings.limits.maxConnections * COMMAND_SHARE);
    for (const m of this.pushes) {
      if (this.underWay >= most) return;
      this.pushes.delete(m);
      if (m.directBusy || !this.canReach(m)) continue;
      const { orders, started } = this.direct(m);
      if (orders.length > 0) this.dispatch(m, () => this.command(m, orders, started));
    }
  }

  private dispatch(m: Machine, call: () => Promise<void>): void {
    this.underWay++;
    m.directBusy = true;
    void call()
      .catch((e: unknown) => this.deps.log.error({ err: e, machine: m.id }, 'command failed'))
      .finally(() => {
        this.underWay--;
        m.directBusy = false;
        if (this.closed) return;
        this.push(m.id);
      });
  }

  /** Whether a command can be sent to a machine now, or as soon as the one under way is answered. */
  canReach(m: Machine): boolean {
    const now = this.deps.clock.steady();
    if (this.closed || !m.up || !m.addr || !m.report || m.deleteSent) return false;
    return now >= m.directUntil && now <= m.expires && this.deps.authority() === this.epoch;
  }

  /** A command under our epoch; the report that answers it, if one does, and how it went. */
  private async send(
    m: Machine,
    orders: readonly Command[],
    timeout: DurationMs,
  ): Promise<{ outcome: CommandOutcome; why: string; report: Report | undefined }> {
    if (!m.addr || !m.report)
      return { outcome: 'undelivered', why: 'no address', report: undefined };
    const request = {
      type: 'command' as const,
      address: m.addr,
      token: this.epoch,
      session: m.report.session,
      timeoutMs: timeout,
      orders,
    };
    const { http, peers } = this.deps;
    const peer = m.reportsThrough === undefined ? undefined : peers.get(m.reportsThrough);
    const result = peer?.responsive
      ? await callWorkerThrough(peer, request)
      : await callWorker(http, request);
    const { outcome, why, report } = result;
    const sound = report?.machine === m.id && !this.board.fleet.isGone(m.id);
    return { outcome, why, report: sound ? toReport(report) : undefined };
  }

  private async command(m: Machine, orders: Command[], started: string[]): Promise<void> {
    const unsure = m.isUnsure(this.epoch);
    const result = await this.send(m, orders, unsure ? UNSURE_TIMEOUT : COMMAND_TIMEOUT);
    if (this.closed) return;
    if (result.outcome === 'answered') {
      // Carried out or refused: either way nothing of it is under way any more.
      for (const attempt of started) {
        m.doubts.delete(attempt);
        m.direct.set(attempt, { ended: undefined });
      }
      if (result.report && this.take(m, result.report)) this.observe(m, result.report);
      return;
    }
    this.deps.log.info({ machine: m.id, why: result.why }, 'command not answered');
    m.directUntil = later(this.deps.clock.steady(), DIRECT_PAUSE);
    if (result.outcome !== 'undelivered') return;
    for (const attempt of started) m.doubts.delete(attempt);
    if (unsure && m.isUnsure(this.epoch)) this.takeBack(m, started);
  }

  /**
   * Takes in what answers a command; false if it is older than what we know. It may be the first word of
   * a new session, whose lease runs from its beginning without any report having been answered: until
   * that is over nothing that we start there is gone, whatever was to become of the session before.
   */
  private take(m: Machine, r: Report): boolean {
    const now = this.deps.clock.steady();
    const began = m.report === undefined || r.session > m.report.session;
    if (!m.take(r, now)) return false;
    if (began) m.answered(leaseEnd(now, this.deps.settings.workers.lease));
    return true;
  }

  /** Starts that never left need no proof of absence. */
  private takeBack(m: Machine, started: readonly string[]): void {
    const never = new Set(started);
    for (const [key, a] of [...m.assigned]) {
      const job = this.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || p.sent || p.seen || !never.has(attemptKey(key, a.attempt))) continue;
      this.board.unplace(job, a.index, 'its start never left');
    }
  }

  /** Asks machines that seem deaf, or only repeat what is old, straight whether they hear us. */
  askSilent(machines: Iterable<Machine>, silentAfter: DurationMs): void {
    const now = this.deps.clock.steady();
    let most = MOST_ASKED;
    for (const m of machines) {
      if (most <= 0) return;
      const repeats =
        m.repeatedAt !== undefined &&
        since(m.repeatedAt, now) < silentAfter &&
        m.lastHeard !== undefined &&
        since(m.lastHeard, now) > silentAfter / 2;
      if (m.deafSince === undefined && !repeats) continue;
      if (m.askedAt !== undefined && since(m.askedAt, now) < ASK_EVERY) continue;
      if (!m.up || m.directBusy || m.deleteSent || this.deps.authority() !== this.epoch) continue;
      m.askedAt = now;
      most--;
      this.dispatch(m, () => this.ask(m));
    }
  }

  private async ask(m: Machine): Promise<void> {
    const before = m.report;
    const { report } = await this.send(m, [], UNSURE_TIMEOUT);
    if (this.closed || !report || !before) return;
    const now = this.deps.clock.steady();
    m.heeded();
    // It was made after we asked, and yet counts as older than what we knew by then.
    if (!isAfter(report, before)) {
      this.deps.log.warn({ machine: m.id }, 'machine counts its messages from the start again');
      m.reborn(report, now);
      m.answered(leaseEnd(now, this.deps.settings.workers.lease));
      // What answers carried to the machine before was for one that is gone.
      for (const a of m.assigned.values()) {
        const p = this.jobs.get(a.job)?.placed.get(a.index);
        if (p) delete p.sent;
      }
    } else if (!this.take(m, report)) return;
    this.observe(m, report);
  }

  /** What is to be told to a machine at once, and the attempts whose start is part of it. */
  private direct(m: Machine): { orders: Command[]; started: string[] } {
    const orders: Command[] = [];
    const started: string[] = [];
    for (const [key, a] of m.assigned) {
      if (orders.length >= MAX_ORDERS) break;
      const job = this.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || p.version > job.committed) continue;
      if (job.aborted || p.evict !== undefined) {
        if (p.stopped || !(p.seen || p.pushed || p.sent || p.inherited)) continue;
        p.stopped = true;
        const grace = job.aborted ? 0 : (p.evict ?? 0);
        orders.push({ type: 'kill', task: key, attempt: a.attempt, gracePeriodSeconds: grace });
      } else if (!this.isBusy && !p.seen && !p.pushed && !p.sent && !p.inherited && !m.draining) {
        p.pushed = true;
        // Until it is answered the start may arrive at any time.
        const attempt = attemptKey(key, a.attempt);
        m.doubts.add(attempt);
        started.push(attempt);
        orders.push({ type: 'launch', task: key, attempt: a.attempt });
      }
    }
    return { orders, started };
  }
}

/** Whether all that a job finished is in the store. */
function finishKept(job: Job): boolean {
  return job.committed >= job.version || job.shown.done >= job.doneCount;
}
