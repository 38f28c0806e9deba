import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import {
  MAX_MACHINES_PER_DELETE,
  MAX_MACHINES_PER_REQUEST,
  type CloudClient,
} from '../cloud/client.js';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import {
  fits,
  subtract,
  machineResources,
  taskResources,
  type Resources,
} from '../fleet/resources.js';
import { isGang } from '../ledger/job.js';
import { nextDeadline, isUrgent, type QueueEntry } from '../ledger/queue.js';
import { Backoff } from '../store/backoff.js';
import type { SteadyMs } from '../units/index.js';
import {
  MachineId,
  later,
  ms,
  seconds,
  since,
  type Clock,
  type DurationMs,
  type Epoch,
  type JobId,
  type NodeId,
  type Random,
} from '../units/index.js';
import type { ListedMachine, ScaleOutRequest, JobSpec } from '../wire/index.js';
import { lostMachines } from './lost-machines.js';
import {
  NEVER,
  NO_WAIT,
  offerKey,
  planScaleOut,
  type AvailableCapacity,
  type Demand,
  type Offer,
  type PlannedScaleOut,
  type Turnover,
} from './planner.js';

/** What the keeper sees of the fleet and its work, and does to it. */
export interface ClusterView {
  readonly fleet: Fleet;
  readonly silenceThreshold: DurationMs;
  /** Since when reports are answered without a break. */
  listeningSince(): SteadyMs;
  /** When each other node was last known not to answer us. */
  readonly unreachableAt: ReadonlyMap<NodeId, SteadyMs>;
  queue(): QueueEntry[];
  specOf(job: JobId): JobSpec | undefined;
  /** Urgent work that may be submitted next. */
  anticipatedWork(): { spec: JobSpec; count: number }[];
  noteRemoved(m: Machine, why: string): void;
}

interface Deps {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

const demandOf = (spec: JobSpec): Omit<Demand, 'taskCount' | 'acceptableWait' | 'maxWait'> => ({
  resources: taskResources(spec),
  machineTypes: spec.machineTypes,
  requiredZone: spec.zone,
  allowSpot: spec.allowSpot,
  expectedRuntime: ms(spec.expectedRuntimeSeconds * 1000),
  isGang: isGang(spec),
  singleZone: spec.singleZone,
  spreadZones: spec.spreadZones,
});

interface Refusal {
  pausedUntil: SteadyMs;
  times: number;
}

const MACHINE_TYPES_INTERVAL = seconds(60);
const MIN_LIST_INTERVAL = seconds(4);
const PLAN_INTERVAL = seconds(1);
/** A boot counts on its way for this many times the usual. */
const LATE_BOOT_FACTOR = 2;
const DEFAULT_BOOT_SECONDS = 60;
const MIN_REFUSAL_PAUSE = seconds(8);
const MAX_REFUSAL_PAUSE = seconds(60);
const MAX_NEW_MACHINES = 100;
/** A machine is rented for a wait of at least this many boot times. */
const ACCEPTABLE_WAIT_BOOTS = 0.7;
/** Of what other work waits, urgent work waits this share. */
const URGENT_WAIT_SHARE = 0.25;
/** A job that has waited this long is pressing whatever its deadline. */
const MAX_AFFORDABLE_WAIT = seconds(180);
/** As long as no machine is there at all, dear ones are only asked for after this. */
const EMPTY_FLEET_GRACE = seconds(5);
/** An ordinary machine without work goes back sooner: it costs a multiple of a cheap one. */
const ON_DEMAND_IDLE_SHARE = 0.25;
/** A machine is charged for this long at least. */
const MIN_CHARGE = seconds(60);

/**
 * Rents and gives back. One cloud call at a time, the most useful first; a call that was not
 * answered is repeated under its own name until it is.
 */
export class Autoscaler {
  private callInFlight = false;
  private pendingRequest: ScaleOutRequest | undefined;
  private plannedRequests: PlannedScaleOut[] = [];
  private requestCounter = 0;
  private readonly refusals = new Map<string, Refusal>();
  private readonly cloudBackoff: Backoff;
  private machineTypesReadAt: SteadyMs | undefined;
  private listReadAt: SteadyMs | undefined;
  private plannedAt: SteadyMs | undefined;
  /** Called when machine types were read that differ from those known. */
  onMachineTypesChanged: (() => void) | undefined;

  constructor(
    private readonly view: ClusterView,
    private readonly cloud: CloudClient,
    private readonly catalog: MachineCatalog,
    private readonly epoch: Epoch,
    private readonly deps: Deps,
  ) {
    this.cloudBackoff = new Backoff(deps.clock, deps.random, ms(500), seconds(5));
  }

  private get machines(): ReadonlyMap<MachineId, Machine> {
    return this.view.fleet.machines;
  }

