/**
 * The autoscaler of the leader: rents machines for waiting tasks, tracks the cloud's machine list, and deletes
 * machines that are lost or idle. This module decides which request to send next; the other modules of this
 * directory decide what the request contains and how its response is applied.
 */
import type { Logger } from 'pino';
import {
  MAX_MACHINES_PER_DELETE,
  MAX_MACHINES_PER_REQUEST,
  type CloudClient,
} from '../cloud/client.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { OperatorSettings } from '../config/operator-settings.js';
import type { Settings } from '../config/settings.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import type { QueueEntry } from '../ledger/placement-order.js';
import { Backoff } from '../store/backoff.js';
import { runInBackground } from '../units/run-in-background.js';
import {
  ms,
  seconds,
  durationBetween,
  type Clock,
  type DurationMs,
  type Epoch,
  type JobId,
  type MachineId,
  type ControllerId,
  type Random,
  type SteadyMs,
  type Timer,
} from '../units/index.js';
import type { JobSpec, ScaleOutRequest } from '../wire/index.js';
import { anticipatedDemand, queuedDemand, type AnticipatedTasks } from './demand.js';
import { findLostMachines } from './lost-machines.js';
import { recordMachineList } from './machine-list.js';
import { planScaleOut } from './planner.js';
import { OfferBackoff } from './offer-backoff.js';
import { findIdleMachines } from './scale-in.js';
import { currentSupply } from './supply.js';
import type { Offer, PlannedScaleOut } from './types.js';

/** The part of the cluster that the autoscaler reads and notifies. */
export interface ClusterView {
  /** The autoscaler adds the machines that it rents and marks those that it deletes. */
  readonly fleet: Fleet;
  /** Since when this controller has responded to heartbeats without interruption. */
  respondingSince(): SteadyMs;
  /** When each peer was last known not to respond to this controller. */
  readonly unreachableAt: ReadonlyMap<ControllerId, SteadyMs>;
  /** The jobs with waiting tasks, in the order in which they get machines. */
  queue(): readonly QueueEntry[];
  /** The spec of an unfinished job. */
  specOf(job: JobId): JobSpec | undefined;
  /** Tasks that may be submitted next and for which machines are kept on standby. */
  anticipatedWork(): readonly AnticipatedTasks[];
  /** Called when the cloud has confirmed that a machine is gone, with all tasks on it. */
  onMachineRemoved(machine: Machine, reason: string): void;
}

/** What an autoscaler depends on. */
export interface AutoscalerDependencies {
  readonly cloud: CloudClient;
  readonly catalog: MachineCatalog;
  /** The epoch of the leader. It prefixes the ids of scale-out requests, so that no id is ever reused. */
  readonly epoch: Epoch;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Sends a request to the cloud and applies its response; false if the cloud did not respond. */
type CloudRequest = () => Promise<boolean>;

const MACHINE_TYPES_INTERVAL = seconds(60);
const MIN_LIST_INTERVAL = seconds(4);
const PLAN_INTERVAL = seconds(1);
/** The delay between a response and the next request. */
const NEXT_REQUEST_DELAY = ms(1);
const MIN_FAILURE_BACKOFF = ms(500);
const MAX_FAILURE_BACKOFF = seconds(5);
/** The expected boot time of a machine whose type is unknown. */
const DEFAULT_BOOT_TIME = seconds(60);
/** The maximum number of machines that one plan rents. */
const MAX_MACHINES_PER_PLAN = 100;

/**
 * Sends one cloud request at a time, the most useful one first. A scale-out request without a response is
 * retried under the same id until the cloud responds, so that no machine is rented unnoticed.
 */
export class Autoscaler {
  /** Called when the machine types read from the cloud differ from the known ones by more than prices. */
  onMachineTypesChanged: (() => void) | undefined;
  private isClosed = false;
  private hasRequestInFlight = false;
  private nextTick: Timer | undefined;
  private pendingRequest: ScaleOutRequest | undefined;
  private plannedRequests: PlannedScaleOut[] = [];
  private requestCounter = 0;
  private readonly offerBackoff: OfferBackoff;
  private readonly backoff: Backoff;
  private machineTypesReadAt: SteadyMs | undefined;
  private listReadAt: SteadyMs | undefined;
  private plannedAt: SteadyMs | undefined;

  constructor(
    private readonly view: ClusterView,
    private readonly deps: AutoscalerDependencies,
  ) {
    this.offerBackoff = new OfferBackoff(deps.random);
    this.backoff = new Backoff(deps.clock, deps.random, MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF);
  }

  /** Sends no further requests. A request in flight completes, and its response is still applied. */
  close(): void {
    this.isClosed = true;
    this.nextTick?.cancel();
  }

  /** Sends the next request if one is due and none is in flight. */
  tick(): void {
    if (this.isClosed || this.hasRequestInFlight) return;
    if (this.backoff.remaining() > 0 || !this.deps.cloud.canSendRequest()) return;
    const request = this.nextRequest(this.deps.clock.steady());
    if (!request) return;
    this.hasRequestInFlight = true;
    runInBackground(this.executeRequest(request), this.deps.log, 'cloud request');
  }

  private async executeRequest(sendRequest: CloudRequest): Promise<void> {
    let hasResponse = false;
    try {
      hasResponse = await sendRequest();
    } catch (error) {
      this.deps.log.error(
        { err: error },
        'autoscaler failed during a cloud request; retrying after a backoff',
      );
    }
    this.hasRequestInFlight = false;
    if (hasResponse) {
      this.backoff.recordSuccess();
      if (!this.isClosed)
        this.nextTick = this.deps.clock.after(NEXT_REQUEST_DELAY, () => this.tick());
    } else this.backoff.recordFailure();
  }

