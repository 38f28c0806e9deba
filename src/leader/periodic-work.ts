/** The work of a leader that runs at intervals rather than in response to requests and heartbeats. */
import type { Autoscaler } from '../capacity/autoscaler.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Ledger } from '../ledger/ledger.js';
import {
  ms,
  seconds,
  addDuration,
  durationBetween,
  type Epoch,
  type SteadyMs,
  type Timer,
} from '../units/index.js';
import type { DirectCommandSender } from './direct-command-sender.js';
import type { ContactHistory } from './contact-history.js';
import type { TermDependencies } from './term-dependencies.js';
import { FleetLog } from './fleet-log.js';
import type { GangManager } from './gang-manager.js';
import { ImageHintSender } from './image-hints.js';
import type { MachineLossHandler } from './machine-loss-handler.js';
import type { Scheduler } from './scheduler.js';
import { shouldRedirectWorkers } from './worker-redirects.js';

const TICK_INTERVAL = ms(500);
/** A tick that is late by more than this shows that the process has stalled or does not keep up. */
const STALLED_TICK_THRESHOLD = seconds(1);
/** A tick that is late by more than this shows that the process is busy: starts then go in response commands. */
const BUSY_TICK_THRESHOLD = ms(150);
/** Delay from a tick to scaling, which runs in a separate event loop turn: after a failover, both take long. */
const SCALING_DELAY = ms(1);
/** Limit for the share of time spent on scaling, which takes longer with each machine and each waiting job. */
const MAX_SCALING_TIME_SHARE = 0.1;

/** The components of a term that periodic work uses. */
export interface PeriodicWorkComponents {
  readonly epoch: Epoch;
  readonly deps: TermDependencies;
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly commands: DirectCommandSender;
  readonly gangs: GangManager;
  readonly scheduler: Scheduler;
  readonly autoscaler: Autoscaler;
  readonly contactHistory: ContactHistory;
  readonly machineLossHandler: MachineLossHandler;
}

/** Runs the tick of a term from `start` to `close`. */
export class PeriodicWork {
  private readonly imageHintSender: ImageHintSender;
  private readonly fleetLog: FleetLog;
  private isRedirecting = false;
  private nextScalingAt: SteadyMs;
  private lastTickAt: SteadyMs;
  private tickTimer: Timer | undefined;
  private scalingTimer: Timer | undefined;
  private isClosed = false;

  /** All intervals start at `startedAt`. */
  constructor(
    private readonly components: PeriodicWorkComponents,
    startedAt: SteadyMs,
  ) {
    const { deps, fleet, ledger } = components;
    this.lastTickAt = startedAt;
    this.nextScalingAt = startedAt;
    this.imageHintSender = new ImageHintSender(deps.broadcastImageHints, startedAt);
    const { catalog, log } = deps;
    this.fleetLog = new FleetLog({ fleet, ledger, catalog, log }, startedAt);
  }

  /** Whether workers that send heartbeats directly to this controller are redirected to followers. */
  get isRedirectingWorkers(): boolean {
    return this.isRedirecting;
  }

  /** Runs the first tick immediately. */
  start(): void {
    this.tick();
  }

  /** Cancels all further ticks. */
  close(): void {
    this.isClosed = true;
    this.tickTimer?.cancel();
    this.scalingTimer?.cancel();
  }

  private tick(): void {
    if (this.isClosed) return;
    const { clock, log } = this.components.deps;
    try {
      this.runTick(clock.steady());
    } catch (error) {
      log.error({ err: error }, 'leader: periodic work failed; retrying at the next tick');
    }
    this.lastTickAt = clock.steady();
    this.tickTimer = clock.after(TICK_INTERVAL, () => this.tick());
  }

  private runTick(now: SteadyMs): void {
    const { commands, contactHistory, ledger, machineLossHandler } = this.components;
    const hasAuthority = this.hasAuthority();
    const sinceLastTick = durationBetween(this.lastTickAt, now);
    contactHistory.recordAuthority(
      hasAuthority,
      sinceLastTick > TICK_INTERVAL + STALLED_TICK_THRESHOLD,
      now,
    );
    contactHistory.recordUnreachablePeers(now);
    commands.isControllerBusy = sinceLastTick > TICK_INTERVAL + BUSY_TICK_THRESHOLD;
    machineLossHandler.expireLeases();
    if (hasAuthority) this.tickAsLeader();
    ledger.scheduleCommit();
  }

  private hasAuthority(): boolean {
    return this.components.deps.authority() === this.components.epoch;
  }

  /** Runs the periodic work that requires authority. */
  private tickAsLeader(): void {
    const { commands, deps, fleet, gangs, scheduler } = this.components;
    this.updateWorkerRedirects();
    gangs.reviewReclaimedGangs();
    this.imageHintSender.sendIfDue(fleet.machines.values(), deps.clock.steady());
    this.fleetLog.tick(deps.clock.steady());
    scheduler.schedulePlacement();
    this.scalingTimer = deps.clock.after(SCALING_DELAY, () => this.scaleCapacity());
    commands.probeSilentMachines(fleet.machines.values(), scheduler.silenceThreshold);
  }

  private updateWorkerRedirects(): void {
    const { workers, limits } = this.components.deps.settings;
    this.isRedirecting = shouldRedirectWorkers(this.isRedirecting, {
      machineCount: this.components.fleet.machines.size,
      heartbeatInterval: workers.heartbeatInterval,
      cpusPerController: limits.cpu,
    });
  }

  private scaleCapacity(): void {
    const { autoscaler, deps } = this.components;
    const startedAt = deps.clock.steady();
    if (this.isClosed || startedAt < this.nextScalingAt || !this.hasAuthority()) return;
    autoscaler.tick();
    const duration = durationBetween(startedAt, deps.clock.steady());
    this.nextScalingAt = addDuration(startedAt, ms(duration / MAX_SCALING_TIME_SHARE));
  }
}
