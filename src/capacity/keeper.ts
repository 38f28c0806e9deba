import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import { MAX_DELETE, MAX_HIRE, type CloudClient } from '../cloud/client.js';
import type { Catalog } from '../cloud/catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { fits, less, sizeOfFlavor, sizeOfSpec, type Size } from '../fleet/size.js';
import { isGang } from '../ledger/job.js';
import { dueBy, isUrgent, type Place } from '../ledger/queue.js';
import { Backoff } from '../store/budget.js';
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
  plan,
  type Coming,
  type Demand,
  type Offer,
  type Plan,
  type Turnover,
} from './planner.js';

/** What the keeper sees of the fleet and its work, and does to it. */
export interface FleetView {
  readonly fleet: Fleet;
  readonly silentAfter: DurationMs;
  /** Since when reports are answered without a break. */
  listeningSince(): SteadyMs;
  /** When each other node was last known not to answer us. */
  readonly unreachableAt: ReadonlyMap<NodeId, SteadyMs>;
  queue(): Place[];
  spec(job: JobId): JobSpec | undefined;
  /** Urgent work that may be submitted next. */
  expected(): { spec: JobSpec; count: number }[];
  removed(m: Machine, why: string): void;
}

interface Deps {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

const demandOf = (spec: JobSpec): Omit<Demand, 'count' | 'patience' | 'slack'> => ({
  size: sizeOfSpec(spec),
  types: spec.machineTypes,
  onlyZone: spec.zone,
  spot: spec.allowSpot,
  run: ms(spec.expectedRuntimeSeconds * 1000),
  isGang: isGang(spec),
  together: spec.singleZone,
  apart: spec.spreadZones,
});

interface Refusal {
  until: SteadyMs;
  times: number;
}

const FLAVORS_EVERY = seconds(60);
const LIST_LEAST = seconds(4);
const PLAN_EVERY = seconds(1);
/** A boot counts on its way for this many times the usual. */
const BOOT_LATE = 2;
const UNKNOWN_BOOT_S = 60;
const REFUSED_FIRST = seconds(8);
const REFUSED_MOST = seconds(60);
const MOST_NEW = 100;
/** A machine is rented for a wait of at least this many boot times. */
const WORTH_BOOTING = 0.7;
/** Of what other work waits, urgent work waits this share. */
const URGENT_PATIENCE = 0.25;
/** A job that has waited this long is pressing whatever its deadline. */
const NEGLECTED = seconds(180);
/** As long as no machine is there at all, dear ones are only asked for after this. */
const NOTHING_YET = seconds(5);
/** An ordinary machine without work goes back sooner: it costs a multiple of a cheap one. */
const DEAR_IDLE_SHARE = 0.25;
/** A machine is charged for this long at least. */
const LEAST_CHARGE = seconds(60);

/**
 * Rents and gives back. One cloud call at a time, the most useful first; a call that was not
 * answered is repeated under its own name until it is.
 */
export class CapacityKeeper {
  private busy = false;
  private pending: ScaleOutRequest | undefined;
  private queued: Plan[] = [];
  private counter = 0;
  private readonly refusals = new Map<string, Refusal>();
  private readonly outage: Backoff;
  private flavorsAt: SteadyMs | undefined;
  private listAt: SteadyMs | undefined;
  private planAt: SteadyMs | undefined;
  /** Called when machine types were read that differ from those known. */
  onCatalog: (() => void) | undefined;

  constructor(
    private readonly view: FleetView,
    private readonly cloud: CloudClient,
    private readonly catalog: Catalog,
    private readonly epoch: Epoch,
    private readonly deps: Deps,
  ) {
    this.outage = new Backoff(deps.clock, deps.random, ms(500), seconds(5));
  }

  private get machines(): ReadonlyMap<MachineId, Machine> {
    return this.view.fleet.machines;
  }

