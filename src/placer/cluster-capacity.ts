/** The machines as the placements of one round leave them, and in what order a job prefers them. */
import { EPSILON, fits, type Resources } from '../fleet/resources.js';
import type { CandidateMachine, ImageReserve, TaskRequest } from './types.js';

export interface MachineSlot {
  readonly machine: CandidateMachine;
  readonly group: MachineGroup;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Images under way to it: the machine's own, until one is added. */
  pendingImages: ReadonlySet<string>;
  /** Kept by a large task that comes before; firmly, if that one was passed over for long itself. */
  reservation: 'no' | 'yes' | 'firmly';
}

/** Machines that are alike to a job that asks whether it may run there. */
export interface MachineGroup {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  readonly slots: MachineSlot[];
  /** Those of its machines with room for the smallest task that waits: all that a search need look at. */
  openSlots: MachineSlot[];
  /** How many of its machines are claimed. */
  reservedSlots: number;
  /** Something that fits nowhere else wants it. */
  isContested: boolean;
}

/** Prices of one kind move by up to a third each way; only a larger difference is one of kind. */
const PRICE_RATIO = 1.8;
/** A job that may use less than this share of the fleet's processors is bound to what it may use. */
const BOUND_SHARE = 0.75;

export function isAllowed(
  request: Pick<TaskRequest, 'machineTypes' | 'requiredZone' | 'allowSpot'>,
  machine: Pick<CandidateMachine, 'machineType' | 'zone' | 'spot'>,
): boolean {
  return (
    (request.machineTypes === null || request.machineTypes.includes(machine.machineType)) &&
    (request.requiredZone === null || request.requiredZone === machine.zone) &&
    (request.allowSpot || !machine.spot)
  );
}

/** Seconds until the image would be there; machines within the same few seconds count alike. */
export function imageDelay(request: TaskRequest, slot: MachineSlot): number {
  if (slot.machine.hasImage(request.image)) return 0;
  if (slot.pendingImages.has(request.image)) return 1;
  const s = (request.imageGb / slot.machine.fetchGbPerSecond) * (1 + slot.pendingImages.size);
  return 1 + Math.ceil(s / 2);
}

/** The machines as the placements of this round leave them. */
export class ClusterCapacity {
  readonly groups: MachineGroup[];
  private readonly totalCpus: number;
  private readonly smallestCpus: number;
  private readonly freeByImage = new Map<string, number>();

  constructor(
    machines: readonly CandidateMachine[],
    private readonly reserve: ImageReserve,
    /** No task that is to be placed takes fewer processors. */
    leastCpus: number,
  ) {
    const kinds = new Map<string, MachineGroup>();
    let cpus = 0;
    // The large machines keep no room: what only they can run would pay for it.
    let smallest = Infinity;
    for (const machine of machines) {
      cpus += machine.capacity.cpus;
      smallest = Math.min(smallest, machine.capacity.cpus);
      const key = `${machine.machineType}|${machine.zone}|${machine.spot}|${machine.capacity.cpus}`;
      let kind = kinds.get(key);
      if (!kind) {
        const { machineType: type, zone, spot, capacity: total } = machine;
        kind = {
          machineType: type,
          zone,
          spot,
          capacity: total,
          slots: [],
          openSlots: [],
          reservedSlots: 0,
          isContested: false,
        };
        kinds.set(key, kind);
      }
      const { cpus: free, gpus, memoryGb: ramGb } = machine.free;
      const coming = machine.imagesBeingFetched;
      const slot: MachineSlot = {
        machine: machine,
        group: kind,
        cpus: free,
        gpus,
        memoryGb: ramGb,
        pendingImages: coming,
        reservation: 'no',
      };
      kind.slots.push(slot);
      if (free >= leastCpus - EPSILON) kind.openSlots.push(slot);
    }
    this.groups = [...kinds.values()];
    this.totalCpus = cpus;
    this.smallestCpus = smallest;
    const small = this.groups.filter((k) => k.capacity.cpus === smallest);
    for (const image of reserve.keys()) {
      let free = 0;
      for (const k of small) for (const s of k.slots) if (s.machine.hasImage(image)) free += s.cpus;
      this.freeByImage.set(image, free);
    }
  }

  /** The kinds that a job may use and that a task of it fits. */
  eligibleGroups(request: TaskRequest): MachineGroup[] {
    return this.groups.filter((k) => isAllowed(request, k) && fits(request.resources, k.capacity));
  }

  /** Whether so much of the fleet is closed to a job that it can't go elsewhere. */
  isBound(suited: readonly MachineGroup[]): boolean {
    let cpus = 0;
    for (const k of suited) cpus += k.slots.length * k.capacity.cpus;
    return cpus < this.totalCpus * BOUND_SHARE;
  }

  private countsTowardsReserve(s: MachineSlot, image: string): boolean {
    return s.machine.capacity.cpus === this.smallestCpus && s.machine.hasImage(image);
  }

  /** Whether a task may take room there without what is kept for others. */
  leavesReserve(slot: MachineSlot, request: TaskRequest): boolean {
    const { cpus } = request.resources;
    for (const [image, kept] of this.reserve) {
      if (request.usesReserve && image === request.image) continue;
      if (
        this.countsTowardsReserve(slot, image) &&
        (this.freeByImage.get(image) ?? 0) - cpus < kept
      )
        return false;
    }
    return true;
  }

  /** Takes room for so many tasks of a size; fewer than none gives it back. */
  allocate(slot: MachineSlot, request: TaskRequest, tasks: number): void {
    const { cpus, gpus, memoryGb: ramGb } = request.resources;
    slot.cpus -= cpus * tasks;
    slot.gpus -= gpus * tasks;
    slot.memoryGb -= ramGb * tasks;
    for (const image of this.reserve.keys()) {
      if (!this.countsTowardsReserve(slot, image)) continue;
      this.freeByImage.set(image, (this.freeByImage.get(image) ?? 0) - cpus * tasks);
    }
  }
}

/**
 * Among equals: the cheaper kind, so that dear machines empty and can be given back; the smaller
 * type, so that the large ones stay whole for large tasks; then the freest.
 */
export function compareSlots(a: MachineSlot, b: MachineSlot): number {
  const dearer = a.machine.pricePerCpu / b.machine.pricePerCpu;
  if (dearer > PRICE_RATIO || dearer < 1 / PRICE_RATIO) return dearer - 1;
  if (a.machine.capacity.cpus !== b.machine.capacity.cpus)
    return a.machine.capacity.cpus - b.machine.capacity.cpus;
  if (a.cpus !== b.cpus) return b.cpus - a.cpus;
  return a.machine.id < b.machine.id ? -1 : 1;
}
