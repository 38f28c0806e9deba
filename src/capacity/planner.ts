import { fits, sizeOfFlavor, type Size } from '../fleet/size.js';
import { allows } from '../placer/placer.js';
import type { Flavor } from '../wire/index.js';

/**
 * What to rent. Pure: waiting tasks are packed into the machines that are on their way, and what
 * remains opens new ones, each of the offer that serves the task at the least cost.
 */
export interface Offer {
  readonly build: string;
  readonly hall: string;
  readonly spot: boolean;
}

export const offerKey = (o: Offer): string => `${o.build}|${o.hall}|${o.spot ? 'spot' : 'plain'}`;

export interface Demand {
  readonly size: Size;
  readonly count: number;
  readonly builds: readonly string[] | null;
  readonly hall: string | null;
  readonly spot: boolean;
  /** It would be late if it waited for what runs to end: ordinary machines may be rented for it. */
  readonly pressing: boolean;
}

export interface Coming extends Offer {
  readonly free: Size;
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

const perMachine = (room: Size, size: Size): number =>
  Math.floor(
    Math.min(
      room.cpus / size.cpus,
      size.gpus > 0 ? room.gpus / size.gpus : Infinity,
      size.ramGb > 0 ? room.ramGb / size.ramGb : Infinity,
    ) + 1e-6,
  );

export function plan(
  demands: readonly Demand[],
  coming: readonly Coming[],
  flavors: readonly Flavor[],
  refused: ReadonlySet<string>,
  most: number,
): Plan[] {
  const bins: Bin[] = coming.map((c) => ({
    offer: c,
    cpus: c.free.cpus,
    gpus: c.free.gpus,
    ramGb: c.free.ramGb,
  }));
  const fresh: Bin[] = [];
  for (const d of demands) {
    let left = d.count;
    for (const bin of bins) {
      if (left === 0) break;
      if (!allows(d, bin.offer)) continue;
      const n = Math.min(left, perMachine(bin, d.size));
      if (n <= 0) continue;
      bin.cpus -= n * d.size.cpus;
      bin.gpus -= n * d.size.gpus;
      bin.ramGb -= n * d.size.ramGb;
      left -= n;
    }
    while (left > 0 && fresh.length < most) {
      const pick = cheapest(d, left, flavors, refused);
      if (!pick) break;
      const size = sizeOfFlavor(pick.flavor);
      const bin: Bin = { offer: pick.offer, cpus: size.cpus, gpus: size.gpus, ramGb: size.ramGb };
      const n = Math.min(left, perMachine(bin, d.size));
      bin.cpus -= n * d.size.cpus;
      bin.gpus -= n * d.size.gpus;
      bin.ramGb -= n * d.size.ramGb;
      left -= n;
      bins.push(bin);
      fresh.push(bin);
    }
  }
  const counts = new Map<string, Plan>();
  for (const bin of fresh) {
    const key = offerKey(bin.offer);
    counts.set(key, { ...bin.offer, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

function cheapest(
  d: Demand,
  left: number,
  flavors: readonly Flavor[],
  refused: ReadonlySet<string>,
): { offer: Offer; flavor: Flavor } | undefined {
  let best: { offer: Offer; flavor: Flavor } | undefined;
  let bestCost = Infinity;
  for (const flavor of flavors) {
    const size = sizeOfFlavor(flavor);
    if (!fits(d.size, size)) continue;
    for (const hall of flavor.halls) {
      for (const spot of [true, false]) {
        const offer = { build: flavor.name, hall, spot };
        if (!allows(d, offer) || refused.has(offerKey(offer))) continue;
        // Ordinary machines cost a multiple: work that can wait for a cheap one does.
        if (!spot && d.spot && !d.pressing) continue;
        const price = spot ? flavor.spot_price : flavor.rate;
        // What is left over on a machine serves others, but counts for less than what is used.
        const slots = perMachine(size, d.size);
        const used = Math.min(slots, left) + 0.7 * Math.max(0, slots - left);
        const cost = price / used;
        if (cost < bestCost - 1e-9) {
          bestCost = cost;
          best = { offer, flavor };
        }
      }
    }
  }
  return best;
}