  tick(): void {
    if (this.busy || this.outage.remaining() > 0 || !this.cloud.ready()) return;
    const step = this.next(this.deps.clock.steady());
    if (!step) return;
    this.busy = true;
    step()
      .catch((e: unknown) => {
        this.deps.log.error({ err: e }, 'cloud step failed');
        return false;
      })
      .then((ok) => {
        this.busy = false;
        if (ok) {
          this.outage.worked();
          this.deps.clock.after(ms(1), () => this.tick());
        } else this.outage.failed();
      })
      .catch(() => undefined);
  }

  /** The most useful call that is due. */
  private next(now: SteadyMs): (() => Promise<boolean>) | undefined {
    if (!this.catalog.known) return () => this.readFlavors(now);
    const lost = this.lost(now);
    if (lost.length > 0) return () => this.remove(lost);
    if (this.pending) {
      const hire = this.pending;
      return () => this.hire(hire);
    }
    if (this.planAt === undefined || since(this.planAt, now) >= PLAN_EVERY) {
      this.planAt = now;
      this.queued = this.wanted(now);
    }
    const want = this.queued.shift();
    if (want) {
      const hire: ScaleOutRequest = {
        requestId: `e${this.epoch}-${++this.counter}`,
        machineType: want.type,
        zone: want.zone,
        spot: want.spot,
        count: Math.min(want.count, MAX_HIRE),
      };
      this.pending = hire;
      return () => this.hire(hire);
    }
    const listEvery = Math.max(LIST_LEAST, this.deps.settings.cloud.listLag);
    if (this.listAt === undefined || since(this.listAt, now) >= listEvery) {
      return () => this.readList(now);
    }
    const idle = this.idle(now);
    if (idle.length > 0) return () => this.remove(idle);
    if (this.flavorsAt === undefined || since(this.flavorsAt, now) >= FLAVORS_EVERY) {
      return () => this.readFlavors(now);
    }
    return undefined;
  }

  private async readFlavors(now: SteadyMs): Promise<boolean> {
    const flavors = await this.cloud.flavors();
    if (!flavors) return false;
    this.flavorsAt = now;
    if (this.catalog.update(flavors)) this.onCatalog?.();
    return true;
  }

  private async hire(hire: ScaleOutRequest): Promise<boolean> {
    const result = await this.cloud.hire(hire);
    const now = this.deps.clock.steady();
    const offer = { type: hire.machineType, zone: hire.zone, spot: hire.spot };
    switch (result.kind) {
      case 'hired': {
        this.pending = undefined;
        this.deps.log.info(
          { hire: hire.requestId, ...offer, count: result.machines.length },
          'rented',
        );
        for (const id of result.machines) {
          if (this.view.fleet.isGone(id)) continue;
          const m = this.view.fleet.meet(id, offer, '');
          m.rentedAt ??= now;
          if (!m.up) m.bootingSince ??= now;
        }
        if (result.machines.length < hire.count) this.refuse(offerKey(offer), now);
        else this.refusals.delete(offerKey(offer));
        return true;
      }
      case 'none':
        this.pending = undefined;
        this.refuse(offerKey(offer), now);
        this.deps.log.info({ hire: hire.requestId, ...offer }, 'no capacity');
        return true;
      case 'malformed':
        this.pending = undefined;
        this.refuse(offerKey(offer), now);
        this.deps.log.error({ hire: hire.requestId, ...offer }, 'rental refused as malformed');
        return true;
      case 'again':
        this.deps.log.info({ hire: hire.requestId, why: result.why }, 'rental not answered');
        return false;
    }
  }

  private refuse(key: string, now: SteadyMs): void {
    const times = (this.refusals.get(key)?.times ?? 0) + 1;
    const pause = Math.min(REFUSED_MOST, REFUSED_FIRST * 2 ** (times - 1));
    const spread = 0.8 + 0.4 * this.deps.random();
    this.refusals.set(key, { times, until: later(now, ms(pause * spread)) });
  }

  private refused(now: SteadyMs): Set<string> {
    const out = new Set<string>();
    for (const [key, r] of this.refusals) if (r.until > now) out.add(key);
    return out;
  }