  tick(): void {
    if (this.callInFlight || this.cloudBackoff.remaining() > 0 || !this.cloud.isReady()) return;
    const step = this.nextCall(this.deps.clock.steady());
    if (!step) return;
    this.callInFlight = true;
    step()
      .catch((e: unknown) => {
        this.deps.log.error({ err: e }, 'cloud step failed');
        return false;
      })
      .then((ok) => {
        this.callInFlight = false;
        if (ok) {
          this.cloudBackoff.noteSuccess();
          this.deps.clock.after(ms(1), () => this.tick());
        } else this.cloudBackoff.noteFailure();
      })
      .catch(() => undefined);
  }

  /** The most useful call that is due. */
  private nextCall(now: SteadyMs): (() => Promise<boolean>) | undefined {
    if (!this.catalog.isKnown) return () => this.readMachineTypes(now);
    const lost = this.lostMachines(now);
    if (lost.length > 0) return () => this.deleteMachines(lost);
    if (this.pendingRequest) {
      const request = this.pendingRequest;
      return () => this.scaleOut(request);
    }
    if (this.plannedAt === undefined || since(this.plannedAt, now) >= PLAN_INTERVAL) {
      this.plannedAt = now;
      this.plannedRequests = this.planRequests(now);
    }
    const want = this.plannedRequests.shift();
    if (want) {
      const request: ScaleOutRequest = {
        requestId: `e${this.epoch}-${++this.requestCounter}`,
        machineType: want.machineType,
        zone: want.zone,
        spot: want.spot,
        count: Math.min(want.count, MAX_MACHINES_PER_REQUEST),
      };
      this.pendingRequest = request;
      return () => this.scaleOut(request);
    }
    const listEvery = Math.max(MIN_LIST_INTERVAL, this.deps.settings.cloud.listLag);
    if (this.listReadAt === undefined || since(this.listReadAt, now) >= listEvery) {
      return () => this.readList(now);
    }
    const idle = this.idleMachines(now);
    if (idle.length > 0) return () => this.deleteMachines(idle);
    if (
      this.machineTypesReadAt === undefined ||
      since(this.machineTypesReadAt, now) >= MACHINE_TYPES_INTERVAL
    ) {
      return () => this.readMachineTypes(now);
    }
    return undefined;
  }

  private async readMachineTypes(now: SteadyMs): Promise<boolean> {
    const types = await this.cloud.machineTypes();
    if (!types) return false;
    this.machineTypesReadAt = now;
    if (this.catalog.update(types)) this.onMachineTypesChanged?.();
    return true;
  }

  private async scaleOut(request: ScaleOutRequest): Promise<boolean> {
    const result = await this.cloud.scaleOut(request);
    const now = this.deps.clock.steady();
    const offer = { machineType: request.machineType, zone: request.zone, spot: request.spot };
    switch (result.kind) {
      case 'rented': {
        this.pendingRequest = undefined;
        this.deps.log.info(
          { request: request.requestId, ...offer, count: result.machines.length },
          'rented',
        );
        for (const id of result.machines) {
          if (this.view.fleet.isGone(id)) continue;
          const m = this.view.fleet.observe(id, offer, '');
          m.rentedAt ??= now;
          if (!m.isUp) m.bootingSince ??= now;
        }
        if (result.machines.length < request.count) this.noteRefusal(offerKey(offer), now);
        else this.refusals.delete(offerKey(offer));
        return true;
      }
      case 'noCapacity':
        this.pendingRequest = undefined;
        this.noteRefusal(offerKey(offer), now);
        this.deps.log.info({ request: request.requestId, ...offer }, 'no capacity');
        return true;
      case 'malformed':
        this.pendingRequest = undefined;
        this.noteRefusal(offerKey(offer), now);
        this.deps.log.error(
          { request: request.requestId, ...offer },
          'rental refused as malformed',
        );
        return true;
      case 'retry':
        this.deps.log.info({ request: request.requestId, why: result.why }, 'rental not answered');
        return false;
    }
  }

  private noteRefusal(key: string, now: SteadyMs): void {
    const times = (this.refusals.get(key)?.times ?? 0) + 1;
    const pause = Math.min(MAX_REFUSAL_PAUSE, MIN_REFUSAL_PAUSE * 2 ** (times - 1));
    const spread = 0.8 + 0.4 * this.deps.random();
    this.refusals.set(key, { times, pausedUntil: later(now, ms(pause * spread)) });
  }

  private refusedOffers(now: SteadyMs): Set<string> {
    const out = new Set<string>();
    for (const [key, r] of this.refusals) if (r.pausedUntil > now) out.add(key);
    return out;
  }

