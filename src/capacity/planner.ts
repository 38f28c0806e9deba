import { fits, machineResources, type Resources } from '../fleet/resources.js';
import { isAllowed } from '../placer/placer.js';
import { ms, seconds, type DurationMs } from '../units/index.js';
import type { MachineType } from '../wire/index.js';

/**
 * What to rent. Pure: waiting tasks are packed into the room that is there or on its way; of what
 * remains, a part is served by what runs now before a new machine could be up, and the rest opens
 * new machines, each of the offer that serves the task at the least cost.
 */
export interface Offer {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
}

export const offerKey = (o: Offer): string =>
  `${o.machineType}|${o.zone}|${o.spot ? 'spot' : 'plain'}`;

/** Waiting tasks of one job, or urgent ones that may be submitted next. */
export interface Demand {
  readonly resources: Resources;
  readonly taskCount: number;
  readonly machineTypes: readonly string[] | null;
  readonly requiredZone: string | null;
  readonly allowSpot: boolean;
  /** All of it runs at once or none does; `together`: in one zone. */
  readonly isGang: boolean;
  readonly singleZone: boolean;
  /** At most half of a gang, rounded up, may be in one zone. */
  readonly spreadZones: boolean;
  /** How long a task is expected to run. */
  readonly expectedRuntime: DurationMs;
  /** A wait up to this long is not worth a machine. */
  readonly acceptableWait: DurationMs;
  /**
   * A wait beyond this makes it late: ordinary machines, which cost a multiple, are rented only for
   * what would wait longer. Infinite: never.
   */
  readonly maxWait: DurationMs;
}

/** Room on a machine that is up, or all of one that boots. */
export interface AvailableCapacity extends Offer {
  readonly free: Resources;
}

/** Machines of one offer that work, and how soon what they do gives way to other work. */
export interface Turnover extends Offer {
  readonly capacity: Resources;
  /** Processors in use by work whose place goes to whatever waits. */
  readonly busyCpus: number;
  /** How long the tasks there run in the mean. */
  readonly meanRuntime: DurationMs;
}

export interface PlannedScaleOut extends Offer {
  readonly count: number;
}

interface PackedMachine {
  readonly offer: Offer;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What comes free is in pieces, of which a large task can't use all. */
const USABLE_SHARE = 0.8;
/** How much more a machine costs that boots too slowly for the task at hand. */
const SLOW_BOOT_PENALTY = 4;

const perMachine = (room: Resources, size: Resources): number =>
  Math.floor(
    Math.min(
      room.cpus / size.cpus,
      size.gpus > 0 ? room.gpus / size.gpus : Infinity,
      size.memoryGb > 0 ? room.memoryGb / size.memoryGb : Infinity,
    ) + 1e-6,
  );

/** Takes up to so many tasks into a bin; how many there was room for. */
function pack(bin: PackedMachine, d: Demand, most: number): number {
  if (bin.cpus < d.resources.cpus - 1e-6) return 0;
  const n = Math.min(most, perMachine(bin, d.resources));
  bin.cpus -= n * d.resources.cpus;
  bin.gpus -= n * d.resources.gpus;
  bin.memoryGb -= n * d.resources.memoryGb;
  return n;
}

/** What waits for machines that work: processors a second that they give way to it, and the queue there. */
class WaitEstimator {
  private readonly queues: { offer: Turnover; rate: number; queued: number }[];

  constructor(turnover: readonly Turnover[]) {
    this.queues = turnover
      .filter((t) => t.busyCpus > 0)
      .map((t) => ({
        offer: t,
        rate: (t.busyCpus * USABLE_SHARE) / Math.max(1, t.meanRuntime / seconds(1)),
        queued: 0,
      }));
  }