  private wanted(now: SteadyMs): Plan[] {
    const demands = this.demands(this.view.queue());
    // Room standing by for urgent work: last, and never at the price of ordinary machines.
    for (const { spec, count } of this.view.expected()) {
      demands.push({ ...demandOf(spec), count, patience: NO_WAIT, slack: NEVER });
    }
    if (demands.length === 0) return [];
    const { coming, turnover } = this.supply(now);
    return plan(demands, coming, turnover, this.catalog.all(), this.refused(now), MOST_NEW);
  }

  /** What of the queue waits, and how long it may before machines are worth their price. */
  private demands(queue: readonly Place[]): Demand[] {
    const wall = this.deps.clock.wall();
    const { objectives } = this.deps.settings;
    const out: Demand[] = [];
    for (const { job } of queue) {
      const { spec } = job;
      const demand = demandOf(spec);
      const ready = this.leastReady(demand.size);
      const { due, late } = dueBy(job, objectives, wall, demand.run);
      const slack = due - wall - demand.run * 1.2;
      // Nothing is there yet: the cheap ones are asked for first, and then it is known what is missing.
      const early = this.machines.size === 0 && wall - job.submitted < NOTHING_YET;
      const hopeless = late && slack + demand.run + ready < 0;
      const neglected = wall - job.submitted > NEGLECTED;
      out.push({
        ...demand,
        count: job.waiting.size,
        patience: ms(ready * WORTH_BOOTING * (isUrgent(spec.priority) ? URGENT_PATIENCE : 1)),
        slack: neglected ? NO_WAIT : early || hopeless ? NEVER : ms(Math.max(0, slack)),
      });
    }
    return out;
  }

  private leastReady(size: Size): number {
    let least = Infinity;
    for (const f of this.catalog.all()) {
      if (fits(size, sizeOfFlavor(f))) least = Math.min(least, f.bootSeconds * 1000);
    }
    return Number.isFinite(least) ? least : 0;
  }

  /** What room there is or will be soon, and what work gives way in time. */
  private supply(now: SteadyMs): { coming: Coming[]; turnover: Turnover[] } {
    const coming: Coming[] = [];
    const working = new Map<string, { offer: Offer; total: Size; busy: number; work: number }>();
    for (const m of this.machines.values()) {
      const f = this.catalog.flavor(m.place.type);
      if (!f || m.draining || m.deleteSent || m.isGhost(this.epoch, now)) continue;
      const total = sizeOfFlavor(f);
      if (!m.up) {
        const booting = m.bootingSince !== undefined && since(m.bootingSince, now);
        if (booting !== false && booting < f.bootSeconds * 1000 * BOOT_LATE) {
          coming.push({ ...m.place, free: total });
        }
        continue;
      }
      const load = this.view.fleet.load(m);
      if (load.unknown) continue;
      coming.push({ ...m.place, free: less(total, load.used) });
      const key = offerKey(m.place);
      const sum = working.get(key) ?? { offer: m.place, total, busy: 0, work: 0 };
      working.set(key, sum);
      for (const a of m.assigned.values()) {
        const spec = this.view.spec(a.job);
        // What urgent tasks free is taken by urgent tasks to come.
        if (!spec || isUrgent(spec.priority)) continue;
        sum.busy += spec.cpus;
        // One that has run for longer than estimated shows that the estimate was too low.
        const length = Math.max(spec.expectedRuntimeSeconds * 1000, since(a.placedAt, now));
        sum.work += spec.cpus * length;
      }
    }
    const turnover = [...working.values()].map(({ offer, total, busy, work }) => ({
      ...offer,
      total,
      busy,
      run: ms(busy > 0 ? work / busy : 0),
    }));
    return { coming, turnover };
  }

  private lost(now: SteadyMs): Machine[] {
    const { report, lease } = this.deps.settings.workers;
    const lost = lostMachines(this.machines.values(), {
      now,
      listeningSince: this.view.listeningSince(),
      report,
      lease,
      bootTime: (type) => seconds(this.catalog.flavor(type)?.bootSeconds ?? UNKNOWN_BOOT_S),
      unreachableAt: this.view.unreachableAt,
    });
    return lost.slice(0, MAX_DELETE);
  }

