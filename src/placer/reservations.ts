/**
 * Reserves machines for one placement round, so that jobs later in the queue can't use them. Large tasks need this
 * because small ones would fill each gap before it is large enough, and gangs because they need capacity for all
 * tasks at once.
 */
import { RESOURCE_TOLERANCE, fits } from '../fleet/resources.js';
import {
  compareByFreeCpus,
  imageDelay,
  type MachineGroup,
  type MachineSlot,
} from './cluster-capacity.js';
import { inOrder } from './lazy-order.js';
import type { TaskRequest } from './types.js';

/** At most this share of the machines that a job may use is reserved, since reserved machines stay partly empty. */
const MAX_RESERVED_MACHINE_SHARE = 0.5;

/** Reserves machines for the unplaced tasks of a job, within the groups that it may use. */
export function reserveSlots(
  request: TaskRequest,
  groups: readonly MachineGroup[],
  unplacedTasks: number,
): void {
  let machines = 0;
  let reserved = 0;
  for (const group of groups) {
    machines += group.slots.length;
    reserved += group.reservedCount;
  }
  const maxReserved = Math.max(1, Math.floor(machines * MAX_RESERVED_MACHINE_SHARE));
  if (reserved >= maxReserved) return;
  const slots = request.isGang ? slotsForGang(request, groups) : slotsForLargeTask(request, groups);
  let tasksLeft = unplacedTasks;
  for (const slot of slots) {
    if (tasksLeft <= 0 || reserved >= maxReserved) break;
    slot.reservation = request.rank < 0 ? 'hard' : 'soft';
    slot.group.reservedCount++;
    reserved++;
    tasksLeft -= Math.max(1, tasksPerEmptyMachine(slot, request));
  }
}

/** Machines that are too full for the task now, least full first, if a task takes at least half of a machine. */
function slotsForLargeTask(
  request: TaskRequest,
  groups: readonly MachineGroup[],
): Iterable<MachineSlot> {
  const slots: MachineSlot[] = [];
  for (const group of groups) {
    if (request.resources.cpus * 2 < group.capacity.cpus - RESOURCE_TOLERANCE) continue;
    for (const slot of group.slots)
      if (slot.reservation === 'none' && !fits(request.resources, slot)) slots.push(slot);
  }
  return inOrder(slots, compareByFreeCpus);
}

/**
 * Machines that could hold the whole gang, ordered by when they will have the image. If all tasks must be in one
 * zone, the machines of the zone with the most free CPUs.
 */
function slotsForGang(request: TaskRequest, groups: readonly MachineGroup[]): MachineSlot[] {
  const unreserved = groups.flatMap((group) =>
    group.slots.filter((slot) => slot.reservation === 'none'),
  );
  const slotSets = request.singleZone ? [...slotsByZone(unreserved).values()] : [unreserved];
  // Machines that could not hold the whole gang even when empty are not worth reserving.
  const largeEnough = slotSets.filter((slots) => taskCapacity(slots, request) >= request.taskCount);
  const [best = []] = largeEnough.sort((a, b) => freeCpus(b) - freeCpus(a));
  return best.sort(
    (a, b) => imageDelay(request, a) - imageDelay(request, b) || compareByFreeCpus(a, b),
  );
}

function slotsByZone(slots: readonly MachineSlot[]): Map<string, MachineSlot[]> {
  const zones = new Map<string, MachineSlot[]>();
  for (const slot of slots) {
    const inZone = zones.get(slot.machine.zone) ?? [];
    inZone.push(slot);
    zones.set(slot.machine.zone, inZone);
  }
  return zones;
}

/** How many tasks of the job the machine can hold, by CPUs, while it runs nothing else. */
const tasksPerEmptyMachine = ({ machine }: MachineSlot, { resources }: TaskRequest): number =>
  Math.floor((machine.capacity.cpus + RESOURCE_TOLERANCE) / resources.cpus);

const taskCapacity = (slots: readonly MachineSlot[], request: TaskRequest): number =>
  slots.reduce((sum, slot) => sum + tasksPerEmptyMachine(slot, request), 0);

const freeCpus = (slots: readonly MachineSlot[]): number =>
  slots.reduce((sum, { cpus }) => sum + cpus, 0);
