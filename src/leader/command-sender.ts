import {
  attemptKey,
  isAfter,
  workerLeaseEnd,
  toWorkerStatus,
  type Machine,
  type WorkerStatus,
} from '../fleet/machine.js';
import type { FinalState, Job } from '../ledger/job.js';
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
import type { PlacementIndex } from './placement-index.js';
import type { TermDependencies } from './dependencies.js';

const COMMAND_TIMEOUT = ms(2500);
/** The same where only a report that may be a late copy speaks for the machine being there at all. */
const UNCONFIRMED_TIMEOUT = ms(1200);
/** A machine that seems not to hear us is asked straight this often, and so many at a time. */
const PROBE_INTERVAL = seconds(4);
const MAX_PROBES = 8;
/** The share of a node's sockets that commands under way may take. */
const COMMAND_SHARE = 0.08;
/** After an unanswered command a machine gets its orders by report for a while. */
const PUSH_PAUSE = seconds(8);
/** Orders that fit a response to a worker with room to spare. */
const MAX_COMMANDS = 300;

/** Repeats of messages come up to this many worker leases late. */
const LATE_COPY_LEASES = 3;

/** What workers are told: in the answers to their reports, and straight where it should not wait. */
export class CommandSender {
  private readonly pendingPushes = new Set<Machine>();
  private pushScheduled = false;
  private inFlight = 0;
  private closed = false;
  /** This process is behind: starts are left to the answers to reports, each costs less than a command. */
  isBusy = false;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly deps: TermDependencies,
    /** The answer to a command shows the machine as a report does. */
    private readonly observe: (m: Machine, r: WorkerStatus) => void,
  ) {}

  close(): void {
    this.closed = true;
  }

  private get jobs(): ReadonlyMap<Job['id'], Job> {
    return this.placements.ledger.jobs;
  }

  /** The orders that a report is answered with. */
  commandsForReply(m: Machine, r: WorkerStatus): Command[] {
    const out: Command[] = [];
    for (const e of r.tasks) {
      const ref = parseTaskKey(e.task);
      if (!ref) {
        if (e.state === TaskState.exited)
          out.push({ type: 'clear', task: e.task, attempt: e.attempt });
        continue;
      }
      const job = this.jobs.get(ref.job);
      const p = job?.placements.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.attempt;
      if (e.state === TaskState.exited) {
        if (mine || !this.mayClear(m, e, job, ref.job, ref.index)) continue;
        out.push({ type: 'clear', task: e.task, attempt: e.attempt });
      } else if (!mine || job?.cancelled) {
        out.push({ type: 'kill', task: e.task, attempt: e.attempt, gracePeriodSeconds: 0 });
      } else if (p.evictionGraceSeconds !== undefined) {
        out.push({
          type: 'kill',
          task: e.task,
          attempt: e.attempt,
          gracePeriodSeconds: p.evictionGraceSeconds,
        });
      }
    }
    for (const [key, a] of m.assignments) {
      if (out.length >= MAX_COMMANDS) break;
      const job = this.jobs.get(a.job);
      const p = job?.placements.get(a.index);
      const attempt = attemptKey(key, a.attempt);
      if (!job || !p || r.byAttempt.has(attempt)) continue;
      if (job.cancelled || p.evictionGraceSeconds !== undefined) {
        // A start sent straight to the worker may still arrive. Used up here, it can't run then.
        if (m.unacknowledgedStarts.has(attempt)) {
          out.push({ type: 'launch', task: key, attempt: a.attempt });
          out.push({ type: 'kill', task: key, attempt: a.attempt, gracePeriodSeconds: 0 });
        }
      } else if (
        !p.inherited &&
        p.version <= job.committedVersion &&
        (!m.isDraining || m.unacknowledgedStarts.has(attempt))
      ) {
        p.sentInReplyTo = { session: r.session, sequence: r.sequence };
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
    if (m.unacknowledgedStarts.has(attempt)) return false;
    const done = e.exitReason === ExitReason.done;
    // The worker's word is the only record of a finish until ours is written.
    if (done && job && !(job.isDone(index) && areCompletionsStored(job))) return false;
    const direct = m.acknowledgedStarts.get(attempt);
    if (direct === undefined) return true;
    // What is done ends at once if it is started again, and harms nobody unless it must not be there.
    if (done && !this.mustNotRunAgain(job, this.placements.ledger.finalState(id))) {
      m.acknowledgedStarts.delete(attempt);
      return true;
    }
    const now = this.deps.clock.steady();
    direct.ended ??= now;
    if (since(direct.ended, now) < this.deps.settings.workers.lease * LATE_COPY_LEASES)
      return false;
    m.acknowledgedStarts.delete(attempt);
    return true;
  }

  /** Whether a task of the job would break something even in the moment that it takes to end. */
  private mustNotRunAgain(job: Job | undefined, final: FinalState | undefined): boolean {
    const team = this.deps.settings.teams.get(job?.spec.team ?? final?.team ?? '');
    const limited = team !== undefined && (team.maxCpus > 0 || team.maxGpus > 0);
    if (!job) return limited || final?.status !== JobStatus.done;
    return limited || job.cancelled || job.spec.singleZone || job.spec.spreadZones;
  }

  // --- direct orders ----------------------------------------------------------------------------

  /** Orders that should not wait for the next report are sent to the machine in this turn's end. */
  schedulePush(id: MachineId): void {
    const m = this.placements.fleet.machines.get(id);
    if (!m) return;
    this.pendingPushes.add(m);
    this.pushSoon();
  }

  private pushSoon(): void {
    if (this.pushScheduled) return;
    this.pushScheduled = true;
    this.deps.clock.after(ms(0), () => {
      this.pushScheduled = false;
      this.pushAll();
    });
  }

  /** As many at a time as there are sockets for; meanwhile the answers to reports tell the rest. */
  private pushAll(): void {
    const most = Math.max(4, this.deps.settings.limits.maxConnections * COMMAND_SHARE);
    for (const m of this.pendingPushes) {
      if (this.inFlight >= most) return;
      this.pendingPushes.delete(m);
      if (m.commandInFlight || !this.canReach(m)) continue;
      const { commands, started } = this.commandsToPush(m);
      if (commands.length > 0) this.callMachine(m, () => this.sendCommands(m, commands, started));
    }
  }

  private callMachine(m: Machine, call: () => Promise<void>): void {
    this.inFlight++;
    m.commandInFlight = true;
    void call()
      .catch((e: unknown) => this.deps.log.error({ err: e, machine: m.id }, 'command failed'))
      .finally(() => {
        this.inFlight--;
        m.commandInFlight = false;
        if (this.closed) return;
        this.schedulePush(m.id);
      });
  }

  /** Whether a command can be sent to a machine now, or as soon as the one under way is answered. */
  canReach(m: Machine): boolean {
    const now = this.deps.clock.steady();
    if (this.closed || !m.isUp || !m.address || !m.status || m.deleteSent) return false;
    return (
      now >= m.commandsPausedUntil &&
      now <= m.leaseExpiresAt &&
      this.deps.authority() === this.epoch
    );
  }

  /** A command under our epoch; the report that answers it, if one does, and how it went. */
  private async send(
    m: Machine,
    commands: readonly Command[],
    timeout: DurationMs,
  ): Promise<{ outcome: CommandOutcome; reason: string; status: WorkerStatus | undefined }> {
    if (!m.address || !m.status)
      return { outcome: 'undelivered', reason: 'no address', status: undefined };
    const request = {
      type: 'sendCommands' as const,
      address: m.address,
      fencingToken: this.epoch,
      session: m.status.session,
      timeoutMs: timeout,
      commands,
    };
    const { http, peers } = this.deps;
    const peer = m.relayNode === undefined ? undefined : peers.get(m.relayNode);
    const result = peer?.responsive
      ? await callWorkerThrough(peer, request)
      : await callWorker(http, request);
    const { outcome, reason, heartbeat } = result;
    const isSound = heartbeat?.machine === m.id && !this.placements.fleet.isGone(m.id);
    return { outcome, reason, status: isSound ? toWorkerStatus(heartbeat) : undefined };
  }

  private async sendCommands(m: Machine, commands: Command[], started: string[]): Promise<void> {
    const unsure = m.isUnconfirmed(this.epoch);
    const result = await this.send(m, commands, unsure ? UNCONFIRMED_TIMEOUT : COMMAND_TIMEOUT);
    if (this.closed) return;
    if (result.outcome === 'answered') {
      // Carried out or refused: either way nothing of it is under way any more.
      for (const attempt of started) {
        m.unacknowledgedStarts.delete(attempt);
        m.acknowledgedStarts.set(attempt, { ended: undefined });
      }
      if (result.status && this.recordStatus(m, result.status)) this.observe(m, result.status);
      return;
    }
    this.deps.log.info({ machine: m.id, why: result.reason }, 'command not answered');
    m.commandsPausedUntil = later(this.deps.clock.steady(), PUSH_PAUSE);
    if (result.outcome !== 'undelivered') return;
    for (const attempt of started) m.unacknowledgedStarts.delete(attempt);
    if (unsure && m.isUnconfirmed(this.epoch)) this.requeueUnsent(m, started);
  }

  /**
   * Takes in what answers a command; false if it is older than what we know. It may be the first word of
   * a new session, whose lease runs from its beginning without any report having been answered: until
   * that is over nothing that we start there is gone, whatever was to become of the session before.
   */
  private recordStatus(m: Machine, r: WorkerStatus): boolean {
    const now = this.deps.clock.steady();
    const began = m.status === undefined || r.session > m.status.session;
    if (!m.recordStatus(r, now)) return false;
    if (began) m.extendLease(workerLeaseEnd(now, this.deps.settings.workers.lease));
    return true;
  }

  /** Starts that never left need no proof of absence. */
  private requeueUnsent(m: Machine, started: readonly string[]): void {
    const never = new Set(started);
    for (const [key, a] of [...m.assignments]) {
      const job = this.jobs.get(a.job);
      const p = job?.placements.get(a.index);
      if (!job || !p || p.sentInReplyTo || p.isReported || !never.has(attemptKey(key, a.attempt)))
        continue;
      this.placements.requeueTask(job, a.index, 'its start never left');
    }
  }

  /** Asks machines that seem deaf, or only repeat what is old, straight whether they hear us. */
  probeSilent(machines: Iterable<Machine>, silentAfter: DurationMs): void {
    const now = this.deps.clock.steady();
    let most = MAX_PROBES;
    for (const m of machines) {
      if (most <= 0) return;
      const repeats =
        m.staleStatusAt !== undefined &&
        since(m.staleStatusAt, now) < silentAfter &&
        m.lastHeardAt !== undefined &&
        since(m.lastHeardAt, now) > silentAfter / 2;
      if (m.notReceivingSince === undefined && !repeats) continue;
      if (m.probedAt !== undefined && since(m.probedAt, now) < PROBE_INTERVAL) continue;
      if (!m.isUp || m.commandInFlight || m.deleteSent || this.deps.authority() !== this.epoch)
        continue;
      m.probedAt = now;
      most--;
      this.callMachine(m, () => this.probe(m));
    }
  }

  private async probe(m: Machine): Promise<void> {
    const before = m.status;
    const { status } = await this.send(m, [], UNCONFIRMED_TIMEOUT);
    if (this.closed || !status || !before) return;
    const now = this.deps.clock.steady();
    m.noteReceiving();
    // It was made after we asked, and yet counts as older than what we knew by then.
    if (!isAfter(status, before)) {
      this.deps.log.warn({ machine: m.id }, 'machine counts its messages from the start again');
      m.noteRestarted(status, now);
      m.extendLease(workerLeaseEnd(now, this.deps.settings.workers.lease));
      // What answers carried to the machine before was for one that is gone.
      for (const a of m.assignments.values()) {
        const p = this.jobs.get(a.job)?.placements.get(a.index);
        if (p) delete p.sentInReplyTo;
      }
    } else if (!this.recordStatus(m, status)) return;
    this.observe(m, status);
  }

  /** What is to be told to a machine at once, and the attempts whose start is part of it. */
  private commandsToPush(m: Machine): { commands: Command[]; started: string[] } {
    const commands: Command[] = [];
    const started: string[] = [];
    for (const [key, a] of m.assignments) {
      if (commands.length >= MAX_COMMANDS) break;
      const job = this.jobs.get(a.job);
      const p = job?.placements.get(a.index);
      if (!job || !p || p.version > job.committedVersion) continue;
      if (job.cancelled || p.evictionGraceSeconds !== undefined) {
        if (p.stopPushed || !(p.isReported || p.startPushed || p.sentInReplyTo || p.inherited))
          continue;
        p.stopPushed = true;
        const grace = job.cancelled ? 0 : (p.evictionGraceSeconds ?? 0);
        commands.push({ type: 'kill', task: key, attempt: a.attempt, gracePeriodSeconds: grace });
      } else if (
        !this.isBusy &&
        !p.isReported &&
        !p.startPushed &&
        !p.sentInReplyTo &&
        !p.inherited &&
        !m.isDraining
      ) {
        p.startPushed = true;
        // Until it is answered the start may arrive at any time.
        const attempt = attemptKey(key, a.attempt);
        m.unacknowledgedStarts.add(attempt);
        started.push(attempt);
        commands.push({ type: 'launch', task: key, attempt: a.attempt });
      }
    }
    return { commands, started };
  }
}

/** Whether all that a job finished is in the store. */
function areCompletionsStored(job: Job): boolean {
  return job.committedVersion >= job.version || job.committedProgress.done >= job.doneCount;
}