  /** Returns the most useful request that is due. */
  private nextRequest(now: SteadyMs): CloudRequest | undefined {
    if (!this.deps.catalog.isLoaded) return () => this.readMachineTypes(now);
    const lost = this.lostMachines(now);
    if (lost.length > 0) return () => this.deleteMachines(lost);
    const request = this.nextScaleOutRequest(now);
    if (request) return () => this.scaleOut(request);
    const listInterval = Math.max(MIN_LIST_INTERVAL, this.deps.settings.cloud.listLag);
    if (isDue(this.listReadAt, listInterval, now)) return () => this.readMachineList(now);
    const idle = this.idleMachines(now);
    if (idle.length > 0) return () => this.deleteMachines(idle);
    if (isDue(this.machineTypesReadAt, MACHINE_TYPES_INTERVAL, now)) {
      return () => this.readMachineTypes(now);
    }
    return undefined;
  }

  // --- machine types and the list of machines -----------------------------------------------------

  private async readMachineTypes(now: SteadyMs): Promise<boolean> {
    const types = await this.deps.cloud.listMachineTypes();
    if (!types) return false;
    this.machineTypesReadAt = now;
    if (this.deps.catalog.update(types)) this.onMachineTypesChanged?.();
    return true;
  }

  private async readMachineList(now: SteadyMs): Promise<boolean> {
    const listed = await this.deps.cloud.listMachines();
    if (!listed) return false;
    this.listReadAt = now;
    const { listLag } = this.deps.settings.cloud;
    recordMachineList(listed, { fleet: this.view.fleet, listLag, now });
    return true;
  }

  // --- scale-out ----------------------------------------------------------------------------------

  /** Returns the request that has no response yet, or the next one of the plan. */
  private nextScaleOutRequest(now: SteadyMs): ScaleOutRequest | undefined {
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
    // Anticipated work comes last, since jobs that already wait get machines first.
    const demands = [...queued, ...anticipatedDemand(this.view.anticipatedWork())];
    if (demands.length === 0) return [];
    const specOf = (job: JobId): JobSpec | undefined => this.view.specOf(job);
    return planScaleOut({
      ...currentSupply({ fleet, catalog, epoch, now, specOf }),
      demands,
      machineTypes,
      refusedOffers: this.offerBackoff.offersInBackoff(now),
      maxMachines: MAX_MACHINES_PER_PLAN,
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
      log.info(
        { request: requestId, reason: result.reason },
        'cloud did not complete a scale-out request; retrying it under the same id',
      );
      return false;
    }
    this.pendingRequest = undefined;
    switch (result.kind) {
      case 'rented':
        log.info({ ...context, count: result.machines.length }, 'cloud rented machines');
        this.recordRented(result.machines, offer, now);
        if (result.machines.length < request.count) this.offerBackoff.recordRefusal(offer, now);
        else this.offerBackoff.recordGrant(offer);
        break;
      case 'noCapacity':
        this.offerBackoff.recordRefusal(offer, now);
        log.info(context, 'cloud has no capacity for this offer; trying other offers meanwhile');
        break;
      case 'malformed':
        this.offerBackoff.recordRefusal(offer, now);
        log.error(
          context,
          'cloud refused a scale-out request as malformed; trying other offers meanwhile',
        );
        break;
    }
    return true;
  }

  private recordRented(machines: readonly MachineId[], offer: Offer, now: SteadyMs): void {
    const { fleet } = this.view;
    for (const id of machines) {
      // A late response may name machines that are already gone.
      if (fleet.isGone(id)) continue;
      const machine = fleet.upsertMachine(id, offer, '');
      machine.rentedAt ??= now;
      if (!machine.isUp) machine.bootingSince ??= now;
    }
  }

  // --- deletes ------------------------------------------------------------------------------------

  private lostMachines(now: SteadyMs): Machine[] {
    const { catalog, settings } = this.deps;
    const { heartbeatInterval, lease } = settings.workers;
    const lost = findLostMachines(this.view.fleet.machines.values(), {
      now,
      respondingSince: this.view.respondingSince(),
      heartbeatInterval,
      lease,
      bootTimeOf: (name) => bootTimeOf(name, catalog),
      unreachableAt: this.view.unreachableAt,
    });
    return lost.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private idleMachines(now: SteadyMs): Machine[] {
    const idle = findIdleMachines({
      fleet: this.view.fleet,
      catalog: this.deps.catalog,
      idleBootTimes: this.deps.operator.idleTimeoutBootTimes,
      anticipatedWork: this.view.anticipatedWork(),
      now,
    });
    return idle.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private async deleteMachines(machines: readonly Machine[]): Promise<boolean> {
    for (const machine of machines) {
      machine.isDecommissioning = true;
      // From here on the machine may be deleted at any time, since the request may be executed late.
      machine.isDeleteSent = true;
    }
    const isConfirmed = await this.deps.cloud.deleteMachines(machines.map(({ id }) => id));
    if (!isConfirmed) return false;
    for (const machine of machines) this.view.onMachineRemoved(machine, 'deleted');
    return true;
  }
}

/** Whether at least `interval` has passed since `last`; true if `last` is undefined. */
const isDue = (last: SteadyMs | undefined, interval: number, now: SteadyMs): boolean =>
  last === undefined || durationBetween(last, now) >= interval;

function bootTimeOf(machineType: string, catalog: MachineCatalog): DurationMs {
  const type = catalog.machineType(machineType);
  return type ? seconds(type.bootSeconds) : DEFAULT_BOOT_TIME;
}
