/**
 * The autoscaler of the leader: rents machines for waiting tasks, follows the cloud's list, and gives
 * machines back that are lost or idle. What to call is decided here; what a call means is decided in the
 * modules beside this one.
 */
import type { Logger } from 'pino';
import {
  MAX_MACHINES_PER_DELETE,
  MAX_MACHINES_PER_REQUEST,
  type CloudClient,
} from '../cloud/client.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import type { QueueEntry } from '../ledger/placement-order.js';
import { Backoff } from '../store/backoff.js';
import { detach } from '../units/detach.js';
import {
  ms,
  seconds,
  durationBetween,
  type Clock,
  type DurationMs,
  type Epoch,
  type JobId,
  type MachineId,
  type NodeId,
  type Random,
  type SteadyMs,
  type Timer,
} from '../units/index.js';
import type { JobSpec, ScaleOutRequest } from '../wire/index.js';
import { anticipatedDemand, queuedDemand, type AnticipatedTasks } from './demand.js';
import { lostMachines } from './lost-machines.js';
import { recordMachineList } from './machine-list.js';
import { planScaleOut } from './planner.js';
import { OfferRefusals } from './refusals.js';
import { idleMachines } from './scale-in.js';
import { currentSupply } from './supply.js';
import type { Offer, PlannedScaleOut } from './types.js';

/** What the autoscaler sees of the cluster, and reports to it. */
export interface ClusterView {
  /** The autoscaler adds the machines it rents, and marks those it gives back. */
  readonly fleet: Fleet;
  /** Since when heartbeats have been answered without a break. */
  answeringSince(): SteadyMs;
  /** When each other node was last known not to answer this one. */
  readonly unreachableAt: ReadonlyMap<NodeId, SteadyMs>;
  /** The jobs with waiting tasks, in the order in which they are to be served. */
  queue(): readonly QueueEntry[];
  /** The spec of an unfinished job. */
  specOf(job: JobId): JobSpec | undefined;
  /** Tasks that may be submitted next and should find machines on standby. */
  anticipatedWork(): readonly AnticipatedTasks[];
  /** The cloud has confirmed that a machine is gone, with all tasks on it. */
  noteRemoved(machine: Machine, reason: string): void;
}

/** What an autoscaler works with. */
export interface AutoscalerDependencies {
  readonly cloud: CloudClient;
  readonly catalog: MachineCatalog;
  /** The epoch of the leader: prefixes the ids of scale-out requests, which are never used again. */
  readonly epoch: Epoch;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** A call to the cloud with all that follows from its answer; false if it was not answered. */
type CloudCall = () => Promise<boolean>;

const MACHINE_TYPES_INTERVAL = seconds(60);
const MIN_LIST_INTERVAL = seconds(4);
const PLAN_INTERVAL = seconds(1);
/** The pause between a call that was answered and the next one. */
const NEXT_CALL_DELAY = ms(1);
const MIN_FAILURE_PAUSE = ms(500);
const MAX_FAILURE_PAUSE = seconds(5);
/** The usual boot of a machine whose type is unknown. */
const DEFAULT_BOOT_TIME = seconds(60);
/** The most machines that are rented by one plan. */
const MAX_NEW_MACHINES = 100;

/**
 * Makes one cloud call at a time, the most useful one first. A scale-out request that was not answered is
 * repeated under the same id until it is, so that no machine is rented unnoticed.
 */
export class Autoscaler {
  /** Called when the machine types were read and differ from those known by more than prices. */
  onMachineTypesChanged: (() => void) | undefined;
  private closed = false;
  private callInFlight = false;
  private nextTick: Timer | undefined;
  private pendingRequest: ScaleOutRequest | undefined;
  private plannedRequests: PlannedScaleOut[] = [];
  private requestCounter = 0;
  private readonly refusals: OfferRefusals;
  private readonly backoff: Backoff;
  private machineTypesReadAt: SteadyMs | undefined;
  private listReadAt: SteadyMs | undefined;
  private plannedAt: SteadyMs | undefined;

