import { fits, sizeOfFlavor, type Size } from '../fleet/size.js';
import { allows } from '../placer/placer.js';
import { ms, seconds, type DurationMs } from '../units/index.js';
import type { MachineType } from '../wire/index.js';

/**
 * What to rent. Pure: waiting tasks are packed into the room that is there or on its way; of what
 * remains, a part is served by what runs now before a new machine could be up, and the rest opens
 * new machines, each of the offer that serves the task at the least cost.
 */
export interface Offer {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export const offerKey = (o: Offer): string => `${o.type}|${o.zone}|${o.spot ? 'spot' : 'plain'}`;

/** Waiting tasks of one job, or urgent ones that may be submitted next. */
export interface Demand {
  readonly size: Size;
  readonly count: number;
  readonly types: readonly string[] | null;
  readonly onlyZone: string | null;
  readonly spot: boolean;
  /** All of it runs at once or none does; `together`: in one zone. */
  readonly isGang: boolean;
  readonly together: boolean;
  /** At most half of a gang, rounded up, may be in one zone. */
  readonly apart: boolean;
  /** How long a task is expected to run. */
  readonly run: DurationMs;
  /** A wait up to this long is not worth a machine. */
  readonly patience: DurationMs;
  /**
   * A wait beyond this makes it late: ordinary machines, which cost a multiple, are rented only for
   * what would wait longer. Infinite: never.
   */
  readonly slack: DurationMs;
}

/** Room on a machine that is up, or all of one that boots. */
export interface Coming extends Offer {
  readonly free: Size;
}

/** Machines of one offer that work, and how soon what they do gives way to other work. */
export interface Turnover extends Offer {
  readonly total: Size;
  /** Processors in use by work whose place goes to whatever waits. */
  readonly busy: number;
  /** How long the tasks there run in the mean. */
  readonly run: DurationMs;
}

export interface Plan extends Offer {
  readonly count: number;
}

interface Bin {
  readonly offer: Offer;
  cpus: number;
  gpus: number;
  ramGb: number;
}

/** What comes free is in pieces, of which a large task can't use all. */
const USABLE = 0.8;
/** How much more a machine costs that boots too slowly for the task at hand. */
const TOO_SLOW = 4;

const perMachine = (room: Size, size: Size): number =>
  Math.floor(
    Math.min(
      room.cpus / size.cpus,
      size.gpus > 0 ? room.gpus / size.gpus : Infinity,
      size.ramGb > 0 ? room.ramGb / size.ramGb : Infinity,
    ) + 1e-6,
  );

/** Takes up to so many tasks into a bin; how many there was room for. */
function pack(bin: Bin, d: Demand, most: number): number {
  if (bin.cpus < d.size.cpus - 1e-6) return 0;
  const n = Math.min(most, perMachine(bin, d.size));
  bin.cpus -= n * d.size.cpus;
  bin.gpus -= n * d.size.gpus;
  bin.ramGb -= n * d.size.ramGb;
  return n;
}

/** What waits for machines that work: processors a second that they give way to it, and the queue there. */
class Queues {
  private readonly lines: { offer: Turnover; rate: number; queued: number }[];

  constructor(turnover: readonly Turnover[]) {
    this.lines = turnover
      .filter((t) => t.busy > 0)
      .map((t) => ({
        offer: t,
        rate: (t.busy * USABLE) / Math.max(1, t.run / seconds(1)),
        queued: 0,
      }));
  }

