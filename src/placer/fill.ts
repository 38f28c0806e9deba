/** Puts the waiting tasks of one job onto machines: as many as find room, or all of a gang. */
import { EPS, fits, type Size } from '../fleet/size.js';
import { better, delay, type Kind, type Room, type Slot } from './room.js';
import type { Assignment, TeamRoom, Want } from './types.js';

/** What others can't do without is taken last by those who can go elsewhere: as if it were so many seconds off. */
const CONTESTED_PENALTY = 1000;

interface Candidate {
  readonly slot: Slot;
  /** The less the better: mainly the seconds until the image is there. */
  readonly score: number;
}

/** Whether so many more tasks leave their team within its limit. */
export const isUnder = (team: TeamRoom | undefined, size: Size, tasks = 1): boolean =>
  !team || (size.cpus * tasks <= team.cpus + EPS && size.gpus * tasks <= team.gpus + EPS);

function candidatesFor(want: Want, bound: boolean, suited: readonly Kind[]): Candidate[] {
  const candidates: Candidate[] = [];
  for (const kind of suited) {
    const penalty = kind.contested && !bound && !want.urgent ? CONTESTED_PENALTY : 0;
    for (const slot of kind.open) {
      if (slot.claimed === 'firmly' || (slot.claimed === 'yes' && !want.mustBegin)) continue;
      if (!fits(want.size, slot) || want.avoid.has(slot.host.id)) continue;
      candidates.push({ slot, score: penalty + delay(want, slot) });
    }
  }
  return candidates.sort((a, b) => a.score - b.score || better(a.slot, b.slot));
}

/** Placements of one job that can still be taken back. */
class Filling {
  private readonly taken: { index: number; candidate: Candidate; fetches: boolean }[] = [];
  private readonly inZone: Map<string, number>;
  private next = 0;

  constructor(
    private readonly want: Want,
    private readonly candidates: readonly Candidate[],
    private readonly room: Room,
    private readonly team: TeamRoom | undefined,
    /** The zone that all tasks must be in, once one is known. */
    private zone: string | undefined,
  ) {
    this.inZone = new Map(want.inZone);
  }

  get size(): number {
    return this.taken.length;
  }

  /** Places one more task; false if no machine has room for it. */
  add(index: number): boolean {
    // A task that would take its team over the limit must not start, whatever is free.
    if (!isUnder(this.team, this.want.size)) return false;
    // A machine once taken is the best until it is full, so the search only ever goes on.
    for (; this.next < this.candidates.length; this.next++) {
      const candidate = this.candidates[this.next];
      if (!candidate || !this.mayTake(candidate.slot)) continue;
      this.take(index, candidate);
      return true;
    }
    return false;
  }

  private mayTake(slot: Slot): boolean {
    const { want } = this;
    const { zone } = slot.host;
    if (!fits(want.size, slot)) return false;
    if (want.together && this.zone !== undefined && zone !== this.zone) return false;
    if ((this.inZone.get(zone) ?? 0) >= want.perZone) return false;
    // Room is kept from what comes later, but not for so long that a job can't begin beside it.
    if (want.mustBegin && (want.whole || this.size === 0)) return true;
    return slot.claimed === 'no' && (want.urgent || this.room.spare(slot, want));
  }

  private take(index: number, candidate: Candidate): void {
    const { want } = this;
    const { slot } = candidate;
    this.room.take(slot, want, 1);
    const fetches = !slot.host.holds(want.image) && !slot.coming.has(want.image);
    if (fetches) slot.coming = new Set([...slot.coming, want.image]);
    if (this.team) {
      this.team.cpus -= want.size.cpus;
      this.team.gpus -= want.size.gpus;
    }
    if (want.together) this.zone = slot.host.zone;
    this.inZone.set(slot.host.zone, (this.inZone.get(slot.host.zone) ?? 0) + 1);
    this.taken.push({ index, candidate, fetches });
  }

  undo(): void {
    const { want } = this;
    for (const { candidate, fetches } of this.taken) {
      const { slot } = candidate;
      this.room.take(slot, want, -1);
      if (fetches) slot.coming = new Set([...slot.coming].filter((i) => i !== want.image));
      if (!this.team) continue;
      this.team.cpus += want.size.cpus;
      this.team.gpus += want.size.gpus;
    }
  }

  /** The slowest fetch decides when a gang starts; among equals, all of them count. */
  get cost(): number {
    let worst = 0;
    let sum = 0;
    for (const { candidate } of this.taken) {
      worst = Math.max(worst, candidate.score);
      sum += candidate.score;
    }
    return worst + sum / (1 + this.taken.length * CONTESTED_PENALTY * CONTESTED_PENALTY);
  }

  assignments(): Assignment[] {
    return this.taken.map(({ index, candidate }) => ({
      job: this.want.id,
      index,
      machine: candidate.slot.host.id,
    }));
  }
}

/** Places up to `most` tasks of an array, or all of a gang whatever its size. */
export function fill(
  want: Want,
  bound: boolean,
  suited: readonly Kind[],
  room: Room,
  team: TeamRoom | undefined,
  most: number,
): Assignment[] {
  const candidates = candidatesFor(want, bound, suited);
  if (candidates.length === 0) return [];
  if (want.whole) return fillGang(want, candidates, room, team);
  const filling = new Filling(want, candidates, room, team, want.zone);
  for (const index of want.indexes) {
    if (filling.size >= most || !filling.add(index)) break;
  }
  return filling.assignments();
}

/** All tasks or none: a part of a gang would only hold room that others could use. */
function fillGang(
  want: Want,
  candidates: readonly Candidate[],
  room: Room,
  team: TeamRoom | undefined,
): Assignment[] {
  const indexes = [...want.indexes];
  if (indexes.length === 0 || indexes.length < want.count) return [];
  if (!isUnder(team, want.size, indexes.length)) return [];
  const attempt = (zone: string | undefined): Filling | undefined => {
    const within = candidates.filter((c) => zone === undefined || c.slot.host.zone === zone);
    const filling = new Filling(want, within, room, team, zone);
    if (indexes.every((index) => filling.add(index))) return filling;
    filling.undo();
    return undefined;
  };
  if (!want.together || want.zone !== undefined) return attempt(want.zone)?.assignments() ?? [];
  const zones = new Set(candidates.map((c) => c.slot.host.zone));
  let best: { zone: string; cost: number } | undefined;
  for (const zone of zones) {
    const filling = attempt(zone);
    if (!filling) continue;
    filling.undo();
    if (!best || filling.cost < best.cost) best = { zone, cost: filling.cost };
  }
  return best ? (attempt(best.zone)?.assignments() ?? []) : [];
}