  constructor(
    private readonly view: ClusterView,
    private readonly deps: AutoscalerDependencies,
  ) {
    this.refusals = new OfferRefusals(deps.random);
    this.backoff = new Backoff(deps.clock, deps.random, MIN_FAILURE_PAUSE, MAX_FAILURE_PAUSE);
  }

  /** Makes no further calls. One that is in flight is carried out, and its result is noted. */
  close(): void {
    this.closed = true;
    this.nextTick?.cancel();
  }

  /** Makes the next call if one is due and the last one is over. */
  tick(): void {
    if (this.closed || this.callInFlight) return;
    if (this.backoff.remaining() > 0 || !this.deps.cloud.isReady()) return;
    const call = this.nextCall(this.deps.clock.steady());
    if (!call) return;
    this.callInFlight = true;
    detach(this.perform(call), this.deps.log, 'cloud call');
  }

  private async perform(call: CloudCall): Promise<void> {
    let isAnswered = false;
    try {
      isAnswered = await call();
    } catch (error) {
      this.deps.log.error({ err: error }, 'cloud step failed');
    }
    this.callInFlight = false;
    if (isAnswered) {
      this.backoff.noteSuccess();
      if (!this.closed) this.nextTick = this.deps.clock.after(NEXT_CALL_DELAY, () => this.tick());
    } else this.backoff.noteFailure();
  }

  /** The most useful call that is due. */
  private nextCall(now: SteadyMs): CloudCall | undefined {
    if (!this.deps.catalog.isKnown) return () => this.readMachineTypes(now);
    const lost = this.lostMachines(now);
    if (lost.length > 0) return () => this.deleteMachines(lost);
    const request = this.nextRequest(now);
    if (request) return () => this.scaleOut(request);
    const listInterval = Math.max(MIN_LIST_INTERVAL, this.deps.settings.cloud.listLag);
    if (isDue(this.listReadAt, listInterval, now)) return () => this.readList(now);
    const idle = this.idleMachines(now);
    if (idle.length > 0) return () => this.deleteMachines(idle);
    if (isDue(this.machineTypesReadAt, MACHINE_TYPES_INTERVAL, now)) {
      return () => this.readMachineTypes(now);
    }
    return undefined;
  }

  // --- machine types and the list of machines -----------------------------------------------------

  private async readMachineTypes(now: SteadyMs): Promise<boolean> {
    const types = await this.deps.cloud.machineTypes();
    if (!types) return false;
    this.machineTypesReadAt = now;
    if (this.deps.catalog.update(types)) this.onMachineTypesChanged?.();
    return true;
  }

  private async readList(now: SteadyMs): Promise<boolean> {
    const listed = await this.deps.cloud.listMachines();
    if (!listed) return false;
    this.listReadAt = now;
    const { listLag } = this.deps.settings.cloud;
    recordMachineList(listed, { fleet: this.view.fleet, listLag, now });
    return true;
  }

  // --- scale-out ----------------------------------------------------------------------------------

  /** The request that was not answered yet, or the next one of the plan. */
  private nextRequest(now: SteadyMs): ScaleOutRequest | undefined {
    if (this.pendingRequest) return this.pendingRequest;
    if (isDue(this.plannedAt, PLAN_INTERVAL, now)) {
      this.plannedAt = now;
      this.plannedRequests = this.planRequests(now);
    }
    const planned = this.plannedRequests.shift();
    if (!planned) return undefined;
    this.pendingRequest = {
      requestId: `e${this.deps.epoch}-${++this.requestCounter}`,
      machineType: planned.machineType,
      zone: planned.zone,
      spot: planned.spot,
      count: Math.min(planned.count, MAX_MACHINES_PER_REQUEST),
    };
    return this.pendingRequest;
  }

