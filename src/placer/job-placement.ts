/** Places the waiting tasks of one job: as many as capacity allows, or all or none of a gang. */
import { RESOURCE_TOLERANCE, fits, type Resources } from '../fleet/resources.js';
import {
  compareSlots,
  imageDelay,
  type ClusterCapacity,
  type MachineGroup,
  type MachineSlot,
} from './cluster-capacity.js';
import { inOrder } from './lazy-order.js';
import type { Assignment, RemainingQuota, TaskRequest } from './types.js';

/** Added to the score of a contested machine for unconstrained jobs, so that they use it last. */
const CONTESTED_PENALTY = 1000;

/** A job's waiting tasks and the machines that they may use. */
export interface EligibleRequest {
  readonly request: TaskRequest;
  readonly groups: readonly MachineGroup[];
  /** Whether the job may use only a small part of the cluster (`ClusterCapacity.isConstrained`). */
  readonly isConstrained: boolean;
}

interface Candidate {
  readonly slot: MachineSlot;
  /** Lower is better. Mainly the time until the image is on the machine (`imageDelay`). */
  readonly score: number;
}

/** What all placement attempts for one job share. */
interface PlacementContext {
  readonly request: TaskRequest;
  readonly capacity: ClusterCapacity;
  readonly quota: RemainingQuota | undefined;
}

/** Whether a team may start that many more tasks. An undefined `quota` means no limit. */
export const isWithinQuota = (
  quota: RemainingQuota | undefined,
  taskResources: Resources,
  tasks = 1,
): boolean =>
  !quota ||
  (taskResources.cpus * tasks <= quota.cpus + RESOURCE_TOLERANCE &&
    taskResources.gpus * tasks <= quota.gpus + RESOURCE_TOLERANCE);

/** The slots that can take a task of the job, in no particular order. */
function findCandidates({ request, groups, isConstrained }: EligibleRequest): Candidate[] {
  const candidates: Candidate[] = [];
  for (const group of groups) {
    if (request.resources.cpus > group.maxFreeCpus + RESOURCE_TOLERANCE) continue;
    const penalty =
      group.isContested && !isConstrained && !request.isUrgent ? CONTESTED_PENALTY : 0;
    for (const slot of group.openSlots) {
      if (slot.reservation === 'hard' || (slot.reservation === 'soft' && !request.mustStart))
        continue;
      if (!fits(request.resources, slot) || request.avoidedMachines.has(slot.machine.id)) continue;
      candidates.push({ slot, score: penalty + imageDelay(request, slot) });
    }
  }
  return candidates;
}

/** Orders candidates, best first. */
const compareCandidates = (a: Candidate, b: Candidate): number =>
  a.score - b.score || compareSlots(a.slot, b.slot);

/** Placements of tasks of one job, which can still be undone. */
class TentativePlacement {
  private readonly placed: {
    readonly index: number;
    readonly candidate: Candidate;
    readonly startsFetch: boolean;
  }[] = [];
  private readonly placedByZone: Map<string, number>;
  private readonly request: TaskRequest;
  private readonly capacity: ClusterCapacity;
  private readonly quota: RemainingQuota | undefined;
  private readonly candidates: Iterator<Candidate>;
  private candidate: Candidate | undefined;

  constructor(
    { request, capacity, quota }: PlacementContext,
    /** The machines that can take a task, best first. */
    candidates: Iterable<Candidate>,
    /** The zone that all tasks must be in, once one is known. */
    private zone: string | undefined,
  ) {
    this.request = request;
    this.capacity = capacity;
    this.quota = quota;
    this.placedByZone = new Map(request.placedByZone);
    this.candidates = candidates[Symbol.iterator]();
    this.advance();
  }

  get placedCount(): number {
    return this.placed.length;
  }

  /** Places one more task. Returns false if no machine can take it or the team's quota is exhausted. */
  add(index: number): boolean {
    if (!isWithinQuota(this.quota, this.request.resources)) return false;
    // The best machine stays the best until it is full, so earlier candidates need not be searched again.
    while (this.candidate && !this.isAvailable(this.candidate.slot)) this.advance();
    if (!this.candidate) return false;
    this.allocate(index, this.candidate);
    return true;
  }

  private advance(): void {
    const next = this.candidates.next();
    this.candidate = next.done ? undefined : next.value;
  }

