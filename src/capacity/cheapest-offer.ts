/** Chooses the offer from which to rent a machine for a task: the one with the lowest cost. */
import { fits, machineResources } from '../fleet/resources.js';
import { isMachineAllowed } from '../placer/placer.js';
import { seconds } from '../units/index.js';
import type { MachineType } from '../wire/index.js';
import { countTaskSlots } from './bin-packing.js';
import { offerKey, type Demand, type Offer } from './types.js';

/** Multiplies the cost of a machine that boots too slowly for tasks that would be late. */
const SLOW_BOOT_COST_FACTOR = 4;
/** The value of a slot that is left for other tasks, relative to a used slot, which counts 1. */
const SPARE_SLOT_VALUE = 0.7;
/** Costs that differ by less than this are equal, and the offer that was found first is kept. */
const COST_EPSILON = 1e-9;

/** The offers that can be rented now. */
export interface Market {
  readonly machineTypes: readonly MachineType[];
  /** Keys of the offers that the cloud recently refused. */
  readonly refusedOffers: ReadonlySet<string>;
}

/** Tasks that need another machine. */
export interface OfferRequest {
  readonly demand: Demand;
  /** How many tasks of the demand have no machine yet. */
  readonly taskCount: number;
  /** Whether some of them would be late: on-demand machines are then candidates too, and slow boots cost more. */
  readonly hasLateTasks: boolean;
}

/** An offer and its machine type. */
export interface TypedOffer {
  readonly offer: Offer;
  readonly type: MachineType;
}

/** Returns the offer with the lowest cost per task; undefined if no offer suits the tasks. */
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
  if (!isMachineAllowed(demand, offer) || refusedOffers.has(offerKey(offer))) return false;
  return offer.spot || !demand.allowSpot || hasLateTasks;
}

function costPerTask(
  type: MachineType,
  spot: boolean,
  { demand, taskCount, hasLateTasks }: OfferRequest,
): number {
  const isSlow = hasLateTasks && type.bootSeconds * seconds(1) > demand.maxWait;
  const price = spot ? type.spotPrice : type.onDemandPrice;
  const slots = countTaskSlots(machineResources(type), demand.resources);
  const value = Math.min(slots, taskCount) + SPARE_SLOT_VALUE * Math.max(0, slots - taskCount);
  return ((isSlow ? SLOW_BOOT_COST_FACTOR : 1) * price) / value;
}