  /** Queues tasks; how many of them will still wait after each of the spans. */
  enqueue(d: Demand, tasks: number, spans: readonly DurationMs[]): number[] {
    const lines = this.queues.filter(
      (l) => isAllowed(d, l.offer) && fits(d.resources, l.offer.capacity),
    );
    let rate = 0;
    let queued = 0;
    for (const l of lines) {
      rate += l.rate;
      queued += l.queued;
    }
    const cpus = tasks * d.resources.cpus;
    for (const l of lines) l.queued += rate > 0 ? (cpus * l.rate) / rate : 0;
    return spans.map((span) => {
      if (span === Infinity) return 0;
      const served = Math.max(0, rate * (span / seconds(1)) - queued);
      return Math.ceil(Math.max(0, cpus - served) / d.resources.cpus - 1e-6);
    });
  }
}

export function planScaleOut(
  demands: readonly Demand[],
  coming: readonly AvailableCapacity[],
  turnover: readonly Turnover[],
  machineTypes: readonly MachineType[],
  refused: ReadonlySet<string>,
  most: number,
): PlannedScaleOut[] {
  const bins: PackedMachine[] = coming.map((c) => ({
    offer: c,
    cpus: c.free.cpus,
    gpus: c.free.gpus,
    memoryGb: c.free.memoryGb,
  }));
  const queues = new WaitEstimator(turnover);
  const fresh: PackedMachine[] = [];
  const rent = (d: Demand): void => {
    let left = d.taskCount;
    for (const bin of bins) {
      if (left === 0) break;
      if (isAllowed(d, bin.offer)) left -= pack(bin, d, left);
    }
    if (left === 0) return;
    const [soon = 0, pressing = 0] = queues.enqueue(d, left, [d.acceptableWait, d.maxWait]);
    left = Math.max(soon, pressing);
    let dear = pressing;
    while (left > 0 && fresh.length < most) {
      const pick = cheapestOffer(d, left, dear > 0, machineTypes, refused);
      if (!pick) return;
      const { cpus, gpus, memoryGb } = machineResources(pick.type);
      const bin: PackedMachine = { offer: pick.offer, cpus, gpus, memoryGb };
      const n = pack(bin, d, left);
      left -= n;
      dear -= n;
      bins.push(bin);
      fresh.push(bin);
    }
  };
  for (const demand of demands) {
    for (const part of splitByZone(demand, bins, machineTypes, refused)) rent(part);
  }
  const counts = new Map<string, PlannedScaleOut>();
  for (const bin of fresh) {
    const key = offerKey(bin.offer);
    counts.set(key, { ...bin.offer, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

/** What is wanted, bound to zones where all of a gang must be in one, or no more than half of it. */
function splitByZone(
  d: Demand,
  bins: readonly PackedMachine[],
  machineTypes: readonly MachineType[],
  refused: ReadonlySet<string>,
): Demand[] {
  if (!d.isGang || d.requiredZone !== null || !(d.singleZone || d.spreadZones)) return [d];
  const most = d.singleZone ? d.taskCount : Math.ceil(d.taskCount / 2);
  const zones = zonesByRoom(d, bins, machineTypes);
  // Where there is no room for its part, machines must be to be had.
  const useful = zones.filter(
    ({ zone, tasks }) =>
      tasks >= most ||
      cheapestOffer({ ...d, requiredZone: zone }, most, true, machineTypes, refused) !== undefined,
  );
  const parts: Demand[] = [];
  let left = d.taskCount;
  for (const { zone } of useful.length > 0 ? useful : zones) {
    if (left === 0) break;
    const count = Math.min(left, most);
    parts.push({ ...d, requiredZone: zone, taskCount: count });
    left -= count;
  }
  return parts;
}

/** The zones that a gang might be in as a whole and how many of its tasks fit there, most first. */
function zonesByRoom(
  d: Demand,
  bins: readonly PackedMachine[],
  machineTypes: readonly MachineType[],
): { zone: string; tasks: number }[] {
  const room = new Map<string, number>();
  for (const type of machineTypes) {
    for (const zone of type.zones) {
      const offer = { machineType: type.name, zone, spot: false };
      if (fits(d.resources, machineResources(type)) && isAllowed(d, offer)) room.set(zone, 0);
    }
  }
  for (const bin of bins) {
    if (!isAllowed(d, bin.offer)) continue;
    const { zone } = bin.offer;
    room.set(zone, (room.get(zone) ?? 0) + Math.max(0, perMachine(bin, d.resources)));
  }
  return [...room].sort((a, b) => b[1] - a[1]).map(([zone, tasks]) => ({ zone, tasks }));
}

function cheapestOffer(
  d: Demand,
  left: number,
  pressing: boolean,
  machineTypes: readonly MachineType[],
  refused: ReadonlySet<string>,
): { offer: Offer; type: MachineType } | undefined {
  let best: { offer: Offer; type: MachineType } | undefined;
  let bestCost = Infinity;
  for (const type of machineTypes) {
    const size = machineResources(type);
    if (!fits(d.resources, size)) continue;
    const slow = pressing && type.bootSeconds * seconds(1) > d.maxWait ? SLOW_BOOT_PENALTY : 1;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offer = { machineType: type.name, zone, spot };
        if (!isAllowed(d, offer) || refused.has(offerKey(offer))) continue;
        if (!spot && d.allowSpot && !pressing) continue;
        const price = spot ? type.spotPrice : type.onDemandPrice;
        // What is left over on a machine serves others, but counts for less than what is used.
        const slots = perMachine(size, d.resources);
        const used = Math.min(slots, left) + 0.7 * Math.max(0, slots - left);
        const cost = (slow * price) / used;
        if (cost < bestCost - 1e-9) {
          bestCost = cost;
          best = { offer, type };
        }
      }
    }
  }
  return best;
}

export const NO_WAIT = ms(0);
export const NEVER = ms(Infinity);
