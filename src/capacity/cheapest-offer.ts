/** The choice of the offer from which a machine is rented for a task: the one of the least cost. */
import { fits, machineResources } from '../fleet/resources.js';
import { isAllowed } from '../placer/placer.js';
import { seconds } from '../units/index.js';
import type { MachineType } from '../wire/index.js';
import { slotCount } from './bin-packing.js';
import { offerKey, type Demand, type Offer } from './types.js';

/** The cost of a machine that boots too slowly for tasks that must not wait is multiplied by this. */
const SLOW_BOOT_COST_FACTOR = 4;
/** What a slot counts that is left for other tasks, where one that is used counts 1. */
const SPARE_SLOT_VALUE = 0.7;
/** Costs that differ by less are equal: the offer that was found first is kept. */
const COST_EPSILON = 1e-9;

/** What can be rented now. */
export interface Market {
  readonly machineTypes: readonly MachineType[];
  /** Keys of the offers that the cloud refused lately. */
  readonly refusedOffers: ReadonlySet<string>;
}

/** Tasks that a machine is sought for. */
export interface OfferRequest {
  readonly demand: Demand;
  /** How many of its tasks have no machine yet. */
  readonly taskCount: number;
  /** Some of them would be late: on-demand machines are candidates too, and slow boots count. */
  readonly hasLateTasks: boolean;
}

/** An offer with the type of its machine. */
export interface TypedOffer {
  readonly offer: Offer;
  readonly type: MachineType;
}

/** The offer that serves the tasks at the least cost for each; undefined if nothing suits them. */
export function findCheapestOffer(request: OfferRequest, market: Market): TypedOffer | undefined {
  let best: TypedOffer | undefined;
  let lowestCost = Infinity;
  for (const type of market.machineTypes) {
    if (!fits(request.demand.resources, machineResources(type))) continue;
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const offer = { machineType: type.name, zone, spot };
        if (!isCandidate(offer, request, market)) continue;
        const cost = costPerTask(type, spot, request);
        if (cost < lowestCost - COST_EPSILON) {
          lowestCost = cost;
          best = { offer, type };
        }
      }
    }
  }
  return best;
}

function isCandidate(
  offer: Offer,
  { demand, hasLateTasks }: OfferRequest,
  { refusedOffers }: Market,
): boolean {
  if (!isAllowed(demand, offer) || refusedOffers.has(offerKey(offer))) return false;
  return offer.spot || !demand.allowSpot || hasLateTasks;
}

function costPerTask(
  type: MachineType,
  spot: boolean,
  { demand, taskCount, hasLateTasks }: OfferRequest,
): number {
  const isSlow = hasLateTasks && type.bootSeconds * seconds(1) > demand.maxWait;
  const price = spot ? type.spotPrice : type.onDemandPrice;
  const slots = slotCount(machineResources(type), demand.resources);
  const value = Math.min(slots, taskCount) + SPARE_SLOT_VALUE * Math.max(0, slots - taskCount);
  return ((isSlow ? SLOW_BOOT_COST_FACTOR : 1) * price) / value;
}
