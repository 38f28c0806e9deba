/** What a leader does at intervals, beside what requests and heartbeats bring about. */
import type { Autoscaler } from '../capacity/autoscaler.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Ledger } from '../ledger/ledger.js';
import {
  ms,
  seconds,
  durationBetween,
  type Epoch,
  type SteadyMs,
  type Timer,
} from '../units/index.js';
import type { DirectCommandSender } from './direct-command-sender.js';
import type { ContactHistory } from './contact-history.js';
import type { TermDependencies } from './dependencies.js';
import { FleetLog } from './fleet-log.js';
import type { GangManager } from './gang-manager.js';
import { ImageHintSender } from './image-hints.js';
import type { MachineLoss } from './machine-loss.js';
import type { Scheduler } from './scheduler.js';
import { shouldRedirectWorkers } from './worker-redirects.js';

const TICK_INTERVAL = ms(500);
/** So much later than it was due, a tick shows that this process does not keep up. */
const STALL_THRESHOLD = seconds(1);
/** So much later, that it has no time for what can be left to the answers to heartbeats. */
const BUSY_THRESHOLD = ms(150);
/** Capacity is planned so much after a tick, in a turn of its own: after a failover both take long. */
const SCALING_DELAY = ms(1);

/** The parts of a term that the periodic work drives. */
export interface PeriodicWorkParts {
  readonly epoch: Epoch;
  readonly deps: TermDependencies;
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly commands: DirectCommandSender;
  readonly gangs: GangManager;
  readonly scheduler: Scheduler;
  readonly autoscaler: Autoscaler;
  readonly contacts: ContactHistory;
  readonly machineLoss: MachineLoss;
}

/** The tick of a term, from `start` to `close`. */
export class PeriodicWork {
  private readonly hintSender: ImageHintSender;
  private readonly fleetLog: FleetLog;
  private isRedirectingWorkers = false;
  private lastTickAt: SteadyMs;
  private tickTimer: Timer | undefined;
  private scalingTimer: Timer | undefined;
  private closed = false;

  /** Intervals are counted from `startedAt`. */
  constructor(
    private readonly parts: PeriodicWorkParts,
    startedAt: SteadyMs,
  ) {
    const { deps, fleet, ledger } = parts;
    this.lastTickAt = startedAt;
    this.hintSender = new ImageHintSender(deps.broadcastImageHints, startedAt);
    const { catalog, log } = deps;
    this.fleetLog = new FleetLog({ fleet, ledger, catalog, log }, startedAt);
  }

  /** Whether workers that report straight to this node are sent to the others. */
  get redirectsWorkers(): boolean {
    return this.isRedirectingWorkers;
  }

  /** The first tick is at once. */
  start(): void {
    this.tick();
  }

  /** No further tick. */
  close(): void {
    this.closed = true;
    this.tickTimer?.cancel();
    this.scalingTimer?.cancel();
  }

  private tick(): void {
    if (this.closed) return;
    const { clock, log } = this.parts.deps;
    try {
      this.runOnce(clock.steady());
    } catch (error) {
      log.error({ err: error }, 'tick failed');
    }
    this.lastTickAt = clock.steady();
    this.tickTimer = clock.after(TICK_INTERVAL, () => this.tick());
  }

  private runOnce(now: SteadyMs): void {
    const { commands, contacts, ledger, machineLoss } = this.parts;
    const hasAuthority = this.hasAuthority();
    const sinceLastTick = durationBetween(this.lastTickAt, now);
    contacts.noteAuthority(hasAuthority, sinceLastTick > TICK_INTERVAL + STALL_THRESHOLD, now);
    contacts.noteUnreachablePeers(now);
    commands.isControllerBusy = sinceLastTick > TICK_INTERVAL + BUSY_THRESHOLD;
    machineLoss.expireLeases();
    if (hasAuthority) this.lead();
    ledger.scheduleCommit();
  }

  private hasAuthority(): boolean {
    return this.parts.deps.authority() === this.parts.epoch;
  }

  /** What only a leader with authority does. */
  private lead(): void {
    const { commands, deps, fleet, gangs, scheduler } = this.parts;
    this.reviewRedirects();
    gangs.reviewReclaimedGangs();
    this.hintSender.sendIfDue(fleet.machines.values(), deps.clock.steady());
    this.fleetLog.tick(deps.clock.steady());
    scheduler.schedulePlacement();
    this.scalingTimer = deps.clock.after(SCALING_DELAY, () => this.scaleCapacity());
    commands.probeSilentMachines(fleet.machines.values(), scheduler.silenceThreshold);
  }

  private reviewRedirects(): void {
    const { workers, limits } = this.parts.deps.settings;
    this.isRedirectingWorkers = shouldRedirectWorkers(this.isRedirectingWorkers, {
      machineCount: this.parts.fleet.machines.size,
      heartbeatInterval: workers.heartbeatInterval,
      cpusPerController: limits.cpu,
    });
  }

  private scaleCapacity(): void {
    if (!this.closed && this.hasAuthority()) this.parts.autoscaler.tick();
  }
}
