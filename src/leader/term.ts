import { CapacityKeeper } from '../capacity/keeper.js';
import { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { sizeOfSpec } from '../fleet/size.js';
import { LIVE_PREFIX, decodeJob } from '../ledger/codec.js';
import { Job, Press, type Final } from '../ledger/job.js';
import { Ledger } from '../ledger/ledger.js';
import type { SteadyMs } from '../units/index.js';
import {
  JobId,
  Revision,
  ms,
  seconds,
  since,
  sleep,
  type DurationMs,
  type Epoch,
  type NodeId,
  type Timer,
} from '../units/index.js';
import type { RelayedReport } from '../peer/messages.js';
import type { Heartbeat, HeartbeatReply, JobSpec } from '../wire/index.js';
import { Board } from './board.js';
import type { TermDeps } from './deps.js';
import { Dispatch } from './dispatch.js';
import { Gangs, isUntold } from './gangs.js';
import { ImageHintSender } from './image-hints.js';
import { Orders } from './orders.js';
import { Reports } from './reports.js';
import { redirectsWorkers } from './worker-redirects.js';

const TICK = ms(500);
/** So much later than it was due, a tick shows that this process does not keep up. */
const BEHIND = seconds(1);
/** So much later, that it has no time for what can be left to the answers to reports. */
const BUSY = ms(150);
const HINTS_EVERY = seconds(4);
const FLEET_EVERY = seconds(10);
const STORE_TIMEOUT = ms(2000);
/** Reports that come while the records are being read wait so long for it, counted from the beginning. */
const MOST_REBUILD_WAIT = ms(1500);
/** A submission that would wait longer for its turn to be written is refused at once. */
const MOST_INTAKE_WAIT = ms(1000);

export type Answer =
  | { kind: 'job'; job: Job }
  | { kind: 'final'; final: Final }
  | { kind: 'absent' }
  | { kind: 'unsure' };

export type Submitted = Answer | { kind: 'created' } | { kind: 'busy'; after: DurationMs };

/** What the leader does under one epoch: rebuild, take reports, place, order, settle. */
export class Term {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly capacity: CapacityKeeper;
  private readonly board: Board;
  private readonly orders: Orders;
  private readonly gangs: Gangs;
  private readonly reports: Reports;
  private readonly dispatch: Dispatch;
  private readonly hintSender = new ImageHintSender();
  private hintsSent: SteadyMs;
  private fleetTold: SteadyMs;
  private ruled = true;
  private redirecting = false;
  private listening: SteadyMs;
  private readonly unreachableAt = new Map<NodeId, SteadyMs>();
  private ticked: SteadyMs;
  private closed = false;
  /** Resolves once the term is ready or closed, or has taken too long to become ready. */
  readonly rebuilt: Promise<void>;
  private stopWaiting: () => void = () => undefined;
  private ticker: Timer | undefined;

  constructor(
    readonly epoch: Epoch,
    private readonly deps: TermDeps,
  ) {
    const { settings, operator, catalog, clock, random, log } = deps;
    const began = clock.steady();
    this.listening = began;
    this.ticked = began;
    this.hintsSent = began;
    this.fleetTold = began;
    this.rebuilt = new Promise((resolve) => (this.stopWaiting = resolve));
    clock.after(MOST_REBUILD_WAIT, () => this.stopWaiting());
    this.ledger = new Ledger(deps.store, epoch, deps.recordLimits, clock, random, log, {
      committed: (job) => this.onCommitted(job),
      adopted: (job) => this.board.readopt(job),
      dropped: (job) => this.onDropped(job),
      finished: (job, final) => {
        log.info({ job: job.id, desk: final.desk, status: final.status }, 'job over');
      },
      deposed: () => deps.deposed(epoch),
    });
    this.fleet = new Fleet({
      began,
      lease: settings.workers.lease,
      cacheOf: (build) => catalog.flavor(build)?.cacheGb,
      hinted: (id) => deps.imageHints.of(id),
      sizeOf: (id) => {
        const job = this.ledger.jobs.get(id);
        return job && sizeOfSpec(job.spec);
      },
    });
    this.board = new Board(this.ledger, this.fleet, clock, log, {
      wake: () => this.dispatch.wake(),
      gangBroken: (job) => this.gangs.noteBroken(job),
    });
    this.orders = new Orders(epoch, this.board, deps, (m, r) => this.reports.observe(m, r, false));
    this.gangs = new Gangs(this.board, this.orders, clock);
    const wake = (): void => this.dispatch.wake();
    this.reports = new Reports(epoch, this.board, this.orders, this.gangs, deps, wake);
    this.dispatch = new Dispatch(epoch, this.board, this.orders, deps);
    this.capacity = new CapacityKeeper(
      {
        fleet: this.fleet,
        silentAfter: this.dispatch.silentAfter,
        listeningSince: () => this.listening,
        unreachableAt: this.unreachableAt,
        queue: () => this.dispatch.queue(),
        spec: (id) => this.ledger.jobs.get(id)?.spec,
        expected: () => this.dispatch.expected(),
        removed: (m, why) => this.removed(m, why),
      },
      deps.cloud,
      catalog,
      epoch,
      { settings, operator, clock, random, log },
    );
  }

  get isReady(): boolean {
    return this.dispatch.ready;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  close(): void {
    this.closed = true;
    this.stopWaiting();
    this.ticker?.cancel();
    this.ledger.close();
    this.orders.close();
    this.dispatch.close();
  }

  async start(): Promise<void> {
    for (;;) {
      if (this.closed) return;
      const listed = await this.deps.store.list(LIVE_PREFIX, STORE_TIMEOUT, true);
      if (this.closed) return;
      if (!listed) {
        await sleep(this.deps.clock, ms(300));
        continue;
      }
      const now = this.deps.clock.steady();
      for (const item of listed.items) {
        const id = JobId(item.key.slice(LIVE_PREFIX.length));
        try {
          this.deps.recordLimits.noteRecord(item.data);
          this.admit(decodeJob(id, item.data, item.revision, now));
        } catch (e) {
          this.deps.log.error({ job: id, err: e }, 'unreadable record; the job waits for repair');
        }
      }
      break;
    }
    this.dispatch.ready = true;
    this.stopWaiting();
    this.deps.log.info(
      { jobs: this.ledger.jobs.size, machines: this.fleet.machines.size },
      'rebuilt from the records',
    );
    void this.watchNotices();
    this.tick();
  }

  /** Whether workers that report straight to this node are sent to the others. */
  get redirectsWorkers(): boolean {
    return this.redirecting;
  }

  private tick(): void {
    if (this.closed) return;
    const now = this.deps.clock.steady();
    try {
      // While authority has lapsed nobody is heard, and nothing follows from that. Nor does it while
      // this process stands still or is far behind: what was reported may still wait to be read.
      const ruling = this.deps.authority() === this.epoch;
      const behind = since(this.ticked, now) > TICK + BEHIND;
      if (ruling && (!this.ruled || behind)) this.listening = now;
      this.ruled = ruling;
      this.notePeers(now);
      this.orders.isBusy = since(this.ticked, now) > TICK + BUSY;
      this.expire();
      if (ruling) {
        const { workers, limits } = this.deps.settings;
        const load = {
          machines: this.fleet.machines.size,
          report: workers.report,
          cpu: limits.cpu,
        };
        this.redirecting = redirectsWorkers(this.redirecting, load);
        this.gangs.reviewLeaving();
        this.sendHints();
        this.tellFleet();
        this.dispatch.wake();
        // In a turn of its own: right after a takeover it takes long, and so does the rest.
        this.deps.clock.after(ms(1), () => this.rent());
        this.orders.askSilent(this.fleet.machines.values(), this.dispatch.silentAfter);
      }
      this.ledger.kick();
    } catch (e) {
      this.deps.log.error({ err: e }, 'tick failed');
    }
    this.ticked = this.deps.clock.steady();
    this.ticker = this.deps.clock.after(TICK, () => this.tick());
  }

  private rent(): void {
    if (!this.closed && this.deps.authority() === this.epoch) this.capacity.tick();
  }

  private notePeers(now: SteadyMs): void {
    for (const [node, peer] of this.deps.peers) {
      if (!peer.responsive) this.unreachableAt.set(node, now);
    }
  }

  /** Now and then, for those on call: what there is, what is in use, and what waits. */
  private tellFleet(): void {
    const now = this.deps.clock.steady();
    if (since(this.fleetTold, now) < FLEET_EVERY) return;
    this.fleetTold = now;
    const machines: Record<string, { up: number; booting: number; cpus: number; used: number }> =
      {};
    for (const m of this.fleet.machines.values()) {
      const flavor = this.deps.catalog.flavor(m.place.type);
      if (!flavor) continue;
      const key = `${m.place.type} ${m.place.spot ? 'spot' : 'plain'}`;
      const sum = (machines[key] ??= { up: 0, booting: 0, cpus: 0, used: 0 });
      if (m.up) {
        sum.up++;
        sum.cpus += flavor.cpus;
        sum.used += Math.round(this.fleet.load(m).used.cpus);
      } else if (m.bootingSince !== undefined) sum.booting++;
    }
    const waiting: Record<string, number> = {};
    for (const job of this.ledger.jobs.values()) {
      if (job.aborted || job.waiting.size === 0) continue;
      waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waiting.size;
    }
    this.deps.log.info({ machines, jobs: this.ledger.jobs.size, waiting }, 'fleet');
  }

  /** The other nodes get to know what only this leader remembers, in case one takes over. */
  private sendHints(): void {
    const now = this.deps.clock.steady();
    if (since(this.hintsSent, now) < HINTS_EVERY) return;
    this.hintsSent = now;
    const up = [...this.fleet.machines.values()].filter((m) => m.up);
    const known = up.map((m) => ({ machine: m.id, images: m.images.list() }));
    for (const part of this.hintSender.parts(known, now)) this.deps.tellImages(part);
  }

  // --- jobs -------------------------------------------------------------------------------------

  /** Takes a job that the store holds into the ledger, and its placements onto their machines. */
  private admit(job: Job): void {
    this.ledger.insert(job);
    this.dispatch.standby.note(job.spec, this.deps.clock.steady());
    this.board.admit(job);
    if (job.settled) job.touch(Press.finish);
    this.dispatch.wake();
  }

  private onCommitted(job: Job): void {
    for (const p of job.placed.values()) {
      if (!p.seen && !p.pushed && p.version <= job.committed) this.orders.push(p.machine);
    }
  }

  /** A submission came to nothing: what was placed of it along the way was never sent. */
  private onDropped(job: Job): void {
    for (const index of job.placed.keys()) this.board.release(job, index);
  }

  async submit(spec: JobSpec): Promise<Submitted> {
    const id = JobId(spec.id);
    const known = this.known(id);
    if (known) {
      if (known.kind === 'job' && known.job.revision === 0) {
        await this.ledger.written(known.job);
      }
      return (await this.latest(id)) ?? { kind: 'unsure' };
    }
    // What can't be written soon is refused at once: whoever asks is told when to come back.
    const wait = this.ledger.intakeWait();
    if (wait > MOST_INTAKE_WAIT) return { kind: 'busy', after: wait };
    const job = new Job(id, spec, this.deps.clock.wall(), Revision(0));
    job.touch(Press.intake);
    this.ledger.insert(job);
    this.dispatch.standby.note(spec, this.deps.clock.steady());
    // What finds room now is placed in the same transaction that takes the job in.
    this.dispatch.place();
    const ok = await this.ledger.written(job);
    const now = await this.latest(id);
    if (now?.kind === 'final') return now;
    if (now?.kind === 'job' && now.job.revision > 0) {
      // It may have been cancelled, too, while it was being written.
      return ok && now.job === job && !job.aborted ? { kind: 'created' } : now;
    }
    return { kind: 'unsure' };
  }

  private known(id: JobId): Answer | undefined {
    const job = this.ledger.jobs.get(id);
    if (job) return { kind: 'job', job };
    const final = this.ledger.final(id);
    return final ? { kind: 'final', final } : undefined;
  }

  /**
   * What we know of the job, unless another node may have read its end in the store before we are
   * told of it: never answer older, to whatever question.
   */
  private async latest(id: JobId): Promise<Answer | undefined> {
    const known = this.known(id);
    if (known?.kind !== 'job' || !known.job.turning) return known;
    await this.ledger.written(known.job);
    const now = this.known(id);
    return now?.kind === 'job' && now.job.turning ? { kind: 'unsure' } : now;
  }

  /** The job as it is, by memory or, if it is not there, by the store. */
  async find(id: JobId): Promise<Answer> {
    const known = await this.latest(id);
    if (known) {
      return known.kind === 'job' && known.job.revision === 0 ? { kind: 'unsure' } : known;
    }
    const held = await this.deps.front.lookup(id);
    if (this.closed) return { kind: 'unsure' };
    if (held.kind === 'live') {
      // Another node took it in while it could not reach us.
      if (!this.known(id)) this.admit(held.job);
      return this.known(id) ?? { kind: 'unsure' };
    }
    if (held.kind === 'final') {
      this.ledger.remember(id, held.final);
      return { kind: 'final', final: held.final };
    }
    return held.kind === 'absent' ? { kind: 'absent' } : { kind: 'unsure' };
  }

  async abort(id: JobId): Promise<Answer> {
    const found = await this.find(id);
    if (found.kind !== 'job') return found;
    const { job } = found;
    job.abort();
    // What was never started need not be stopped.
    for (const [index, p] of [...job.placed]) {
      if (isUntold(p)) this.board.unplace(job, index, 'cancelled');
    }
    const ok = await this.ledger.written(job);
    if (!ok) return { kind: 'unsure' };
    for (const p of job.placed.values()) this.orders.push(p.machine);
    return this.known(id) ?? { kind: 'unsure' };
  }

  /** What other nodes did and ask for while they could not reach a leader. */
  private async watchNotices(): Promise<void> {
    while (!this.closed) {
      const notices = await this.deps.front.notices();
      if (this.closed) return;
      if (notices) {
        for (const { key, id, abort } of notices.notices) {
          const answer = abort ? await this.abort(id) : await this.find(id);
          if (this.closed) return;
          // One that comes again while it is forgotten asks for nothing that has not been done.
          if (answer.kind !== 'unsure') this.ledger.forgetNotice(key);
        }
        const change = await this.deps.front.followNotices(notices.revision);
        if (change) continue;
      }
      await sleep(this.deps.clock, seconds(1));
    }
  }

  // --- machines ---------------------------------------------------------------------------------

  takeReport(report: Heartbeat): HeartbeatReply {
    return this.reports.take(report);
  }

  takeRelayedReport(
    report: Heartbeat,
    through: NodeId,
  ): { reply: HeartbeatReply; baseline: number } {
    return this.reports.takeRelayed(report, through);
  }

  /** Undefined if the report must come in full. */
  takeUnchangedReport(
    report: RelayedReport & { readonly kind: 'unchanged' },
    through: NodeId,
  ): HeartbeatReply | undefined {
    return this.reports.takeUnchanged(report, through);
  }

  private expire(): void {
    const now = this.deps.clock.steady();
    for (const m of this.fleet.machines.values()) {
      if (now <= m.expires || (!m.up && m.assigned.size === 0)) continue;
      this.deps.log.warn({ machine: m.id, tasks: m.assigned.size }, 'worker lease expired');
      m.expire();
      this.board.freeAll(m, 'worker lease expired');
    }
    this.fleet.forgetGone(now);
  }

  /** The cloud answered that it is gone, or that it stopped on its own. */
  private removed(m: Machine, why: string): void {
    this.deps.log.info({ machine: m.id, tasks: m.assigned.size, why }, 'machine is gone');
    this.fleet.remove(m, this.deps.clock.steady());
    this.board.freeAll(m, why);
  }
}
