/**
 * A term: the work of the leader under one epoch. This module creates the components of a term and delegates
 * calls to them: records and fleet (`Ledger`, `Fleet`, `PlacementIndex`), heartbeats and commands, placement,
 * scaling, users' requests and periodic work.
 */
import { Autoscaler } from '../capacity/autoscaler.js';
import { Fleet } from '../fleet/fleet.js';
import { taskResources } from '../fleet/resources.js';
import type { Job } from '../ledger/job.js';
import type { LedgerEvents } from '../ledger/ledger-events.js';
import type { JobPhase } from '../ledger/job-phase.js';
import { Ledger } from '../ledger/ledger.js';
import type { UnchangedHeartbeat } from '../peer/messages.js';
import { runInBackground } from '../units/run-in-background.js';
import {
  MachineId,
  type Epoch,
  type JobId,
  type ControllerId,
  type SteadyMs,
} from '../units/index.js';
import type { Heartbeat, WorkerHeartbeatResponse, JobSpec } from '../wire/index.js';
import { AttemptClearance } from './attempt-clearance.js';
import { DirectCommandSender } from './direct-command-sender.js';
import { ContactHistory } from './contact-history.js';
import type { TermDependencies } from './term-dependencies.js';
import { FencingTokens } from './fencing-tokens.js';
import { GangManager } from './gang-manager.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { JobRequests, type JobLookupResult, type SubmitOutcome } from './job-requests.js';
import { MachineLossHandler } from './machine-loss-handler.js';
import { InboxWatcher } from './inbox-watcher.js';
import { PeriodicWork } from './periodic-work.js';
import { PlacementIndex } from './placement-index.js';
import { JobRecovery } from './job-recovery.js';
import { ReadLeaseHold } from './read-lease-hold.js';
import { ResponseCommands } from './response-commands.js';
import { Scheduler } from './scheduler.js';
import { StartFencing } from './start-fencing.js';
import { StatusReconciler } from './status-reconciler.js';

/** Leads under one epoch. `start` is called once; `close` ends all work of the term. */
export class Term {
  /** When this controller had learned that it holds the leader key. */
  readonly startedAt: SteadyMs;
  private readonly ledger: Ledger;
  private readonly fencingTokens: FencingTokens;
  private readonly clearance: AttemptClearance;
  private readonly startFencing: StartFencing;
  private readonly fleet: Fleet;
  private readonly placements: PlacementIndex;
  private readonly commands: DirectCommandSender;
  private readonly gangs: GangManager;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly scheduler: Scheduler;
  private readonly contactHistory: ContactHistory;
  private readonly machineLossHandler: MachineLossHandler;
  private readonly autoscaler: Autoscaler;
  private readonly jobRequests: JobRequests;
  private readonly jobRecovery: JobRecovery;
  private readonly inboxWatcher: InboxWatcher;
  private readonly periodicWork: PeriodicWork;
  private hasClosed = false;

  constructor(
    readonly epoch: Epoch,
    private readonly deps: TermDependencies,
  ) {
    const { clock, jobRecords, log } = deps;
    const startedAt = clock.steady();
    this.startedAt = startedAt;
    this.jobRecovery = new JobRecovery(deps, (job) => this.jobRequests.addStoredJob(job));
    this.ledger = this.createLedger();
    this.fencingTokens = new FencingTokens(epoch, this.ledger);
    this.clearance = new AttemptClearance(this.ledger, this.fencingTokens, deps.settings);
    this.startFencing = this.createStartFencing();
    this.fleet = this.createFleet(startedAt);
    this.placements = this.createPlacementIndex();
    const observer = new StatusReconciler(epoch, this.placements, deps);
    this.commands = new DirectCommandSender(
      epoch,
      this.placements,
      this.startFencing,
      observer,
      deps,
    );
    this.gangs = new GangManager(this.placements, this.commands, clock);
    this.heartbeatHandler = this.createHeartbeatHandler(observer);
    this.scheduler = new Scheduler(epoch, this.placements, this.commands, deps);
    this.contactHistory = new ContactHistory(deps.peers, startedAt);
    this.machineLossHandler = new MachineLossHandler(this.fleet, this.placements, clock, log);
    this.autoscaler = this.createAutoscaler();
    this.jobRequests = this.createJobRequests();
    this.inboxWatcher = new InboxWatcher(jobRecords, this.jobRequests, this.ledger, clock);
    this.periodicWork = this.createPeriodicWork(startedAt);
  }