  private planRequests(now: SteadyMs): PlannedScaleOut[] {
    const { catalog, epoch, clock, settings } = this.deps;
    const { fleet } = this.view;
    const machineTypes = catalog.all();
    const queued = queuedDemand(this.view.queue(), {
      objectives: settings.objectives,
      machineTypes,
      isFleetEmpty: fleet.machines.size === 0,
      now: clock.wall(),
    });
    // Anticipated work comes last: jobs that wait already are served first.
    const demands = [...queued, ...anticipatedDemand(this.view.anticipatedWork())];
    if (demands.length === 0) return [];
    const specOf = (job: JobId): JobSpec | undefined => this.view.specOf(job);
    return planScaleOut({
      ...currentSupply({ fleet, catalog, epoch, now, specOf }),
      demands,
      machineTypes,
      refusedOffers: this.refusals.pausedOffers(now),
      maxMachines: MAX_NEW_MACHINES,
    });
  }

  private async scaleOut(request: ScaleOutRequest): Promise<boolean> {
    const result = await this.deps.cloud.scaleOut(request);
    const { log, clock } = this.deps;
    const now = clock.steady();
    const { requestId, machineType, zone, spot } = request;
    const offer: Offer = { machineType, zone, spot };
    const context = { request: requestId, ...offer };
    if (result.kind === 'retry') {
      log.info({ request: requestId, reason: result.reason }, 'rental not answered');
      return false;
    }
    this.pendingRequest = undefined;
    switch (result.kind) {
      case 'rented':
        log.info({ ...context, count: result.machines.length }, 'rented');
        this.noteRented(result.machines, offer, now);
        if (result.machines.length < request.count) this.refusals.noteRefused(offer, now);
        else this.refusals.noteGranted(offer);
        break;
      case 'noCapacity':
        this.refusals.noteRefused(offer, now);
        log.info(context, 'no capacity');
        break;
      case 'malformed':
        this.refusals.noteRefused(offer, now);
        log.error(context, 'rental refused as malformed');
        break;
    }
    return true;
  }

  private noteRented(machines: readonly MachineId[], offer: Offer, now: SteadyMs): void {
    const { fleet } = this.view;
    for (const id of machines) {
      // A late answer may name machines that have come and gone since.
      if (fleet.isGone(id)) continue;
      const machine = fleet.observe(id, offer, '');
      machine.rentedAt ??= now;
      if (!machine.isUp) machine.bootingSince ??= now;
    }
  }

  // --- deletes ------------------------------------------------------------------------------------

  private lostMachines(now: SteadyMs): Machine[] {
    const { catalog, settings } = this.deps;
    const { heartbeatInterval, lease } = settings.workers;
    const lost = lostMachines(this.view.fleet.machines.values(), {
      now,
      answeringSince: this.view.answeringSince(),
      heartbeatInterval,
      lease,
      bootTime: (name) => bootTimeOf(name, catalog),
      unreachableAt: this.view.unreachableAt,
    });
    return lost.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private idleMachines(now: SteadyMs): Machine[] {
    const idle = idleMachines({
      fleet: this.view.fleet,
      catalog: this.deps.catalog,
      idleBootTimes: this.deps.operator.idleBootTimes,
      anticipatedWork: this.view.anticipatedWork(),
      now,
    });
    return idle.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private async deleteMachines(machines: readonly Machine[]): Promise<boolean> {
    for (const machine of machines) {
      machine.isDecommissioning = true;
      // From here on it may go at any time, however late the request is carried out.
      machine.deleteSent = true;
    }
    const isConfirmed = await this.deps.cloud.deleteMachines(machines.map(({ id }) => id));
    if (!isConfirmed) return false;
    for (const machine of machines) this.view.noteRemoved(machine, 'deleted');
    return true;
  }
}

/** Whether something last done at a time, if ever, is due again. */
const isDue = (last: SteadyMs | undefined, interval: number, now: SteadyMs): boolean =>
  last === undefined || durationBetween(last, now) >= interval;

function bootTimeOf(machineType: string, catalog: MachineCatalog): DurationMs {
  const type = catalog.machineType(machineType);
  return type ? seconds(type.bootSeconds) : DEFAULT_BOOT_TIME;
}
