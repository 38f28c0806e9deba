import { Autoscaler } from '../capacity/autoscaler.js';
import { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { taskResources } from '../fleet/resources.js';
import { LIVE_PREFIX, decodeJob } from '../ledger/codec.js';
import { Job, WritePriority, type FinalState } from '../ledger/job.js';
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
import type { UnchangedHeartbeat } from '../peer/messages.js';
import type { Heartbeat, HeartbeatReply, JobSpec } from '../wire/index.js';
import { PlacementIndex } from './placement-index.js';
import type { TermDependencies } from './dependencies.js';
import { Scheduler } from './scheduler.js';
import { GangController, isStartUnsent } from './gang-controller.js';
import { ImageHintSender } from './image-hints.js';
import { CommandSender } from './command-sender.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { shouldRedirectWorkers } from './worker-redirects.js';

const TICK_INTERVAL = ms(500);
/** So much later than it was due, a tick shows that this process does not keep up. */
const STALL_THRESHOLD = seconds(1);
/** So much later, that it has no time for what can be left to the answers to reports. */
const BUSY_THRESHOLD = ms(150);
const HINT_INTERVAL = seconds(4);
const FLEET_LOG_INTERVAL = seconds(10);
const STORE_TIMEOUT = ms(2000);
/** Reports that come while the records are being read wait so long for it, counted from the beginning. */
const MAX_REBUILD_WAIT = ms(1500);
/** A submission that would wait longer for its turn to be written is refused at once. */
const MAX_ADMISSION_WAIT = ms(1000);

export type JobAnswer =
  | { kind: 'job'; job: Job }
  | { kind: 'final'; final: FinalState }
  | { kind: 'absent' }
  | { kind: 'unknown' };

export type SubmitResult = JobAnswer | { kind: 'created' } | { kind: 'busy'; after: DurationMs };

/** What the leader does under one epoch: rebuild, take reports, place, order, settle. */
export class Term {
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly autoscaler: Autoscaler;
  private readonly placements: PlacementIndex;
  private readonly commands: CommandSender;
  private readonly gangs: GangController;
  private readonly heartbeats: HeartbeatHandler;
  private readonly scheduler: Scheduler;
  private readonly hintSender = new ImageHintSender();
  private hintsSentAt: SteadyMs;
  private fleetLoggedAt: SteadyMs;
  private hadAuthority = true;
  private redirectingWorkers = false;
  private listeningSince: SteadyMs;
  private readonly unreachableAt = new Map<NodeId, SteadyMs>();
  private lastTickAt: SteadyMs;
  private closed = false;
  /** Resolves once the term is ready or closed, or has taken too long to become ready. */
  readonly rebuilt: Promise<void>;
  private stopWaiting: () => void = () => undefined;
  private ticker: Timer | undefined;

  constructor(
    readonly epoch: Epoch,
    private readonly deps: TermDependencies,
  ) {
    const { settings, operator, catalog, clock, random, log } = deps;
    const began = clock.steady();
    this.listeningSince = began;
    this.lastTickAt = began;
    this.hintsSentAt = began;
    this.fleetLoggedAt = began;
    this.rebuilt = new Promise((resolve) => (this.stopWaiting = resolve));
    clock.after(MAX_REBUILD_WAIT, () => this.stopWaiting());
    this.ledger = new Ledger(deps.store, epoch, deps.recordLimits, clock, random, log, {
      onCommitted: (job) => this.onCommitted(job),
      onReplaced: (job) => this.placements.replaceJob(job),
      onDropped: (job) => this.onDropped(job),
      onFinished: (job, final) => {
        log.info({ job: job.id, desk: final.team, status: final.status }, 'job over');
      },
      onDeposed: () => deps.onDeposed(epoch),
    });
    this.fleet = new Fleet({
      startedAt: began,
      lease: settings.workers.lease,
      cacheSizeOf: (build) => catalog.machineType(build)?.cacheGb,
      imageHintsFor: (id) => deps.imageHints.imagesOf(id),
      resourcesOf: (id) => {
        const job = this.ledger.jobs.get(id);
        return job && taskResources(job.spec);
      },
    });
    this.placements = new PlacementIndex(this.ledger, this.fleet, clock, log, {
      onRoomChanged: () => this.scheduler.schedulePlacing(),
      onGangBroken: (job) => this.gangs.noteBroken(job),
    });
    this.commands = new CommandSender(epoch, this.placements, deps, (m, r) =>
      this.heartbeats.observe(m, r, false),
    );
    this.gangs = new GangController(this.placements, this.commands, clock);
    const wake = (): void => this.scheduler.schedulePlacing();
    this.heartbeats = new HeartbeatHandler(
      epoch,
      this.placements,
      this.commands,
      this.gangs,
      deps,
      wake,
    );
    this.scheduler = new Scheduler(epoch, this.placements, this.commands, deps);
    this.autoscaler = new Autoscaler(
      {
        fleet: this.fleet,
        silenceThreshold: this.scheduler.silenceThreshold,
        listeningSince: () => this.listeningSince,
        unreachableAt: this.unreachableAt,
        queue: () => this.scheduler.queue(),
        specOf: (id) => this.ledger.jobs.get(id)?.spec,
        anticipatedWork: () => this.scheduler.anticipatedWork(),
        noteRemoved: (m, why) => this.onMachineRemoved(m, why),
      },
      deps.cloud,
      catalog,
      epoch,
      { settings, operator, clock, random, log },
    );
  }

  get isReady(): boolean {
    return this.scheduler.isReady;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  close(): void {
    this.closed = true;
    this.stopWaiting();
    this.ticker?.cancel();
    this.ledger.close();
    this.commands.close();
    this.scheduler.close();
  }

  async start(): Promise<void> {
    for (;;) {
      if (this.closed) return;
      const listed = await this.deps.store.list(LIVE_PREFIX, STORE_TIMEOUT, { urgent: true });
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
          this.addJob(decodeJob(id, item.data, item.revision, now));
        } catch (e) {
          this.deps.log.error({ job: id, err: e }, 'unreadable record; the job waits for repair');
        }
      }
      break;
    }
    this.scheduler.isReady = true;
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
    return this.redirectingWorkers;
  }

  private tick(): void {
    if (this.closed) return;
    const now = this.deps.clock.steady();
    try {
      // While authority has lapsed nobody is heard, and nothing follows from that. Nor does it while
      // this process stands still or is far behind: what was reported may still wait to be read.
      const ruling = this.deps.authority() === this.epoch;
      const behind = since(this.lastTickAt, now) > TICK_INTERVAL + STALL_THRESHOLD;
      if (ruling && (!this.hadAuthority || behind)) this.listeningSince = now;
      this.hadAuthority = ruling;
      this.noteUnreachablePeers(now);
      this.commands.isBusy = since(this.lastTickAt, now) > TICK_INTERVAL + BUSY_THRESHOLD;
      this.expireLeases();
      if (ruling) {
        const { workers, limits } = this.deps.settings;
        const load = {
          machines: this.fleet.machines.size,
          heartbeatInterval: workers.heartbeatInterval,
          cpu: limits.cpu,
        };
        this.redirectingWorkers = shouldRedirectWorkers(this.redirectingWorkers, load);
        this.gangs.reviewLeaving();
        this.sendImageHints();
        this.logFleet();
        this.scheduler.schedulePlacing();
        // In a turn of its own: right after a takeover it takes long, and so does the rest.
        this.deps.clock.after(ms(1), () => this.scaleCapacity());
        this.commands.probeSilent(this.fleet.machines.values(), this.scheduler.silenceThreshold);
      }
      this.ledger.scheduleCommit();
    } catch (e) {
      this.deps.log.error({ err: e }, 'tick failed');
    }
    this.lastTickAt = this.deps.clock.steady();
    this.ticker = this.deps.clock.after(TICK_INTERVAL, () => this.tick());
  }

  private scaleCapacity(): void {
    if (!this.closed && this.deps.authority() === this.epoch) this.autoscaler.tick();
  }

  private noteUnreachablePeers(now: SteadyMs): void {
    for (const [node, peer] of this.deps.peers) {
      if (!peer.responsive) this.unreachableAt.set(node, now);
    }
  }

  /** Now and then, for those on call: what there is, what is in use, and what waits. */
  private logFleet(): void {
    const now = this.deps.clock.steady();
    if (since(this.fleetLoggedAt, now) < FLEET_LOG_INTERVAL) return;
    this.fleetLoggedAt = now;
    const machines: Record<string, { up: number; booting: number; cpus: number; used: number }> =
      {};
    for (const m of this.fleet.machines.values()) {
      const flavor = this.deps.catalog.machineType(m.kind.machineType);
      if (!flavor) continue;
      const key = `${m.kind.machineType} ${m.kind.spot ? 'spot' : 'plain'}`;
      const sum = (machines[key] ??= { up: 0, booting: 0, cpus: 0, used: 0 });
      if (m.isUp) {
        sum.up++;
        sum.cpus += flavor.cpus;
        sum.used += Math.round(this.fleet.load(m).used.cpus);
      } else if (m.bootingSince !== undefined) sum.booting++;
    }
    const waiting: Record<string, number> = {};
    for (const job of this.ledger.jobs.values()) {
      if (job.cancelled || job.waiting.size === 0) continue;
      waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waiting.size;
    }
    this.deps.log.info({ machines, jobs: this.ledger.jobs.size, waiting }, 'fleet');
  }

  /** The other nodes get to know what only this leader remembers, in case one takes over. */
  private sendImageHints(): void {
    const now = this.deps.clock.steady();
    if (since(this.hintsSentAt, now) < HINT_INTERVAL) return;
    this.hintsSentAt = now;
    const up = [...this.fleet.machines.values()].filter((m) => m.isUp);
    const known = up.map((m) => ({ machine: m.id, images: m.images.list() }));
    for (const part of this.hintSender.nextMessages(known, now))
      this.deps.broadcastImageHints(part);
  }

  // --- jobs -------------------------------------------------------------------------------------

  /** Takes a job that the store holds into the ledger, and its placements onto their machines. */
  private addJob(job: Job): void {
    this.ledger.insert(job);
    this.scheduler.standby.noteSubmission(job.spec, this.deps.clock.steady());
    this.placements.addJob(job);
    if (job.isSettled) job.markChanged(WritePriority.completion);
    this.scheduler.schedulePlacing();
  }

  private onCommitted(job: Job): void {
    for (const p of job.placements.values()) {
      if (!p.isReported && !p.startPushed && p.version <= job.committedVersion)
        this.commands.schedulePush(p.machine);
    }
  }

  /** A submission came to nothing: what was placed of it along the way was never sent. */
  private onDropped(job: Job): void {
    for (const index of job.placements.keys()) this.placements.releaseTask(job, index);
  }

  async submitJob(spec: JobSpec): Promise<SubmitResult> {
    const id = JobId(spec.id);
    const known = this.knownJob(id);
    if (known) {
      if (known.kind === 'job' && known.job.revision === 0) {
        await this.ledger.whenCommitted(known.job);
      }
      return (await this.latestKnown(id)) ?? { kind: 'unknown' };
    }
    // What can't be written soon is refused at once: whoever asks is told when to come back.
    const wait = this.ledger.admissionWait();
    if (wait > MAX_ADMISSION_WAIT) return { kind: 'busy', after: wait };
    const job = new Job(id, spec, this.deps.clock.wall(), Revision(0));
    job.markChanged(WritePriority.admission);
    this.ledger.insert(job);
    this.scheduler.standby.noteSubmission(spec, this.deps.clock.steady());
    // What finds room now is placed in the same transaction that takes the job in.
    this.scheduler.placeWaiting();
    const ok = await this.ledger.whenCommitted(job);
    const now = await this.latestKnown(id);
    if (now?.kind === 'final') return now;
    if (now?.kind === 'job' && now.job.revision > 0) {
      // It may have been cancelled, too, while it was being written.
      return ok && now.job === job && !job.cancelled ? { kind: 'created' } : now;
    }
    return { kind: 'unknown' };
  }

  private knownJob(id: JobId): JobAnswer | undefined {
    const job = this.ledger.jobs.get(id);
    if (job) return { kind: 'job', job };
    const final = this.ledger.finalState(id);
    return final ? { kind: 'final', final } : undefined;
  }

  /**
   * What we know of the job, unless another node may have read its end in the store before we are
   * told of it: never answer older, to whatever question.
   */
  private async latestKnown(id: JobId): Promise<JobAnswer | undefined> {
    const known = this.knownJob(id);
    if (known?.kind !== 'job' || !known.job.terminalWriteInFlight) return known;
    await this.ledger.whenCommitted(known.job);
    const now = this.knownJob(id);
    return now?.kind === 'job' && now.job.terminalWriteInFlight ? { kind: 'unknown' } : now;
  }

  /** The job as it is, by memory or, if it is not there, by the store. */
  async findJob(id: JobId): Promise<JobAnswer> {
    const known = await this.latestKnown(id);
    if (known) {
      return known.kind === 'job' && known.job.revision === 0 ? { kind: 'unknown' } : known;
    }
    const held = await this.deps.jobRecords.lookup(id);
    if (this.closed) return { kind: 'unknown' };
    if (held.kind === 'live') {
      // Another node took it in while it could not reach us.
      if (!this.knownJob(id)) this.addJob(held.job);
      return this.knownJob(id) ?? { kind: 'unknown' };
    }
    if (held.kind === 'final') {
      this.ledger.rememberFinal(id, held.final);
      return { kind: 'final', final: held.final };
    }
    return held.kind === 'absent' ? { kind: 'absent' } : { kind: 'unknown' };
  }

  async cancelJob(id: JobId): Promise<JobAnswer> {
    const found = await this.findJob(id);
    if (found.kind !== 'job') return found;
    const { job } = found;
    job.cancel();
    // What was never started need not be stopped.
    for (const [index, p] of [...job.placements]) {
      if (isStartUnsent(p)) this.placements.requeueTask(job, index, 'cancelled');
    }
    const ok = await this.ledger.whenCommitted(job);
    if (!ok) return { kind: 'unknown' };
    for (const p of job.placements.values()) this.commands.schedulePush(p.machine);
    return this.knownJob(id) ?? { kind: 'unknown' };
  }

  /** What other nodes did and ask for while they could not reach a leader. */
  private async watchNotices(): Promise<void> {
    while (!this.closed) {
      const notices = await this.deps.jobRecords.notices();
      if (this.closed) return;
      if (notices) {
        for (const { key, id, cancels: abort } of notices.notices) {
          const answer = abort ? await this.cancelJob(id) : await this.findJob(id);
          if (this.closed) return;
          // One that comes again while it is forgotten asks for nothing that has not been done.
          if (answer.kind !== 'unknown') this.ledger.deleteNotice(key);
        }
        const change = await this.deps.jobRecords.watchNotices(notices.revision);
        if (change) continue;
      }
      await sleep(this.deps.clock, seconds(1));
    }
  }

  // --- machines ---------------------------------------------------------------------------------

  handleHeartbeat(report: Heartbeat): HeartbeatReply {
    return this.heartbeats.handleDirect(report);
  }

  handleRelayedHeartbeat(
    report: Heartbeat,
    through: NodeId,
  ): { reply: HeartbeatReply; baseline: number } {
    return this.heartbeats.handleRelayed(report, through);
  }

  /** Undefined if the report must come in full. */
  handleUnchangedHeartbeat(
    report: UnchangedHeartbeat,
    through: NodeId,
  ): HeartbeatReply | undefined {
    return this.heartbeats.handleUnchanged(report, through);
  }

  private expireLeases(): void {
    const now = this.deps.clock.steady();
    for (const m of this.fleet.machines.values()) {
      if (now <= m.leaseExpiresAt || (!m.isUp && m.assignments.size === 0)) continue;
      this.deps.log.warn({ machine: m.id, tasks: m.assignments.size }, 'worker lease expired');
      m.expireLease();
      this.placements.releaseMachine(m, 'worker lease expired');
    }
    this.fleet.forgetGone(now);
  }

  /** The cloud answered that it is gone, or that it stopped on its own. */
  private onMachineRemoved(m: Machine, why: string): void {
    this.deps.log.info({ machine: m.id, tasks: m.assignments.size, why }, 'machine is gone');
    this.fleet.remove(m, this.deps.clock.steady());
    this.placements.releaseMachine(m, why);
  }
}
