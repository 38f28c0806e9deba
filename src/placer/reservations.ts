/**
 * Reserves machines, for one placing round, against the jobs that come later in the queue: for large tasks, since
 * small ones would fill each gap before it is wide enough, and for gangs, which need capacity for all tasks at once.
 */
import { RESOURCE_TOLERANCE, fits } from '../fleet/resources.js';
import {
  compareByFreeCpus,
  imageDelay,
  type MachineGroup,
  type MachineSlot,
} from './cluster-capacity.js';
import type { TaskRequest } from './types.js';

/** Reserved machines stand partly empty: of those that a job may use, no more than this share is reserved. */
const MAX_RESERVED_MACHINE_SHARE = 0.5;

/** Reserves machines for so many tasks of a job that could not be placed, within the groups that it may use. */
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

/** If a task takes at least half of a machine: those that are too full for it now, the least full first. */
function slotsForLargeTask(request: TaskRequest, groups: readonly MachineGroup[]): MachineSlot[] {
  const slots: MachineSlot[] = [];
  for (const group of groups) {
    if (request.resources.cpus * 2 < group.capacity.cpus - RESOURCE_TOLERANCE) continue;
    for (const slot of group.slots)
      if (slot.reservation === 'none' && !fits(request.resources, slot)) slots.push(slot);
  }
  return slots.sort(compareByFreeCpus);
}

/** In the zone with most free processors, if all must be in one: machines that will have the image first. */
function slotsForGang(request: TaskRequest, groups: readonly MachineGroup[]): MachineSlot[] {
  const unreserved = groups.flatMap((group) =>
    group.slots.filter((slot) => slot.reservation === 'none'),
  );
  const slotSets = request.singleZone ? [...slotsByZone(unreserved).values()] : [unreserved];
  // Machines that could not hold the whole gang even if they were empty are of no use to it.
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

/** How many tasks of the job the machine can hold, by processors, while it runs nothing else. */
const tasksPerEmptyMachine = ({ machine }: MachineSlot, { resources }: TaskRequest): number =>
  Math.floor((machine.capacity.cpus + RESOURCE_TOLERANCE) / resources.cpus);

const taskCapacity = (slots: readonly MachineSlot[], request: TaskRequest): number =>
  slots.reduce((sum, slot) => sum + tasksPerEmptyMachine(slot, request), 0);

const freeCpus = (slots: readonly MachineSlot[]): number =>
  slots.reduce((sum, { cpus }) => sum + cpus, 0);