  private planRequests(now: SteadyMs): PlannedScaleOut[] {
    const demands = this.demands(this.view.queue());
    // Room standing by for urgent work: last, and never at the price of ordinary machines.
    for (const { spec, count } of this.view.anticipatedWork()) {
      demands.push({
        ...demandOf(spec),
        taskCount: count,
        acceptableWait: NO_WAIT,
        maxWait: NEVER,
      });
    }
    if (demands.length === 0) return [];
    const { coming, turnover } = this.supply(now);
    return planScaleOut(
      demands,
      coming,
      turnover,
      this.catalog.all(),
      this.refusedOffers(now),
      MAX_NEW_MACHINES,
    );
  }

  /** What of the queue waits, and how long it may before machines are worth their price. */
  private demands(queue: readonly QueueEntry[]): Demand[] {
    const wall = this.deps.clock.wall();
    const { objectives } = this.deps.settings;
    const out: Demand[] = [];
    for (const { job } of queue) {
      const { spec } = job;
      const demand = demandOf(spec);
      const ready = this.shortestBoot(demand.resources);
      const { due, late } = nextDeadline(job, objectives, wall, demand.expectedRuntime);
      const slack = due - wall - demand.expectedRuntime * 1.2;
      // Nothing is there yet: the cheap ones are asked for first, and then it is known what is missing.
      const early = this.machines.size === 0 && wall - job.submittedAt < EMPTY_FLEET_GRACE;
      const hopeless = late && slack + demand.expectedRuntime + ready < 0;
      const neglected = wall - job.submittedAt > MAX_AFFORDABLE_WAIT;
      out.push({
        ...demand,
        taskCount: job.waiting.size,
        acceptableWait: ms(
          ready * ACCEPTABLE_WAIT_BOOTS * (isUrgent(spec.priority) ? URGENT_WAIT_SHARE : 1),
        ),
        maxWait: neglected ? NO_WAIT : early || hopeless ? NEVER : ms(Math.max(0, slack)),
      });
    }
    return out;
  }

  private shortestBoot(size: Resources): number {
    let least = Infinity;
    for (const f of this.catalog.all()) {
      if (fits(size, machineResources(f))) least = Math.min(least, f.bootSeconds * 1000);
    }
    return Number.isFinite(least) ? least : 0;
  }

  /** What room there is or will be soon, and what work gives way in time. */
  private supply(now: SteadyMs): { coming: AvailableCapacity[]; turnover: Turnover[] } {
    const coming: AvailableCapacity[] = [];
    const working = new Map<
      string,
      { offer: Offer; capacity: Resources; busyCpus: number; work: number }
    >();
    for (const m of this.machines.values()) {
      const f = this.catalog.machineType(m.kind.machineType);
      if (!f || m.isDraining || m.deleteSent || m.isUnconfirmedAndUnreachable(this.epoch, now))
        continue;
      const total = machineResources(f);
      if (!m.isUp) {
        const booting = m.bootingSince !== undefined && since(m.bootingSince, now);
        if (booting !== false && booting < f.bootSeconds * 1000 * LATE_BOOT_FACTOR) {
          coming.push({ ...m.kind, free: total });
        }
        continue;
      }
      const load = this.view.fleet.load(m);
      if (load.hasUnknownTasks) continue;
      coming.push({ ...m.kind, free: subtract(total, load.used) });
      const key = offerKey(m.kind);
      const sum = working.get(key) ?? { offer: m.kind, capacity: total, busyCpus: 0, work: 0 };
      working.set(key, sum);
      for (const a of m.assignments.values()) {
        const spec = this.view.specOf(a.job);
        // What urgent tasks free is taken by urgent tasks to come.
        if (!spec || isUrgent(spec.priority)) continue;
        sum.busyCpus += spec.cpus;
        // One that has run for longer than estimated shows that the estimate was too low.
        const length = Math.max(spec.expectedRuntimeSeconds * 1000, since(a.placedAt, now));
        sum.work += spec.cpus * length;
      }
    }
    const turnover = [...working.values()].map(({ offer, capacity, busyCpus, work }) => ({
      ...offer,
      capacity,
      busyCpus,
      meanRuntime: ms(busyCpus > 0 ? work / busyCpus : 0),
    }));
    return { coming, turnover };
  }

