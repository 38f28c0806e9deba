/**
 * A term: what the leader does under one epoch. This module makes its parts and passes calls on to them:
 * records and fleet (`Ledger`, `Fleet`, `PlacementIndex`), heartbeats and commands, placing, capacity,
 * users' requests, and the work at intervals.
 */
import { Autoscaler } from '../capacity/autoscaler.js';
import { Fleet } from '../fleet/fleet.js';
import { taskResources } from '../fleet/resources.js';
import type { Job } from '../ledger/job.js';
import type { LedgerEvents } from '../ledger/ledger-events.js';
import { Ledger } from '../ledger/ledger.js';
import type { UnchangedHeartbeat } from '../peer/messages.js';
import { detach } from '../units/detach.js';
import type { Epoch, JobId, NodeId, SteadyMs } from '../units/index.js';
import type { Heartbeat, HeartbeatReply, JobSpec } from '../wire/index.js';
import { DirectCommandSender } from './direct-command-sender.js';
import { ContactHistory } from './contact-history.js';
import type { TermDependencies } from './dependencies.js';
import { GangManager } from './gang-manager.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { JobRequests, type JobAnswer, type SubmitOutcome } from './job-requests.js';
import { MachineLoss } from './machine-loss.js';
import { NoticeWatcher } from './notice-watcher.js';
import { PeriodicWork } from './periodic-work.js';
import { PlacementIndex } from './placement-index.js';
import { Rebuild } from './rebuild.js';
import { ResponseCommands } from './response-commands.js';
import { Scheduler } from './scheduler.js';
import { StatusReconciler } from './status-reconciler.js';

/** From the gain of an epoch to its loss. `start` it once; `close` ends all that it does. */
export class Term {
  private readonly ledger: Ledger;
  private readonly fleet: Fleet;
  private readonly placements: PlacementIndex;
  private readonly commands: DirectCommandSender;
  private readonly gangs: GangManager;
  private readonly heartbeats: HeartbeatHandler;
  private readonly scheduler: Scheduler;
  private readonly contacts: ContactHistory;
  private readonly machineLoss: MachineLoss;
  private readonly autoscaler: Autoscaler;
  private readonly jobs: JobRequests;
  private readonly rebuild: Rebuild;
  private readonly notices: NoticeWatcher;
  private readonly periodicWork: PeriodicWork;
  private closed = false;

  constructor(
    readonly epoch: Epoch,
    private readonly deps: TermDependencies,
  ) {
    const { clock, jobRecords, log } = deps;
    const startedAt = clock.steady();
    this.rebuild = new Rebuild(deps, (job) => this.jobs.adopt(job));
    this.ledger = this.createLedger();
    this.fleet = this.createFleet(startedAt);
    this.placements = this.createPlacements();
    const observer = new StatusReconciler(epoch, this.placements, deps);
    this.commands = new DirectCommandSender(epoch, this.placements, observer, deps);
    this.gangs = new GangManager(this.placements, this.commands, clock);
    this.heartbeats = this.createHeartbeats(observer);
    this.scheduler = new Scheduler(epoch, this.placements, this.commands, deps);
    this.contacts = new ContactHistory(deps.peers, startedAt);
    this.machineLoss = new MachineLoss(this.fleet, this.placements, clock, log);
    this.autoscaler = this.createAutoscaler();
    const { ledger, fleet, placements, commands, gangs, scheduler } = this;
    const { autoscaler, contacts, machineLoss } = this;
    this.jobs = new JobRequests({ ledger, placements, commands, scheduler, jobRecords, clock });
    this.notices = new NoticeWatcher(jobRecords, this.jobs, ledger, clock);
    this.periodicWork = new PeriodicWork(
      {
        epoch,
        deps,
        ledger,
        fleet,
        commands,
        gangs,
        scheduler,
        autoscaler,
        contacts,
        machineLoss,
      },
      startedAt,
    );
  }

  private createLedger(): Ledger {
    const { clock, log, onDeposed, random, recordLimits, store } = this.deps;
    const events: LedgerEvents = {
      onCommitted: (job) => this.pushStarts(job),
      onReplaced: (job) => this.placements.replaceJob(job),
      onDropped: (job) => this.releasePlacements(job),
      onFinished: (job, final) => {
        log.info({ job: job.id, team: final.team, status: final.status }, 'job over');
      },
      onDeposed: () => onDeposed(this.epoch),
    };
    return new Ledger({
      store,
      epoch: this.epoch,
      limits: recordLimits,
      clock,
      random,
      log,
      events,
    });
  }

  private createFleet(startedAt: SteadyMs): Fleet {
    const { catalog, imageHints, settings } = this.deps;
    return new Fleet({
      startedAt,
      lease: settings.workers.lease,
      cacheSizeOf: (machineType) => catalog.machineType(machineType)?.cacheGb,
      imageHintsFor: (id) => imageHints.imagesOnMachine(id),
      resourcesOf: (id) => {
        const job = this.ledger.jobs.get(id);
        return job && taskResources(job.spec);
      },
    });
  }

