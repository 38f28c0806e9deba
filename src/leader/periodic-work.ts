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
import type { CommandSender } from './command-sender.js';
import type { ContactHistory } from './contact-history.js';
import type { TermDependencies } from './term-dependencies.js';
import { FleetLog } from './fleet-log.js';
import type { GangController } from './gang-controller.js';
import { ImageHintSender } from './image-hints.js';
import type { MachineLossHandler } from './machine-loss-handler.js';
import type { Scheduler } from './scheduler.js';
import { shouldRedirectWorkers } from './worker-redirects.js';

const TICK_INTERVAL = ms(500);
/** So much later than it was due, a tick shows that this process does not keep up. */
const STALLED_TICK_THRESHOLD = seconds(1);
/** So much later, that it has no time for what can be left to the answers to heartbeats. */
const BUSY_TICK_THRESHOLD = ms(150);
/** Capacity is planned so much after a tick, in a turn of its own: after a failover both take long. */
const SCALING_DELAY = ms(1);

/** The parts of a term that the periodic work drives. */
export interface PeriodicWorkComponents {
  readonly epoch: Epoch;
  readonly deps: TermDependencies;
  readonly ledger: Ledger;
  readonly fleet: Fleet;
  readonly commands: CommandSender;
  readonly gangs: GangController;
  readonly scheduler: Scheduler;
  readonly autoscaler: Autoscaler;
  readonly contacts: ContactHistory;
  readonly machineLoss: MachineLossHandler;
}

/** The tick of a term, from `start` to `close`. */
export class PeriodicWork {
  private readonly imageHintSender: ImageHintSender;
  private readonly fleetLog: FleetLog;
  private isRedirecting = false;
  private lastTickAt: SteadyMs;
  private tickTimer: Timer | undefined;
  private scalingTimer: Timer | undefined;
  private isClosed = false;

  /** Intervals are counted from `startedAt`. */
  constructor(
    private readonly components: PeriodicWorkComponents,
    startedAt: SteadyMs,
  ) {
    const { deps, fleet, ledger } = components;
    this.lastTickAt = startedAt;
    this.imageHintSender = new ImageHintSender(deps.broadcastImageHints, startedAt);
    const { catalog, log } = deps;
    this.fleetLog = new FleetLog({ fleet, ledger, catalog, log }, startedAt);
  }

  /** Whether workers that report straight to this node are sent to the others. */
  get isRedirectingWorkers(): boolean {
    return this.isRedirecting;
  }

  /** The first tick is at once. */
  start(): void {
    this.tick();
  }

  /** No further tick. */
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
      log.error({ err: error }, 'tick failed');
    }
    this.lastTickAt = clock.steady();
    this.tickTimer = clock.after(TICK_INTERVAL, () => this.tick());
  }

  private runTick(now: SteadyMs): void {
    const { commands, contacts, ledger, machineLoss } = this.components;
    const hasAuthority = this.hasAuthority();
    const sinceLastTick = durationBetween(this.lastTickAt, now);
    contacts.recordAuthority(
      hasAuthority,
      sinceLastTick > TICK_INTERVAL + STALLED_TICK_THRESHOLD,
      now,
    );
    contacts.recordUnreachablePeers(now);
    commands.isBusy = sinceLastTick > TICK_INTERVAL + BUSY_TICK_THRESHOLD;
    machineLoss.expireLeases();
    if (hasAuthority) this.tickAsLeader();
    ledger.scheduleCommit();
  }

  private hasAuthority(): boolean {
    return this.components.deps.authority() === this.components.epoch;
  }

  /** What only a leader with authority does. */
  private tickAsLeader(): void {
    const { commands, deps, fleet, gangs, scheduler } = this.components;
    this.updateWorkerRedirects();
    gangs.reviewReclaimed();
    this.imageHintSender.tick(fleet.machines.values(), deps.clock.steady());
    this.fleetLog.tick(deps.clock.steady());
    scheduler.schedulePlacing();
    this.scalingTimer = deps.clock.after(SCALING_DELAY, () => this.scaleCapacity());
    commands.probeSilent(fleet.machines.values(), scheduler.silenceThreshold);
  }

  private updateWorkerRedirects(): void {
    const { workers, limits } = this.components.deps.settings;
    this.isRedirecting = shouldRedirectWorkers(this.isRedirecting, {
      machines: this.components.fleet.machines.size,
      heartbeatInterval: workers.heartbeatInterval,
      cpu: limits.cpu,
    });
  }

  private scaleCapacity(): void {
    if (!this.isClosed && this.hasAuthority()) this.components.autoscaler.tick();
  }
}