  private idle(now: SteadyMs): Machine[] {
    const out: Machine[] = [];
    const spare = this.spareCpus();
    const dearFirst = [...this.machines.values()].sort(
      (a, b) => Number(a.place.spot) - Number(b.place.spot),
    );
    for (const m of dearFirst) {
      if (!m.up || m.assigned.size > 0 || m.idleSince === undefined) continue;
      // Keeping it costs as much as its boot would: after that it is cheaper to rent another.
      const ready = (this.catalog.flavor(m.place.type)?.bootSeconds ?? 0) * 1000;
      const patience = ready * this.deps.operator.idleBoots * (m.place.spot ? 1 : DEAR_IDLE_SHARE);
      if (since(m.idleSince, now) < patience) continue;
      if (m.rentedAt !== undefined && since(m.rentedAt, now) < LEAST_CHARGE) continue;
      const load = this.view.fleet.load(m);
      if (load.unknown || load.used.cpus > 0) continue;
      // Giving it back must not take the room that stands by for urgent work.
      const cpus = this.catalog.flavor(m.place.type)?.cpus ?? 0;
      if (this.isSmallest(cpus)) {
        if (spare.any < cpus || (!m.place.spot && spare.ordinary < cpus)) continue;
        spare.any -= cpus;
        if (!m.place.spot) spare.ordinary -= cpus;
      }
      out.push(m);
    }
    return out.slice(0, MAX_DELETE);
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
      const cpus = this.catalog.flavor(m.place.type)?.cpus ?? 0;
      if (!m.up || m.draining || !this.isSmallest(cpus)) continue;
      const load = this.view.fleet.load(m);
      const free = cpus - (load.unknown ? cpus : load.used.cpus);
      spare.any += free;
      if (!m.place.spot) spare.ordinary += free;
    }
    for (const { spec, count } of this.view.expected()) {
      spare.any -= spec.cpus * count;
      if (!spec.allowSpot) spare.ordinary -= spec.cpus * count;
    }
    return spare;
  }

  private async remove(machines: readonly Machine[]): Promise<boolean> {
    for (const m of machines) {
      m.returning = true;
      // From here on it may go at any time, however late the request is carried out.
      m.deleteSent = true;
    }
    const ok = await this.cloud.remove(machines.map((m) => m.id));
    if (!ok) return false;
    for (const m of machines) this.view.removed(m, 'deleted');
    return true;
  }

  private async readList(now: SteadyMs): Promise<boolean> {
    const boxes = await this.cloud.list();
    if (!boxes) return false;
    this.listAt = now;
    const seen = new Set<MachineId>();
    for (const box of boxes) {
      const id = MachineId(box.id);
      seen.add(id);
      if (!this.view.fleet.isGone(id)) this.take(id, box, now);
    }
    const settled = 2 * this.deps.settings.cloud.listLag;
    for (const m of this.machines.values()) {
      if (seen.has(m.id)) m.missedLists = 0;
      // A list may be older than the one before, but not older than twice the lag.
      else if (m.listedAt !== undefined && since(m.listedAt, now) > settled) m.missedLists++;
      else if (m.listedAt === undefined && m.bootingSince === undefined && !m.up) m.missedLists++;
    }
    return true;
  }

  private take(id: MachineId, box: ListedMachine, now: SteadyMs): void {
    const m = this.view.fleet.meet(
      id,
      { type: box.machineType, zone: box.zone, spot: box.spot },
      box.address,
    );
    m.listedAt ??= now;
    m.rentedAt ??= later(now, ms(-box.ageSeconds * 1000));
    if (box.status === 'failed') {
      // It stopped on its own: its tasks are gone. The delete only takes it off the list.
      m.returning = true;
      m.deleteSent = true;
    } else if (!m.up && m.lastHeard === undefined) {
      // One that runs has booted long ago and is only not heard from by us yet: after a takeover
      // that is the whole fleet, and none of it may be given up for a boot that took too long.
      if (box.status === 'running') {
        m.bootingSince = undefined;
        m.runsSince ??= now;
      } else m.bootingSince ??= later(now, ms(-box.ageSeconds * 1000));
    }
  }
}