  private lostMachines(now: SteadyMs): Machine[] {
    const { heartbeatInterval: report, lease } = this.deps.settings.workers;
    const lost = lostMachines(this.machines.values(), {
      now,
      listeningSince: this.view.listeningSince(),
      heartbeatInterval: report,
      lease,
      bootTime: (type) =>
        seconds(this.catalog.machineType(type)?.bootSeconds ?? DEFAULT_BOOT_SECONDS),
      unreachableAt: this.view.unreachableAt,
    });
    return lost.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private idleMachines(now: SteadyMs): Machine[] {
    const out: Machine[] = [];
    const spare = this.spareCpus();
    const dearFirst = [...this.machines.values()].sort(
      (a, b) => Number(a.kind.spot) - Number(b.kind.spot),
    );
    for (const m of dearFirst) {
      if (!m.isUp || m.assignments.size > 0 || m.idleSince === undefined) continue;
      // Keeping it costs as much as its boot would: after that it is cheaper to rent another.
      const ready = (this.catalog.machineType(m.kind.machineType)?.bootSeconds ?? 0) * 1000;
      const patience =
        ready * this.deps.operator.idleBootTimes * (m.kind.spot ? 1 : ON_DEMAND_IDLE_SHARE);
      if (since(m.idleSince, now) < patience) continue;
      if (m.rentedAt !== undefined && since(m.rentedAt, now) < MIN_CHARGE) continue;
      const load = this.view.fleet.load(m);
      if (load.hasUnknownTasks || load.used.cpus > 0) continue;
      // Giving it back must not take the room that stands by for urgent work.
      const cpus = this.catalog.machineType(m.kind.machineType)?.cpus ?? 0;
      if (this.isSmallest(cpus)) {
        if (spare.any < cpus || (!m.kind.spot && spare.ordinary < cpus)) continue;
        spare.any -= cpus;
        if (!m.kind.spot) spare.ordinary -= cpus;
      }
      out.push(m);
    }
    return out.slice(0, MAX_MACHINES_PER_DELETE);
  }

  private isSmallest(cpus: number): boolean {
    return this.catalog.all().every((f) => f.cpus >= cpus);
  }

  /**
   * What is free on machines of the smallest type, which is where work is expected, beyond what that would
   * take; and the same of ordinary machines, for work that may not run on spot machines.
   */
  private spareCpus(): { any: number; ordinary: number } {
    const spare = { any: 0, ordinary: 0 };
    for (const m of this.machines.values()) {
      const cpus = this.catalog.machineType(m.kind.machineType)?.cpus ?? 0;
      if (!m.isUp || m.isDraining || !this.isSmallest(cpus)) continue;
      const load = this.view.fleet.load(m);
      const free = cpus - (load.hasUnknownTasks ? cpus : load.used.cpus);
      spare.any += free;
      if (!m.kind.spot) spare.ordinary += free;
    }
    for (const { spec, count } of this.view.anticipatedWork()) {
      spare.any -= spec.cpus * count;
      if (!spec.allowSpot) spare.ordinary -= spec.cpus * count;
    }
    return spare;
  }

  private async deleteMachines(machines: readonly Machine[]): Promise<boolean> {
    for (const m of machines) {
      m.isReturning = true;
      // From here on it may go at any time, however late the request is carried out.
      m.deleteSent = true;
    }
    const ok = await this.cloud.deleteMachines(machines.map((m) => m.id));
    if (!ok) return false;
    for (const m of machines) this.view.noteRemoved(m, 'deleted');
    return true;
  }

  private async readList(now: SteadyMs): Promise<boolean> {
    const listed = await this.cloud.listMachines();
    if (!listed) return false;
    this.listReadAt = now;
    const seen = new Set<MachineId>();
    for (const machine of listed) {
      const id = MachineId(machine.id);
      seen.add(id);
      if (!this.view.fleet.isGone(id)) this.recordListed(id, machine, now);
    }
    const settled = 2 * this.deps.settings.cloud.listLag;
    for (const m of this.machines.values()) {
      if (seen.has(m.id)) m.missedLists = 0;
      // A list may be older than the one before, but not older than twice the lag.
      else if (m.listedAt !== undefined && since(m.listedAt, now) > settled) m.missedLists++;
      else if (m.listedAt === undefined && m.bootingSince === undefined && !m.isUp) m.missedLists++;
    }
    return true;
  }

  private recordListed(id: MachineId, listed: ListedMachine, now: SteadyMs): void {
    const m = this.view.fleet.observe(
      id,
      { machineType: listed.machineType, zone: listed.zone, spot: listed.spot },
      listed.address,
    );
    m.listedAt ??= now;
    m.rentedAt ??= later(now, ms(-listed.ageSeconds * 1000));
    if (listed.status === 'failed') {
      // It stopped on its own: its tasks are gone. The delete only takes it off the list.
      m.isReturning = true;
      m.deleteSent = true;
    } else if (!m.isUp && m.lastHeardAt === undefined) {
      // One that runs has booted long ago and is only not heard from by us yet: after a takeover
      // that is the whole fleet, and none of it may be given up for a boot that took too long.
      if (listed.status === 'running') {
        m.bootingSince = undefined;
        m.listedRunningSince ??= now;
      } else m.bootingSince ??= later(now, ms(-listed.ageSeconds * 1000));
    }
  }
}
