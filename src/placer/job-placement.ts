/** Puts the waiting tasks of one job onto machines: as many as find room, or all of a gang. */
import { EPSILON, fits, type Resources } from '../fleet/resources.js';
import {
  compareSlots,
  imageDelay,
  type MachineGroup,
  type ClusterCapacity,
  type MachineSlot,
} from './cluster-capacity.js';
import type { Assignment, RemainingQuota, TaskRequest } from './types.js';

/** What others can't do without is taken last by those who can go elsewhere: as if it were so many seconds off. */
const CONTESTED_PENALTY = 1000;

interface Candidate {
  readonly slot: MachineSlot;
  /** The less the better: mainly the seconds until the image is there. */
  readonly score: number;
}

/** Whether so many more tasks leave their team within its limit. */
export const isWithinQuota = (
  team: RemainingQuota | undefined,
  size: Resources,
  tasks = 1,
): boolean =>
  !team || (size.cpus * tasks <= team.cpus + EPSILON && size.gpus * tasks <= team.gpus + EPSILON);

function candidatesFor(
  request: TaskRequest,
  bound: boolean,
  suited: readonly MachineGroup[],
): Candidate[] {
  const candidates: Candidate[] = [];
  for (const kind of suited) {
    const penalty = kind.isContested && !bound && !request.isUrgent ? CONTESTED_PENALTY : 0;
    for (const slot of kind.openSlots) {
      if (slot.reservation === 'firmly' || (slot.reservation === 'yes' && !request.mustStart))
        continue;
      if (!fits(request.resources, slot) || request.avoidedMachines.has(slot.machine.id)) continue;
      candidates.push({ slot, score: penalty + imageDelay(request, slot) });
    }
  }
  return candidates.sort((a, b) => a.score - b.score || compareSlots(a.slot, b.slot));
}

/** Placements of one job that can still be taken back. */
class TentativePlacement {
  private readonly placed: { index: number; candidate: Candidate; fetches: boolean }[] = [];
  private readonly placedByZone: Map<string, number>;
  private nextCandidate = 0;

  constructor(
    private readonly request: TaskRequest,
    private readonly candidates: readonly Candidate[],
    private readonly room: ClusterCapacity,
    private readonly team: RemainingQuota | undefined,
    /** The zone that all tasks must be in, once one is known. */
    private zone: string | undefined,
  ) {
    this.placedByZone = new Map(request.placedByZone);
  }

  get size(): number {
    return this.placed.length;
  }

  /** Places one more task; false if no machine has room for it. */
  add(index: number): boolean {
    // A task that would take its team over the limit must not start, whatever is free.
    if (!isWithinQuota(this.team, this.request.resources)) return false;
    // A machine once taken is the best until it is full, so the search only ever goes on.
    for (; this.nextCandidate < this.candidates.length; this.nextCandidate++) {
      const candidate = this.candidates[this.nextCandidate];
      if (!candidate || !this.isAvailable(candidate.slot)) continue;
      this.allocate(index, candidate);
      return true;
    }
    return false;
  }

  private isAvailable(slot: MachineSlot): boolean {
    const { request } = this;
    const { zone } = slot.machine;
    if (!fits(request.resources, slot)) return false;
    if (request.singleZone && this.zone !== undefined && zone !== this.zone) return false;
    if ((this.placedByZone.get(zone) ?? 0) >= request.maxPerZone) return false;
    // Room is kept from what comes later, but not for so long that a job can't begin beside it.
    if (request.mustStart && (request.isGang || this.size === 0)) return true;
    return (
      slot.reservation === 'no' && (request.isUrgent || this.room.leavesReserve(slot, request))
    );
  }

  private allocate(index: number, candidate: Candidate): void {
    const { request } = this;
    const { slot } = candidate;
    this.room.allocate(slot, request, 1);
    const fetches = !slot.machine.hasImage(request.image) && !slot.pendingImages.has(request.image);
    if (fetches) slot.pendingImages = new Set([...slot.pendingImages, request.image]);
    if (this.team) {
      this.team.cpus -= request.resources.cpus;
      this.team.gpus -= request.resources.gpus;
    }
    if (request.singleZone) this.zone = slot.machine.zone;
    this.placedByZone.set(slot.machine.zone, (this.placedByZone.get(slot.machine.zone) ?? 0) + 1);
    this.placed.push({ index, candidate, fetches });
  }

  undo(): void {
    const { request } = this;
    for (const { candidate, fetches } of this.placed) {
      const { slot } = candidate;
      this.room.allocate(slot, request, -1);
      if (fetches)
        slot.pendingImages = new Set([...slot.pendingImages].filter((i) => i !== request.image));
      if (!this.team) continue;
      this.team.cpus += request.resources.cpus;
      this.team.gpus += request.resources.gpus;
    }
  }

  /** The slowest fetch decides when a gang starts; among equals, all of them count. */
  get cost(): number {
    let worst = 0;
    let sum = 0;
    for (const { candidate } of this.placed) {
      worst = Math.max(worst, candidate.score);
      sum += candidate.score;
    }
    return worst + sum / (1 + this.placed.length * CONTESTED_PENALTY * CONTESTED_PENALTY);
  }

  assignments(): Assignment[] {
    return this.placed.map(({ index, candidate }) => ({
      job: this.request.id,
      index,
      machine: candidate.slot.machine.id,
    }));
  }
}

/** Places up to `most` tasks of an array, or all of a gang whatever its size. */
export function placeJob(
  request: TaskRequest,
  bound: boolean,
  suited: readonly MachineGroup[],
  room: ClusterCapacity,
  team: RemainingQuota | undefined,
  most: number,
): Assignment[] {
  const candidates = candidatesFor(request, bound, suited);
  if (candidates.length === 0) return [];
  if (request.isGang) return placeGang(request, candidates, room, team);
  const filling = new TentativePlacement(request, candidates, room, team, request.boundZone);
  for (const index of request.waitingIndexes) {
    if (filling.size >= most || !filling.add(index)) break;
  }
  return filling.assignments();
}

/** All tasks or none: a part of a gang would only hold room that others could use. */
function placeGang(
  request: TaskRequest,
  candidates: readonly Candidate[],
  room: ClusterCapacity,
  team: RemainingQuota | undefined,
): Assignment[] {
  const indexes = [...request.waitingIndexes];
  if (indexes.length === 0 || indexes.length < request.taskCount) return [];
  if (!isWithinQuota(team, request.resources, indexes.length)) return [];
  const attempt = (zone: string | undefined): TentativePlacement | undefined => {
    const within = candidates.filter((c) => zone === undefined || c.slot.machine.zone === zone);
    const filling = new TentativePlacement(request, within, room, team, zone);
    if (indexes.every((index) => filling.add(index))) return filling;
    filling.undo();
    return undefined;
  };
  if (!request.singleZone || request.boundZone !== undefined)
    return attempt(request.boundZone)?.assignments() ?? [];
  const zones = new Set(candidates.map((c) => c.slot.machine.zone));
  let best: { zone: string; cost: number } | undefined;
  for (const zone of zones) {
    const filling = attempt(zone);
    if (!filling) continue;
    filling.undo();
    if (!best || filling.cost < best.cost) best = { zone, cost: filling.cost };
  }
  return best ? (attempt(best.zone)?.assignments() ?? []) : [];
}