  private isAvailable(slot: MachineSlot): boolean {
    const { request } = this;
    const { zone } = slot.machine;
    if (!fits(request.resources, slot)) return false;
    if (request.singleZone && this.zone !== undefined && zone !== this.zone) return false;
    if ((this.placedByZone.get(zone) ?? 0) >= request.maxPerZone) return false;
    // Reserves and reservations may delay a job but must not starve it.
    if (request.mustStart && (request.isGang || this.placedCount === 0)) return true;
    return (
      slot.reservation === 'none' &&
      (request.isUrgent || this.capacity.leavesReserve(slot, request))
    );
  }

  private allocate(index: number, candidate: Candidate): void {
    const { request, quota } = this;
    const { slot } = candidate;
    const { zone } = slot.machine;
    this.capacity.allocate(slot, request, 1);
    const startsFetch =
      !slot.machine.hasImage(request.image) && !slot.pendingImages.has(request.image);
    if (startsFetch) slot.pendingImages = new Set([...slot.pendingImages, request.image]);
    if (quota) {
      quota.cpus -= request.resources.cpus;
      quota.gpus -= request.resources.gpus;
    }
    if (request.singleZone) this.zone = zone;
    this.placedByZone.set(zone, (this.placedByZone.get(zone) ?? 0) + 1);
    this.placed.push({ index, candidate, startsFetch });
  }

  /** Releases everything that was allocated. Only `cost` stays valid after that. */
  undo(): void {
    const { request, quota } = this;
    for (const { candidate, startsFetch } of this.placed) {
      const { slot } = candidate;
      this.capacity.allocate(slot, request, -1);
      if (startsFetch)
        slot.pendingImages = new Set(
          [...slot.pendingImages].filter((image) => image !== request.image),
        );
      if (!quota) continue;
      quota.cpus += request.resources.cpus;
      quota.gpus += request.resources.gpus;
    }
  }

  /** The worst score, since the slowest fetch determines when a gang starts; the sum of all scores breaks ties. */
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

/** Places up to `maxTasks` tasks of an array, or all tasks of a gang regardless of `maxTasks`. */
export function placeJob(
  eligible: EligibleRequest,
  capacity: ClusterCapacity,
  quota: RemainingQuota | undefined,
  maxTasks: number,
): Assignment[] {
  const candidates = findCandidates(eligible);
  if (candidates.length === 0) return [];
  const { request } = eligible;
  const context = { request, capacity, quota };
  if (request.isGang) return placeGang(context, candidates.sort(compareCandidates));
  const ordered = inOrder(candidates, compareCandidates);
  const placement = new TentativePlacement(context, ordered, request.boundZone);
  for (const index of request.waitingIndexes) {
    if (placement.placedCount >= maxTasks || !placement.add(index)) break;
  }
  return placement.assignments();
}

/** Places all tasks or none, since part of a gang would only occupy capacity that other jobs could use. */
function placeGang(context: PlacementContext, candidates: readonly Candidate[]): Assignment[] {
  const { request, quota } = context;
  const indexes = [...request.waitingIndexes];
  if (indexes.length === 0 || indexes.length < request.taskCount) return [];
  if (!isWithinQuota(quota, request.resources, indexes.length)) return [];
  let zone = request.boundZone;
  if (request.singleZone && zone === undefined) {
    zone = findSoonestZone(context, candidates, indexes);
    if (zone === undefined) return [];
  }
  return tryPlaceGang(context, candidates, indexes, zone)?.assignments() ?? [];
}

/** Returns the zone in which the gang would start soonest; undefined if no zone can hold all of it. */
function findSoonestZone(
  context: PlacementContext,
  candidates: readonly Candidate[],
  indexes: readonly number[],
): string | undefined {
  let best: { readonly zone: string; readonly cost: number } | undefined;
  for (const zone of new Set(candidates.map(({ slot }) => slot.machine.zone))) {
    const placement = tryPlaceGang(context, candidates, indexes, zone);
    if (!placement) continue;
    placement.undo();
    if (!best || placement.cost < best.cost) best = { zone, cost: placement.cost };
  }
  return best?.zone;
}

/** Places all tasks, in `zone` if it is given. Returns undefined, with nothing allocated, if not all can be placed. */
function tryPlaceGang(
  context: PlacementContext,
  candidates: readonly Candidate[],
  indexes: readonly number[],
  zone: string | undefined,
): TentativePlacement | undefined {
  const inZone = candidates.filter(({ slot }) => zone === undefined || slot.machine.zone === zone);
  const placement = new TentativePlacement(context, inZone, zone);
  if (indexes.every((index) => placement.add(index))) return placement;
  placement.undo();
  return undefined;
}