  private createJobRequests(): JobRequests {
    const { ledger, placements, commands, scheduler } = this;
    const { clock, jobRecords } = this.deps;
    return new JobRequests({ ledger, placements, commands, scheduler, jobRecords, clock });
  }

  private createPeriodicWork(startedAt: SteadyMs): PeriodicWork {
    const { epoch, deps, ledger, fleet, commands, gangs, scheduler } = this;
    const { autoscaler, contactHistory, machineLossHandler } = this;
    return new PeriodicWork(
      {
        epoch,
        deps,
        ledger,
        fleet,
        commands,
        gangs,
        scheduler,
        autoscaler,
        contactHistory,
        machineLossHandler,
      },
      startedAt,
    );
  }

  private createLedger(): Ledger {
    const { clock, log, onDeposed, random, recordLimits, store } = this.deps;
    const events: LedgerEvents = {
      onCommitted: (job) => this.scheduleStarts(job),
      onReplaced: (job) => this.placements.replaceJob(job),
      onDropped: (job) => this.releasePlacedTasks(job),
      onFinished: (job, final) => {
        log.info({ job: job.id, team: final.team, status: final.status }, 'job finished');
      },
      onLeaderKeyLost: () => onDeposed(this.epoch),
    };
    const hold = new ReadLeaseHold(this.deps);
    const ledger = new Ledger({
      store,
      epoch: this.epoch,
      limits: recordLimits,
      clock,
      random,
      log,
      events,
      hold,
    });
    hold.onReleased = () => ledger.scheduleCommit();
    return ledger;
  }