  private createPlacements(): PlacementIndex {
    const { clock, log } = this.deps;
    return new PlacementIndex({
      ledger: this.ledger,
      fleet: this.fleet,
      clock,
      log,
      events: {
        onCapacityChanged: () => this.scheduler.schedulePlacement(),
        onGangBroken: (job) => this.gangs.onGangBroken(job),
      },
    });
  }

  private createHeartbeats(observer: StatusReconciler): HeartbeatHandler {
    const { clock, settings } = this.deps;
    return new HeartbeatHandler({
      epoch: this.epoch,
      clock,
      lease: settings.workers.lease,
      placements: this.placements,
      observer,
      replies: new ResponseCommands(this.ledger, this.deps),
      onMachineUp: () => this.scheduler.schedulePlacement(),
    });
  }

  private createAutoscaler(): Autoscaler {
    const { catalog, clock, cloud, log, operator, random, settings } = this.deps;
    const autoscaler = new Autoscaler(
      {
        fleet: this.fleet,
        answeringSince: () => this.contacts.answeringSince,
        unreachableAt: this.contacts.unreachableAt,
        queue: () => this.scheduler.jobQueue(),
        specOf: (id) => this.ledger.jobs.get(id)?.spec,
        anticipatedWork: () => this.scheduler.anticipatedSubmissions(),
        noteRemoved: (machine, reason) => this.machineLoss.remove(machine, reason),
      },
      { cloud, catalog, epoch: this.epoch, settings, operator, clock, random, log },
    );
    autoscaler.onMachineTypesChanged = this.deps.onMachineTypesChanged;
    return autoscaler;
  }

  /** Whether the records are read: before that, this term answers no request about a job and places no task. */
  get isReady(): boolean {
    return this.scheduler.isReady;
  }

  /** Whether the term is over. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Resolves once the term is ready or closed, or has taken too long to become ready. */
  get rebuildSettled(): Promise<void> {
    return this.rebuild.settled;
  }

  /** Whether workers that report straight to this node are sent to the others. */
  get redirectsWorkers(): boolean {
    return this.periodicWork.redirectsWorkers;
  }

  /** Resolves once the records are read and the work at intervals has begun, or the term is closed. */
  async start(): Promise<void> {
    if (!(await this.rebuild.run())) return;
    this.scheduler.isReady = true;
    this.rebuild.close();
    this.deps.log.info(
      { jobs: this.ledger.jobs.size, machines: this.fleet.machines.size },
      'rebuilt from the records',
    );
    detach(this.notices.run(), this.deps.log, 'watching notices');
    this.periodicWork.start();
  }

  /** Nothing is written, sent or concluded any more. */
  close(): void {
    this.closed = true;
    this.rebuild.close();
    this.notices.close();
    this.periodicWork.close();
    this.jobs.close();
    this.ledger.close();
    this.commands.close();
    this.scheduler.close();
    this.autoscaler.close();
  }

  // --- jobs -------------------------------------------------------------------------------------

  /** See `JobRequests.submit`. */
  submitJob(spec: JobSpec): Promise<SubmitOutcome> {
    return this.jobs.submit(spec);
  }

  /** See `JobRequests.find`. */
  findJob(id: JobId): Promise<JobAnswer> {
    return this.jobs.find(id);
  }

  /** See `JobRequests.cancel`. */
  cancelJob(id: JobId): Promise<JobAnswer> {
    return this.jobs.cancel(id);
  }

  /** Placements are committed: their starts may leave. */
  private pushStarts(job: Job): void {
    for (const placement of job.placements.values()) {
      const isStartDue = !placement.isReported && !placement.isStartPushed;
      if (isStartDue && placement.version <= job.committedVersion) {
        this.commands.scheduleDirectCommands(placement.machine);
      }
    }
  }

  /** A submission came to nothing: the starts of what was placed of it never left. */
  private releasePlacements(job: Job): void {
    for (const index of job.placements.keys()) this.placements.releaseTask(job, index);
  }

  // --- machines ---------------------------------------------------------------------------------

  /** The answer to a heartbeat that came straight from its worker. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply {
    return this.heartbeats.handleDirect(heartbeat);
  }

  /** The answer to a heartbeat that a follower passed on, and the baseline for later ones. */
  handleRelayedHeartbeat(
    heartbeat: Heartbeat,
    through: NodeId,
  ): { reply: HeartbeatReply; baseline: number } {
    return this.heartbeats.handleRelayed(heartbeat, through);
  }

  /** The answer to a heartbeat that shows what its baseline showed; undefined if it must come in full. */
  handleUnchangedHeartbeat(
    heartbeat: UnchangedHeartbeat,
    through: NodeId,
  ): HeartbeatReply | undefined {
    return this.heartbeats.handleUnchanged(heartbeat, through);
  }
}