  /** Queues tasks; how many of them will still wait after each of the spans. */
  join(d: Demand, tasks: number, spans: readonly DurationMs[]): number[] {
    const lines = this.lines.filter((l) => allows(d, l.offer) && fits(d.size, l.offer.total));
    let rate = 0;
    let queued = 0;
    for (const l of lines) {
      rate += l.rate;
      queued += l.queued;
    }
    const cpus = tasks * d.size.cpus;
    for (const l of lines) l.queued += rate > 0 ? (cpus * l.rate) / rate : 0;
    return spans.map((span) => {
      if (span === Infinity) return 0;
      const served = Math.max(0, rate * (span / seconds(1)) - queued);
      return Math.ceil(Math.max(0, cpus - served) / d.size.cpus - 1e-6);
    });
  }
}

export function plan(
  demands: readonly Demand[],
  coming: readonly Coming[],
  turnover: readonly Turnover[],
  flavors: readonly MachineType[],
  refused: ReadonlySet<string>,
  most: number,
): Plan[] {
  const bins: Bin[] = coming.map((c) => ({
    offer: c,
    cpus: c.free.cpus,
    gpus: c.free.gpus,
    ramGb: c.free.ramGb,
  }));
  const queues = new Queues(turnover);
  const fresh: Bin[] = [];
  const rent = (d: Demand): void => {
    let left = d.count;
    for (const bin of bins) {
      if (left === 0) break;
      if (allows(d, bin.offer)) left -= pack(bin, d, left);
    }
    if (left === 0) return;
    const [soon = 0, pressing = 0] = queues.join(d, left, [d.patience, d.slack]);
    left = Math.max(soon, pressing);
    let dear = pressing;
    while (left > 0 && fresh.length < most) {
      const pick = cheapest(d, left, dear > 0, flavors, refused);
      if (!pick) return;
      const { cpus, gpus, ramGb } = sizeOfFlavor(pick.flavor);
      const bin: Bin = { offer: pick.offer, cpus, gpus, ramGb };
      const n = pack(bin, d, left);
      left -= n;
      dear -= n;
      bins.push(bin);
      fresh.push(bin);
    }
  };
  for (const demand of demands) {
    for (const part of byZone(demand, bins, flavors, refused)) rent(part);
  }
  const counts = new Map<string, Plan>();
  for (const bin of fresh) {
    const key = offerKey(bin.offer);
    counts.set(key, { ...bin.offer, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

/** What is wanted, bound to zones where all of a gang must be in one, or no more than half of it. */
function byZone(
  d: Demand,
  bins: readonly Bin[],
  flavors: readonly MachineType[],
  refused: ReadonlySet<string>,
): Demand[] {
  if (!d.isGang || d.onlyZone !== null || !(d.together || d.apart)) return [d];
  const most = d.together ? d.count : Math.ceil(d.count / 2);
  const zones = zonesByRoom(d, bins, flavors);
  // Where there is no room for its part, machines must be to be had.
  const useful = zones.filter(
    ({ zone, tasks }) =>
      tasks >= most ||
      cheapest({ ...d, onlyZone: zone }, most, true, flavors, refused) !== undefined,
  );
  const parts: Demand[] = [];
  let left = d.count;
  for (const { zone } of useful.length > 0 ? useful : zones) {
    if (left === 0) break;
    const count = Math.min(left, most);
    parts.push({ ...d, onlyZone: zone, count });
    left -= count;
  }
  return parts;
}

/** The zones that a gang might be in as a whole and how many of its tasks fit there, most first. */
function zonesByRoom(
  d: Demand,
  bins: readonly Bin[],
  flavors: readonly MachineType[],
): { zone: string; tasks: number }[] {
  const room = new Map<string, number>();
  for (const flavor of flavors) {
    for (const zone of flavor.zones) {
      const offer = { type: flavor.name, zone, spot: false };
      if (fits(d.size, sizeOfFlavor(flavor)) && allows(d, offer)) room.set(zone, 0);
    }
  }
  for (const bin of bins) {
    if (!allows(d, bin.offer)) continue;
    const { zone } = bin.offer;
    room.set(zone, (room.get(zone) ?? 0) + Math.max(0, perMachine(bin, d.size)));
  }
  return [...room].sort((a, b) => b[1] - a[1]).map(([zone, tasks]) => ({ zone, tasks }));
}

function cheapest(
  d: Demand,
  left: number,
  pressing: boolean,
  flavors: readonly MachineType[],
  refused: ReadonlySet<string>,
): { offer: Offer; flavor: MachineType } | undefined {
  let best: { offer: Offer; flavor: MachineType } | undefined;
  let bestCost = Infinity;
  for (const flavor of flavors) {
    const size = sizeOfFlavor(flavor);
    if (!fits(d.size, size)) continue;
    const slow = pressing && flavor.bootSeconds * seconds(1) > d.slack ? TOO_SLOW : 1;
    for (const zone of flavor.zones) {
      for (const spot of [true, false]) {
        const offer = { type: flavor.name, zone, spot };
        if (!allows(d, offer) || refused.has(offerKey(offer))) continue;
        if (!spot && d.spot && !pressing) continue;
        const price = spot ? flavor.spotPrice : flavor.onDemandPrice;
        // What is left over on a machine serves others, but counts for less than what is used.
        const slots = perMachine(size, d.size);
        const used = Math.min(slots, left) + 0.7 * Math.max(0, slots - left);
        const cost = (slow * price) / used;
        if (cost < bestCost - 1e-9) {
          bestCost = cost;
          best = { offer, flavor };
        }
      }
    }
  }
  return best;
}

export const NO_WAIT = ms(0);
export const NEVER = ms(Infinity);
