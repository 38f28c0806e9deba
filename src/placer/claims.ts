/**
 * Machines that are kept, for one round, from the jobs that come later in the queue: for large tasks, since
 * small ones would fill each gap before it is wide enough, and for gangs, which need room for all at once.
 */
import { EPS, fits } from '../fleet/size.js';
import { delay, type Kind, type Slot } from './room.js';
import type { Want } from './types.js';

/** Claimed machines stand partly empty: of those that would suit, no more than this share. */
const MOST_CLAIMED = 0.5;

/** Keeps machines for so many tasks of a job that found no room. */
export function claim(want: Want, suited: readonly Kind[], missing: number): void {
  let machines = 0;
  let claimed = 0;
  for (const kind of suited) {
    machines += kind.slots.length;
    claimed += kind.claims;
  }
  const most = Math.max(1, Math.floor(machines * MOST_CLAIMED));
  if (claimed >= most) return;
  const slots = want.whole ? slotsForGang(want, suited) : slotsForLargeTask(want, suited);
  let left = missing;
  for (const slot of slots) {
    if (left <= 0 || claimed >= most) break;
    slot.claimed = want.rank < 0 ? 'firmly' : 'yes';
    slot.kind.claims++;
    claimed++;
    left -= Math.max(1, Math.floor((slot.host.total.cpus + EPS) / want.size.cpus));
  }
}

/** The freest machines that could ever hold the task, where it takes most of one. */
function slotsForLargeTask(want: Want, suited: readonly Kind[]): Slot[] {
  const slots: Slot[] = [];
  for (const kind of suited) {
    if (want.size.cpus * 2 < kind.total.cpus - EPS) continue;
    for (const s of kind.slots) if (s.claimed === 'no' && !fits(want.size, s)) slots.push(s);
  }
  return slots.sort(freestFirst);
}

/** In the zone with most room, if all have to be in one: those that will have the image first. */
function slotsForGang(want: Want, suited: readonly Kind[]): Slot[] {
  const open = suited.flatMap((kind) => kind.slots.filter((s) => s.claimed === 'no'));
  const areas = want.together ? [...byZone(open).values()] : [open];
  // Machines that could not hold all of it even if they were empty are of no use to it.
  const large = areas.filter((slots) => capacityOf(slots, want) >= want.count);
  const [best = []] = large.sort((a, b) => freeCpus(b) - freeCpus(a));
  return best.sort((a, b) => delay(want, a) - delay(want, b) || freestFirst(a, b));
}

function byZone(slots: readonly Slot[]): Map<string, Slot[]> {
  const zones = new Map<string, Slot[]>();
  for (const slot of slots) {
    const zone = zones.get(slot.host.zone) ?? [];
    zone.push(slot);
    zones.set(slot.host.zone, zone);
  }
  return zones;
}

/** How many tasks machines hold that run nothing else. */
const capacityOf = (slots: readonly Slot[], { size }: Want): number =>
  slots.reduce((sum, { host }) => sum + Math.floor((host.total.cpus + EPS) / size.cpus), 0);

const freeCpus = (slots: readonly Slot[]): number => slots.reduce((sum, { cpus }) => sum + cpus, 0);

const freestFirst = (a: Slot, b: Slot): number =>
  b.cpus - a.cpus || (a.host.id < b.host.id ? -1 : 1);
