import {
  attemptKey,
  isAfter,
  leaseEnd,
  provenAbsent,
  toReport,
  type Machine,
  type Report,
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
import type { RelayedReport } from '../peer/messages.js';
import type { Board } from './board.js';
import type { TermDeps } from './deps.js';
import type { Gangs } from './gangs.js';
import type { Orders } from './orders.js';

type UnchangedReport = RelayedReport & { readonly kind: 'unchanged' };

/** A job that fails on this many machines is probably at fault itself. */
const FAULTY_MACHINES = 3;
const FAULT_HOLD = seconds(15);
/** Held no longer, and kept off a machine no longer: nobody waits beside room for minutes. */
const MAX_HOLD = seconds(60);
const FULL_HOLD = seconds(2);
/** A worker whose lease had so much of its time left when it began a new session never got our answer. */
const HEARD_SHARE = 0.4;

/** Takes in what machines report, and what follows from it for the tasks on them. */
export class Reports {
  private nextBaseline = 1;
  private readonly noOrders: HeartbeatReply;

  constructor(
    private readonly epoch: Epoch,
    private readonly board: Board,
    private readonly orders: Orders,
    private readonly gangs: Gangs,
    private readonly deps: TermDeps,
    /** The machine may have come to be of use. */
    private readonly wake: () => void,
  ) {
    this.noOrders = { fencingToken: epoch, commands: [] };
  }

  /** A report that came straight from its worker. */
  take(b: Heartbeat): HeartbeatReply {
    return this.receive(b, toReport(b), undefined);
  }

  /** A report that a follower passed on, and the baseline by which it may refer to it from now on. */
  takeRelayed(b: Heartbeat, through: NodeId): { reply: HeartbeatReply; baseline: number } {
    const baseline = this.nextBaseline++;
    return { reply: this.receive(b, { ...toReport(b), baseline }, through), baseline };
  }

  /**
   * A report that shows what the one taken as its baseline showed; undefined if that is not the latest
   * that we know of the machine, so that it must come in full.
   */
  takeUnchanged(u: UnchangedReport, through: NodeId): HeartbeatReply | undefined {
    const m = this.board.fleet.machines.get(MachineId(u.machine));
    const last = m?.report;
    if (!m || last?.baseline !== u.unchangedSince || last.session !== u.session) return undefined;
    return this.accept(m, { ...last, sequence: u.sequence, token: u.token }, through);
  }

  private receive(b: Heartbeat, r: Report, through: NodeId | undefined): HeartbeatReply {
    const id = MachineId(b.machine);
    const { fleet } = this.board;
    if (fleet.isGone(id)) return this.noOrders;
    const m = fleet.meet(id, { type: b.machineType, zone: b.zone, spot: b.spot }, b.address);
    return this.accept(m, r, through);
  }

  private accept(m: Machine, r: Report, through: NodeId | undefined): HeartbeatReply {
    const now = this.deps.clock.steady();
    const wasUp = m.up;
    const last = m.report;
    const fresh = m.take(r, now);
    if (fresh && last) this.noteHearing(m, r, last, now);
    m.answered(leaseEnd(now, this.deps.settings.workers.lease));
    if (!fresh) return this.noOrders;
    m.reportsThrough = through;
    if (!wasUp) this.wake();
    this.observe(m, r, true);
    return { fencingToken: this.epoch, commands: this.orders.answer(m, r) };
  }

  /**
   * Whether a machine hears what we tell it. One whose reports arrive while our answers do not would
   * keep its tasks for ever, since each of its reports seems to renew its lease.
   */
  private noteHearing(m: Machine, r: Report, last: Report, now: SteadyMs): void {
    const { lease } = this.deps.settings.workers;
    if (r.token >= this.epoch && last.token < this.epoch) m.heeded();
    // Its lease ran out though its last report was answered in time.
    const cutShort = r.session > last.session && since(now, m.expires) > lease * HEARD_SHARE;
    if (cutShort && last.token >= this.epoch) {
      m.deafSince ??= now;
      return;
    }
    let ignored = r.token < this.epoch;
    for (const [key, a] of m.assigned) {
      const p = this.board.ledger.jobs.get(a.job)?.placed.get(a.index);
      if (!p?.sent || p.seen) continue;
      if (r.byAttempt.has(attemptKey(key, a.attempt))) {
        m.heeded();
        return;
      }
      ignored ||= isAfter(r, p.sent);
    }
    if (ignored) m.ignored(now);
  }

  /** Takes in what a report shows. */
  observe(m: Machine, r: Report, beat: boolean): void {
    const now = this.deps.clock.steady();
    const { fleet, ledger } = this.board;
    let busy = false;
    for (const e of r.tasks) {
      const ref = parseTaskKey(e.task);
      if (e.state !== TaskState.exited) busy = true;
      if (!ref) continue;
      const job = ledger.jobs.get(ref.job);
      const p = job?.placed.get(ref.index);
      const mine = p !== undefined && p.machine === m.id && p.attempt === e.attempt;
      if (e.state !== TaskState.exited) {
        if (mine && job) {
          p.seen = true;
          if (e.state === TaskState.running) {
            if (!p.ran) this.noteStart(job, ref.index, p, m);
            m.uses(job.spec.image, job.spec.imageSizeGb);
          }
        } else fleet.stray(taskKey(ref.job, ref.index), m.id);
      } else if (e.exitReason === ExitReason.done) {
        if (job && !job.isDone(ref.index)) {
          m.uses(job.spec.image, job.spec.imageSizeGb);
          if (job.isGang) this.gangs.complete(job);
          else this.board.finish(job, ref.index);
        }
      } else if (mine && job) {
        this.failed(m, job, ref.index, e, now);
      }
    }
    fleet.sweepStrays(m, r);
    for (const [key, a] of [...m.assigned]) {
      const job = ledger.jobs.get(a.job);
      const p = job?.placed.get(a.index);
      if (!job || !p || p.machine !== m.id || p.attempt !== a.attempt) {
        m.unassign(key);
        continue;
      }
      if (r.byAttempt.has(attemptKey(key, a.attempt))) continue;
      // Not wanted there any more: a proof of absence frees it.
      // An inherited one starts over in the queue: its leader may have given its room away already
      // without having written that, and starting it again could take its team over the limit.
      const leaves = m.draining && p.version <= job.committed;
      const unwanted = job.aborted || p.inherited || p.evict !== undefined || leaves;
      if (!unwanted) continue;
      const how = { inherited: p.inherited, sent: p.sent };
      if (provenAbsent(r, beat, key, a.attempt, how, m.doubts, this.epoch)) {
        this.board.unplace(job, a.index, 'not on its machine');
      }
    }
    if (m.assigned.size > 0 || busy) m.idleSince = undefined;
    else m.idleSince ??= now;
  }

  /** For those who ask where the time went between a submission and its start. */
  private noteStart(job: Job, index: number, p: Placement, m: Machine): void {
    this.board.ran(job, index, p);
    const { clock, log } = this.deps;
    log.debug(
      {
        job: job.id,
        index,
        machine: m.id,
        docket: job.spec.jobClass,
        sinceSubmitMs: Math.round(clock.wall() - job.submitted),
        sincePlacedMs: Math.round(since(p.at, clock.steady())),
        hadImage: p.hadImage,
      },
      'running',
    );
  }

  private failed(m: Machine, job: Job, index: number, e: TaskStatus, now: SteadyMs): void {
    this.board.unplace(job, index, e.exitReason ?? 'exited');
    switch (e.exitReason) {
      case ExitReason.failed:
        m.faults++;
        job.faultyOn.set(m.id, later(now, MAX_HOLD));
        this.deps.log.warn({ job: job.id, index, machine: m.id }, 'task failed');
        // The machine is suspected first: it gets a rest, and this job goes elsewhere.
        m.heldUntil = later(now, ms(FAULT_HOLD * Math.min(4, m.faults)));
        if (job.faultyOn.size >= FAULTY_MACHINES) {
          // It failed on several: now the job is, and it must not eat the fleet.
          job.holds++;
          job.faultyOn.clear();
          job.heldUntil = later(now, ms(Math.min(MAX_HOLD, FAULT_HOLD * 2 ** job.holds)));
          this.deps.log.warn({ job: job.id, desk: job.spec.team }, 'job held back after failures');
        }
        break;
      case ExitReason.insufficientResources:
      case ExitReason.attemptConflict:
        m.heldUntil = later(now, FULL_HOLD);
        break;
      case ExitReason.unknownTask:
        job.heldUntil = later(now, FULL_HOLD);
        break;
      default:
    }
  }
}
