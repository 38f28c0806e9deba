/**
 * Machines that are kept, for one round, from the jobs that come later in the queue: for large tasks, since
 * small ones would fill each gap before it is wide enough, and for gangs, which need room for all at once.
 */
import { EPSILON, fits } from '../fleet/resources.js';
import { imageDelay, type MachineGroup, type MachineSlot } from './cluster-capacity.js';
import type { TaskRequest } from './types.js';

/** Claimed machines stand partly empty: of those that would suit, no more than this share. */
const MOST_CLAIMED = 0.5;

/** Keeps machines for so many tasks of a job that found no room. */
export function reserveSlots(
  request: TaskRequest,
  suited: readonly MachineGroup[],
  missing: number,
): void {
  let machines = 0;
  let claimed = 0;
  for (const kind of suited) {
    machines += kind.slots.length;
    claimed += kind.reservedSlots;
  }
  const most = Math.max(1, Math.floor(machines * MOST_CLAIMED));
  if (claimed >= most) return;
  const slots = request.isGang ? slotsForGang(request, suited) : slotsForLargeTask(request, suited);
  let left = missing;
  for (const slot of slots) {
    if (left <= 0 || claimed >= most) break;
    slot.reservation = request.rank < 0 ? 'firmly' : 'yes';
    slot.group.reservedSlots++;
    claimed++;
    left -= Math.max(
      1,
      Math.floor((slot.machine.capacity.cpus + EPSILON) / request.resources.cpus),
    );
  }
}

/** The freest machines that could ever hold the task, where it takes most of one. */
function slotsForLargeTask(request: TaskRequest, suited: readonly MachineGroup[]): MachineSlot[] {
  const slots: MachineSlot[] = [];
  for (const kind of suited) {
    if (request.resources.cpus * 2 < kind.capacity.cpus - EPSILON) continue;
    for (const s of kind.slots)
      if (s.reservation === 'no' && !fits(request.resources, s)) slots.push(s);
  }
  return slots.sort(freestFirst);
}

/** In the zone with most room, if all have to be in one: those that will have the image first. */
function slotsForGang(request: TaskRequest, suited: readonly MachineGroup[]): MachineSlot[] {
  const open = suited.flatMap((kind) => kind.slots.filter((s) => s.reservation === 'no'));
  const areas = request.singleZone ? [...byZone(open).values()] : [open];
  // Machines that could not hold all of it even if they were empty are of no use to it.
  const large = areas.filter((slots) => capacityOf(slots, request) >= request.taskCount);
  const [best = []] = large.sort((a, b) => freeCpus(b) - freeCpus(a));
  return best.sort((a, b) => imageDelay(request, a) - imageDelay(request, b) || freestFirst(a, b));
}

function byZone(slots: readonly MachineSlot[]): Map<string, MachineSlot[]> {
  const zones = new Map<string, MachineSlot[]>();
  for (const slot of slots) {
    const zone = zones.get(slot.machine.zone) ?? [];
    zone.push(slot);
    zones.set(slot.machine.zone, zone);
  }
  return zones;
}

/** How many tasks machines hold that run nothing else. */
const capacityOf = (slots: readonly MachineSlot[], { resources: size }: TaskRequest): number =>
  slots.reduce(
    (sum, { machine: machine }) => sum + Math.floor((machine.capacity.cpus + EPSILON) / size.cpus),
    0,
  );

const freeCpus = (slots: readonly MachineSlot[]): number =>
  slots.reduce((sum, { cpus }) => sum + cpus, 0);

const freestFirst = (a: MachineSlot, b: MachineSlot): number =>
  b.cpus - a.cpus || (a.machine.id < b.machine.id ? -1 : 1);