  private createStartFencing(): StartFencing {
    const { ledger, fencingTokens, clearance } = this;
    return new StartFencing(ledger.jobs, fencingTokens, clearance, this.deps.clock);
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

  private createPlacementIndex(): PlacementIndex {
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

  private createHeartbeatHandler(observer: StatusReconciler): HeartbeatHandler {
    const { clock, log, settings } = this.deps;
    return new HeartbeatHandler({
      epoch: this.epoch,
      clock,
      log,
      lease: settings.workers.lease,
      placements: this.placements,
      tokens: this.fencingTokens,
      observer,
      fencing: this.startFencing,
      responseCommands: new ResponseCommands(this.ledger, this.startFencing, this.clearance, log),
      onMachineUp: () => this.scheduler.schedulePlacement(),
    });
  }

  private createAutoscaler(): Autoscaler {
    const { catalog, clock, cloud, log, operator, random, settings } = this.deps;
    const autoscaler = new Autoscaler(
      {
        fleet: this.fleet,
        respondingSince: () => this.contactHistory.respondingSince,
        unreachableAt: this.contactHistory.unreachableAt,
        queue: () => this.scheduler.jobQueue(),
        specOf: (id) => this.ledger.jobs.get(id)?.spec,
        anticipatedWork: () => this.scheduler.anticipatedSubmissions(),
        onMachineRemoved: (machine, reason) => this.machineLossHandler.remove(machine, reason),
      },
      { cloud, catalog, epoch: this.epoch, settings, operator, clock, random, log },
    );
    autoscaler.onMachineTypesChanged = this.deps.onMachineTypesChanged;
    return autoscaler;
  }

  /** Whether all job records have been read. Before that, the term handles no job request and places no task. */
  get isReady(): boolean {
    return this.scheduler.isReady;
  }

  /** Whether the term has ended. */
  get isClosed(): boolean {
    return this.hasClosed;
  }

  /** Resolves once the term is ready or closed, or recovery has exceeded its time limit. */
  get recoveryOrTimeout(): Promise<void> {
    return this.jobRecovery.completionOrTimeout;
  }

  /** Whether workers that send heartbeats directly to this controller are redirected to followers. */
  get isRedirectingWorkers(): boolean {
    return this.periodicWork.isRedirectingWorkers;
  }

  /** Resolves once all records have been read and periodic work has started, or the term is closed. */
  async start(): Promise<void> {
    if (!(await this.jobRecovery.run())) return;
    this.scheduler.isReady = true;
    this.jobRecovery.close();
    this.deps.log.info(
      { jobs: this.ledger.jobs.size, machines: this.fleet.machines.size },
      'job records recovered from the store; scheduling starts',
    );
    runInBackground(this.inboxWatcher.run(), this.deps.log, 'watching the inbox');
    this.periodicWork.start();
  }

  /** Ends the term: from now on, nothing is written, sent or decided. */
  close(): void {
    this.hasClosed = true;
    this.jobRecovery.close();
    this.inboxWatcher.close();
    this.periodicWork.close();
    this.jobRequests.close();
    this.ledger.close();
    this.commands.close();
    this.scheduler.close();
    this.autoscaler.close();
  }

  // --- jobs -------------------------------------------------------------------------------------

  /** See `JobRequests.submit`. */
  submitJob(spec: JobSpec): Promise<SubmitOutcome> {
    return this.jobRequests.submit(spec);
  }

  /** See `JobRequests.find`. */
  findJob(id: JobId): Promise<JobLookupResult> {
    return this.jobRequests.find(id);
  }

  /** See `JobRequests.isCurrent`. */
  isCurrentPhase(id: JobId, phase: JobPhase): boolean {
    return this.jobRequests.isCurrent(id, phase);
  }

  /** See `JobRequests.cancel`. */
  cancelJob(id: JobId): Promise<JobLookupResult> {
    return this.jobRequests.cancel(id);
  }

  /** Schedules the starts of a job's committed placements. */
  private scheduleStarts(job: Job): void {
    for (const placement of job.placements.values()) {
      const isStartDue = !placement.isReported && !placement.isStartSentDirectly;
      if (isStartDue && placement.version <= job.committedVersion) {
        this.commands.scheduleDirectCommands(placement.machine);
      }
    }
  }

  /** Releases the placements of a job whose submission failed. Their starts were never sent. */
  private releasePlacedTasks(job: Job): void {
    for (const index of job.placements.keys()) this.placements.releaseTask(job, index);
  }

  // --- machines ---------------------------------------------------------------------------------

  /** Returns the response to a heartbeat that came directly from its worker. */
  handleHeartbeat(heartbeat: Heartbeat): WorkerHeartbeatResponse {
    return this.heartbeatHandler.handleDirect(heartbeat);
  }

  /** Returns the response to a heartbeat that a follower relayed, and the baseline for later heartbeats. */
  handleRelayedHeartbeat(
    heartbeat: Heartbeat,
    relayId: ControllerId,
  ): { response: WorkerHeartbeatResponse; baseline: number } {
    return this.heartbeatHandler.handleRelayed(heartbeat, relayId);
  }

  /** The highest fencing token that this term may have sent to a worker. */
  get highestFencingToken(): number {
    return this.fencingTokens.highest;
  }

  /** Records that the response to a machine's heartbeat carries this fencing token. */
  recordFencingTokenSent(machine: string, fencingToken: number): void {
    this.heartbeatHandler.recordFencingTokenSent(MachineId(machine), fencingToken);
  }

  /** Returns the response to a heartbeat with the same tasks as its baseline; undefined if it must be sent in full. */
  handleUnchangedHeartbeat(
    heartbeat: UnchangedHeartbeat,
    relayId: ControllerId,
  ): WorkerHeartbeatResponse | undefined {
    return this.heartbeatHandler.handleUnchanged(heartbeat, relayId);
  }
}
