/**
 * Plans which machines to rent, as a pure bin-packing function. Waiting tasks are first packed into machines that
 * are up or booting. Some of the remaining tasks wait for machines whose tasks end before a new machine could be
 * up. For the rest, bins are opened, each for the offer with the lowest cost per task.
 */
import { RESOURCE_TOLERANCE, fits, machineResources } from '../fleet/resources.js';
import { isMachineAllowed } from '../placer/placer.js';
import { createBin, packTasks, countTaskSlots, type Bin } from './bin-packing.js';
import { findCheapestOffer, type Market } from './cheapest-offer.js';
import {
  offerKey,
  type AvailableCapacity,
  type Demand,
  type PlannedScaleOut,
  type BusyCapacity,
} from './types.js';
import { WaitEstimator } from './wait-estimator.js';

/** What a plan is computed from. */
export interface PlanningInput extends Market {
  /** In the order in which they get machines. */
  readonly demands: readonly Demand[];
  readonly available: readonly AvailableCapacity[];
  readonly busyCapacity: readonly BusyCapacity[];
  /** The maximum number of machines to rent. */
  readonly maxMachines: number;
}

/** The state of a plan under construction. */
interface Plan {
  readonly input: PlanningInput;
  /** The available machines, followed by the opened bins. */
  readonly bins: Bin[];
  /** The bins that can hold a task of some demand. Only these are searched: most machines of a busy fleet are full. */
  readonly binsWithRoom: Bin[];
  /** The bins for machines to rent. */
  readonly opened: Bin[];
  readonly waits: WaitEstimator;
}

/** Returns the machines to rent, by offer, in the order in which they are needed. */
export function planScaleOut(input: PlanningInput): PlannedScaleOut[] {
  const bins = input.available.map((capacity) => createBin(capacity, capacity.free));
  const plan: Plan = {
    input,
    bins,
    binsWithRoom: withRoomForSmallest(bins, input.demands),
    opened: [],
    waits: new WaitEstimator(input.busyCapacity),
  };
  for (const demand of input.demands) {
    for (const zoneDemand of splitByZone(demand, plan)) packDemand(zoneDemand, plan);
  }
  return countByOffer(plan.opened);
}

function withRoomForSmallest(bins: readonly Bin[], demands: readonly Demand[]): Bin[] {
  const minCpus = demands.reduce(
    (least, { resources }) => Math.min(least, resources.cpus),
    Infinity,
  );
  return bins.filter(({ cpus }) => cpus >= minCpus - RESOURCE_TOLERANCE);
}

function packDemand(demand: Demand, plan: Plan): void {
  const unpacked = packIntoBins(demand, plan.binsWithRoom);
  if (unpacked === 0) return;
  const [waiting = 0, late = 0] = plan.waits.enqueue(demand, unpacked, [
    demand.acceptableWait,
    demand.maxWait,
  ]);
  openBins(demand, { total: Math.max(waiting, late), late }, plan);
}

/** Packs tasks into existing bins; returns how many did not fit. */
function packIntoBins(demand: Demand, bins: readonly Bin[]): number {
  let remaining = demand.taskCount;
  for (const bin of bins) {
    if (remaining === 0) break;
    if (!isMachineAllowed(demand, bin.offer)) continue;
    remaining -= packTasks(bin, demand.resources, remaining);
  }
  return remaining;
}

/** Opens bins for tasks that would otherwise wait too long; `tasks.late` of them would be late. */
function openBins(
  demand: Demand,
  tasks: { readonly total: number; readonly late: number },
  { input, bins, binsWithRoom, opened }: Plan,
): void {
  let remaining = tasks.total;
  let lateRemaining = tasks.late;
  while (remaining > 0 && opened.length < input.maxMachines) {
    const request = { demand, taskCount: remaining, hasLateTasks: lateRemaining > 0 };
    const best = findCheapestOffer(request, input);
    if (!best) return;
    const bin = createBin(best.offer, machineResources(best.type));
    const packed = packTasks(bin, demand.resources, remaining);
    remaining -= packed;
    lateRemaining -= packed;
    bins.push(bin);
    binsWithRoom.push(bin);
    opened.push(bin);
  }
}

function countByOffer(bins: readonly Bin[]): PlannedScaleOut[] {
  const counts = new Map<string, PlannedScaleOut>();
  for (const { offer } of bins) {
    const key = offerKey(offer);
    counts.set(key, { ...offer, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()];
}

/** Assigns a gang with a zone constraint to zones: as a whole, or in parts that fit the limit per zone. */
function splitByZone(demand: Demand, { input, bins }: Plan): Demand[] {
  const isZoned = demand.isGang && (demand.singleZone || demand.spreadZones);
  if (!isZoned || demand.requiredZone !== null) return [demand];
  const maxPerZone = demand.singleZone ? demand.taskCount : Math.ceil(demand.taskCount / 2);
  const zones = zonesByFreeSlots(demand, bins, input);
  // A zone without enough free slots is usable only if machines can be rented there.
  const usableZones = zones.filter(
    ({ zone, slots }) => slots >= maxPerZone || canRentIn(zone, demand, maxPerZone, input),
  );
  const parts: Demand[] = [];
  let remaining = demand.taskCount;
  for (const { zone } of usableZones.length > 0 ? usableZones : zones) {
    if (remaining === 0) break;
    const taskCount = Math.min(remaining, maxPerZone);
    parts.push({ ...demand, requiredZone: zone, taskCount });
    remaining -= taskCount;
  }
  return parts;
}

function canRentIn(zone: string, demand: Demand, taskCount: number, market: Market): boolean {
  const inZone = { ...demand, requiredZone: zone };
  return findCheapestOffer({ demand: inZone, taskCount, hasLateTasks: true }, market) !== undefined;
}

/** The zones with a machine type that suits a gang, and how many of its tasks fit there now, most first. */
function zonesByFreeSlots(
  demand: Demand,
  bins: readonly Bin[],
  { machineTypes }: Market,
): { zone: string; slots: number }[] {
  const slotsByZone = new Map<string, number>();
  for (const type of machineTypes) {
    if (!fits(demand.resources, machineResources(type))) continue;
    for (const zone of type.zones) {
      const offer = { machineType: type.name, zone, spot: false };
      if (isMachineAllowed(demand, offer)) slotsByZone.set(zone, 0);
    }
  }
  for (const bin of bins) {
    if (!isMachineAllowed(demand, bin.offer)) continue;
    const { zone } = bin.offer;
    const slots = Math.max(0, countTaskSlots(bin, demand.resources));
    slotsByZone.set(zone, (slotsByZone.get(zone) ?? 0) + slots);
  }
  return Array.from(slotsByZone, ([zone, slots]) => ({ zone, slots })).sort(
    (a, b) => b.slots - a.slots,
  );
}
