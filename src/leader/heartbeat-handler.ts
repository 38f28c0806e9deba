import {
  attemptKey,
  isAfter,
  workerLeaseEnd,
  isProvenAbsent,
  toWorkerStatus,
  type Machine,
  type WorkerStatus,
} from '../fleet/machine.js';
import type { Job, Placement } from '../ledger/job.js';
import {
  MachineId,
  later,
  ms,
  parseTaskKey,
  seconds,
  since,
  taskKey,
  type Epoch,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import {
  ExitReason,
  TaskState,
  type Heartbeat,
  type HeartbeatReply,
  type TaskStatus,
} from '../wire/index.js';
import type { UnchangedHeartbeat } from '../peer/messages.js';
import type { PlacementIndex } from './placement-index.js';
import type { TermDependencies } from './dependencies.js';
import type { GangController } from './gang-controller.js';
import type { CommandSender } from './command-sender.js';

/** A job that fails on this many machines is probably at fault itself. */
const MAX_FAILED_MACHINES = 3;
const FAILURE_PAUSE = seconds(15);
/** Held no longer, and kept off a machine no longer: nobody waits beside room for minutes. */
const MAX_FAILURE_PAUSE = seconds(60);
const REFUSAL_PAUSE = seconds(2);
/** A worker whose lease had so much of its time left when it began a new session never got our answer. */
const UNEXPIRED_SHARE = 0.4;

/** Takes in what machines report, and what follows from it for the tasks on them. */
export class HeartbeatHandler {
  private nextBaseline = 1;
  private readonly emptyReply: HeartbeatReply;

  constructor(
    private readonly epoch: Epoch,
    private readonly placements: PlacementIndex,
    private readonly commands: CommandSender,
    private readonly gangs: GangController,
    private readonly deps: TermDependencies,
    /** The machine may have come to be of use. */
    private readonly onMachineUp: () => void,
  ) {
    this.emptyReply = { fencingToken: epoch, commands: [] };
  }

  /** A report that came straight from its worker. */
  handleDirect(b: Heartbeat): HeartbeatReply {
    return this.receive(b, toWorkerStatus(b), undefined);
  }

  /** A report that a follower passed on, and the baseline by which it may refer to it from now on. */
  handleRelayed(b: Heartbeat, through: NodeId): { reply: HeartbeatReply; baseline: number } {
    const baseline = this.nextBaseline++;
    return { reply: this.receive(b, { ...toWorkerStatus(b), baseline }, through), baseline };
  }

  /**
   * A report that shows what the one taken as its baseline showed; undefined if that is not the latest
   * that we know of the machine, so that it must come in full.
   */
  handleUnchanged(u: UnchangedHeartbeat, through: NodeId): HeartbeatReply | undefined {
    const m = this.placements.fleet.machines.get(MachineId(u.machine));
    const last = m?.status;
    if (!m || last?.baseline !== u.unchangedSince || last.session !== u.session) return undefined;
    return this.accept(m, { ...last, sequence: u.sequence, fencingToken: u.fencingToken }, through);
  }

  private receive(b: Heartbeat, r: WorkerStatus, through: NodeId | undefined): HeartbeatReply {
    const id = MachineId(b.machine);
    const { fleet } = this.placements;
    if (fleet.isGone(id)) return this.emptyReply;
    const m = fleet.observe(
      id,
      { machineType: b.machineType, zone: b.zone, spot: b.spot },
      b.address,
    );
    return this.accept(m, r, through);
  }

  private accept(m: Machine, r: WorkerStatus, through: NodeId | undefined): HeartbeatReply {
    const now = this.deps.clock.steady();
    const wasUp = m.isUp;
    const last = m.status;
    const fresh = m.recordStatus(r, now);
    if (fresh && last) this.checkReception(m, r, last, now);
    m.extendLease(workerLeaseEnd(now, this.deps.settings.workers.lease));
    if (!fresh) return this.emptyReply;
    m.relayNode = through;
    if (!wasUp) this.onMachineUp();
    this.observe(m, r, true);
    return { fencingToken: this.epoch, commands: this.commands.commandsForReply(m, r) };
  }

  /**
   * Whether a machine hears what we tell it. One whose reports arrive while our answers do not would
   * keep its tasks for ever, since each of its reports seems to renew its lease.
   */
  private checkReception(m: Machine, r: WorkerStatus, last: WorkerStatus, now: SteadyMs): void {
    const { lease } = this.deps.settings.workers;
    if (r.fencingToken >= this.epoch && last.fencingToken < this.epoch) m.noteReceiving();
    // Its lease ran out though its last report was answered in time.
    const cutShort =
      r.session > last.session && since(now, m.leaseExpiresAt) > lease * UNEXPIRED_SHARE;
    if (cutShort && last.fencingToken >= this.epoch) {
      m.notReceivingSince ??= now;
      return;
    }
    let ignored = r.fencingToken < this.epoch;
    for (const [key, a] of m.assignments) {
      const p = this.placements.ledger.jobs.get(a.job)?.placements.get(a.index);
      if (!p?.sentInReplyTo || p.isReported) continue;
      if (r.byAttempt.has(attemptKey(key, a.attempt))) {
        m.noteReceiving();
        return;
      }
      ignored ||= isAfter(r, p.sentInReplyTo);
    }
    if (ignored) m.noteUnheeded(now);
  }

  /** Takes in what a report shows. */
  observe(m: Machine, r: WorkerStatus, beat: boolean): void {
    const now = this.deps.clock.steady();
    const { fleet, ledger } = this.placements;
    let busy = false;
    for (const e of r.tasks) {
      const ref = parseTaskKey(e.task);
      if (e.state !== TaskState.exited) busy = true;
      if (!ref) continue;
      const job = ledger.jobs.get(ref.job);
      const p = job?.placements.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.attempt;
      if (e.state !== TaskState.exited) {
        if (mine && job) {
          p.isReported = true;
          if (e.state === TaskState.running) {
            if (!p.hasRun) this.noteStart(job, ref.index, p, m);
            m.noteImageUse(job.spec.image, job.spec.imageSizeGb);
          }
        } else fleet.noteOrphan(taskKey(ref.job, ref.index), m.id);
      } else if (e.exitReason === ExitReason.done) {
        if (job && !job.isDone(ref.index)) {
          m.noteImageUse(job.spec.image, job.spec.imageSizeGb);
          if (job.isGang) this.gangs.completeJob(job);
          else this.placements.completeTask(job, ref.index);
        }
      } else if (mine && job) {
        this.handleFailure(m, job, ref.index, e, now);
      }
    }
    fleet.sweepOrphans(m, r);
    for (const [key, a] of [...m.assignments]) {
      const job = ledger.jobs.get(a.job);
      const p = job?.placements.get(a.index);
      if (!job || !p || p.machine !== m.id || p.attempt !== a.attempt) {
        m.unassign(key);
        continue;
      }
      if (r.byAttempt.has(attemptKey(key, a.attempt))) continue;
      // Not wanted there any more: a proof of absence frees it.
      // An inherited one starts over in the queue: its leader may have given its room away already
      // without having written that, and starting it again could take its team over the limit.
      const leaves = m.isDraining && p.version <= job.committedVersion;
      const unwanted =
        job.cancelled || p.inherited || p.evictionGraceSeconds !== undefined || leaves;
      if (!unwanted) continue;
      const how = { inherited: p.inherited, sent: p.sentInReplyTo };
      if (isProvenAbsent(r, beat, key, a.attempt, how, m.unacknowledgedStarts, this.epoch)) {
        this.placements.requeueTask(job, a.index, 'not on its machine');
      }
    }
    if (m.assignments.size > 0 || busy) m.idleSince = undefined;
    else m.idleSince ??= now;
  }

  /** For those who ask where the time went between a submission and its start. */
  private noteStart(job: Job, index: number, p: Placement, m: Machine): void {
    this.placements.noteRunning(job, index, p);
    const { clock, log } = this.deps;
    log.debug(
      {
        job: job.id,
        index,
        machine: m.id,
        docket: job.spec.jobClass,
        sinceSubmitMs: Math.round(clock.wall() - job.submittedAt),
        sincePlacedMs: Math.round(since(p.placedAt, clock.steady())),
        hadImage: p.imageWasCached,
      },
      'running',
    );
  }

  private handleFailure(m: Machine, job: Job, index: number, e: TaskStatus, now: SteadyMs): void {
    this.placements.requeueTask(job, index, e.exitReason ?? 'exited');
    switch (e.exitReason) {
      case ExitReason.failed:
        m.failureCount++;
        job.avoidedMachines.set(m.id, later(now, MAX_FAILURE_PAUSE));
        this.deps.log.warn({ job: job.id, index, machine: m.id }, 'task failed');
        // The machine is suspected first: it gets a rest, and this job goes elsewhere.
        m.quarantinedUntil = later(now, ms(FAILURE_PAUSE * Math.min(4, m.failureCount)));
        if (job.avoidedMachines.size >= MAX_FAILED_MACHINES) {
          // It failed on several: now the job is, and it must not eat the fleet.
          job.holdCount++;
          job.avoidedMachines.clear();
          job.heldBackUntil = later(
            now,
            ms(Math.min(MAX_FAILURE_PAUSE, FAILURE_PAUSE * 2 ** job.holdCount)),
          );
          this.deps.log.warn({ job: job.id, desk: job.spec.team }, 'job held back after failures');
        }
        break;
      case ExitReason.insufficientResources:
      case ExitReason.attemptConflict:
        m.quarantinedUntil = later(now, REFUSAL_PAUSE);
        break;
      case ExitReason.unknownTask:
        job.heldBackUntil = later(now, REFUSAL_PAUSE);
        break;
      default:
    }
  }
}
