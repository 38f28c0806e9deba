/** Tracks the free capacity of machines during one placement round and defines which machines a job prefers. */
import { RESOURCE_TOLERANCE, fits, type Resources } from '../fleet/resources.js';
import type { CandidateMachine, ImageReserve, TaskRequest } from './types.js';

/** A machine and the capacity that is still free after the placements of this round. */
export interface MachineSlot {
  readonly machine: CandidateMachine;
  readonly group: MachineGroup;
  /** Free CPUs, GPUs and memory: a slot is itself the `Resources` that a task must fit into. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Images being fetched. The set is the machine's own until a placement of this round adds an image. */
  pendingImages: ReadonlySet<string>;
  /**
   * Whether the machine is reserved for a large task or a gang that is ahead in the queue. A job with `mustStart`
   * may ignore a soft reservation. No job may ignore a hard one, which is made for a starved job.
   */
  reservation: 'none' | 'soft' | 'hard';
}

/** Machines of the same type, zone, price model and size: a job may use all of them or none. */
export interface MachineGroup {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  readonly slots: MachineSlot[];
  /** The slots that could hold the smallest task of the round when it began. Only these are searched. */
  readonly openSlots: MachineSlot[];
  /** No slot of the group has more free CPUs than this: placements only take some away. */
  maxFreeCpus: number;
  /** How many of the slots are reserved. */
  reservedCount: number;
  /** Whether a constrained job may use the group, so that other jobs use it last. */
  isContested: boolean;
}

/** Prices within a price model vary by up to a third each way; a larger ratio means different price models. */
const MIN_PRICE_MODEL_RATIO = 1.8;
/** A job that may use less than this share of the cluster's CPUs counts as constrained. */
const CONSTRAINED_CPU_SHARE = 0.75;

/** Whether a job accepts the type, zone and price model of a machine. */
export function isMachineAllowed(
  request: Pick<TaskRequest, 'machineTypes' | 'requiredZone' | 'allowSpot'>,
  machine: Pick<CandidateMachine, 'machineType' | 'zone' | 'spot'>,
): boolean {
  return (
    (request.machineTypes === null || request.machineTypes.includes(machine.machineType)) &&
    (request.requiredZone === null || request.requiredZone === machine.zone) &&
    (request.allowSpot || !machine.spot)
  );
}

/**
 * Scores how long it takes until the image is on the machine: 0 if it is there, 1 if it is being fetched, and
 * otherwise one more for every two seconds, so that machines within two seconds of each other compare as equal.
 */
export function imageDelay(request: TaskRequest, slot: MachineSlot): number {
  if (slot.machine.hasImage(request.image)) return 0;
  if (slot.pendingImages.has(request.image)) return 1;
  const fetchSeconds =
    (request.imageSizeGb / slot.machine.fetchGbPerSecond) * (1 + slot.pendingImages.size);
  return 1 + Math.ceil(fetchSeconds / 2);
}

/** The free capacity of all machines, updated by the placements of this round. */
export class ClusterCapacity {
  readonly groups: readonly MachineGroup[];
  private readonly totalCpus: number;
  private readonly smallestMachineCpus: number;
  /** Free CPUs that count towards the reserve of each image. */
  private readonly freeByImage = new Map<string, number>();

  /** `minTaskCpus`: no task of this round needs fewer CPUs. */
  constructor(
    machines: readonly CandidateMachine[],
    private readonly reserve: ImageReserve,
    minTaskCpus: number,
  ) {
    let totalCpus = 0;
    let smallest = Infinity;
    for (const machine of machines) {
      totalCpus += machine.capacity.cpus;
      smallest = Math.min(smallest, machine.capacity.cpus);
    }
    this.groups = groupMachines(machines, minTaskCpus);
    this.totalCpus = totalCpus;
    this.smallestMachineCpus = smallest;
    for (const image of reserve.keys()) this.freeByImage.set(image, this.freeReserveCpus(image));
  }

  /** The groups that a job may use and whose machines, when empty, can hold one of its tasks. */
  eligibleGroups(request: TaskRequest): MachineGroup[] {
    return this.groups.filter(
      (group) => isMachineAllowed(request, group) && fits(request.resources, group.capacity),
    );
  }

  /** Whether a job limited to these groups counts as constrained, because they are a small part of the cluster. */
  isConstrained(eligible: readonly MachineGroup[]): boolean {
    let cpus = 0;
    for (const group of eligible) cpus += group.slots.length * group.capacity.cpus;
    return cpus < this.totalCpus * CONSTRAINED_CPU_SHARE;
  }

  /** Free CPUs, before any placement, of the machines that count towards the reserve of an image. */
  private freeReserveCpus(image: string): number {
    let free = 0;
    for (const group of this.groups) {
      if (group.capacity.cpus !== this.smallestMachineCpus) continue;
      for (const slot of group.slots) if (slot.machine.hasImage(image)) free += slot.cpus;
    }
    return free;
  }

  /** Only the smallest machines count, since a reserve on larger ones would delay the large tasks that need them. */
  private countsTowardsReserve(slot: MachineSlot, image: string): boolean {
    return slot.machine.capacity.cpus === this.smallestMachineCpus && slot.machine.hasImage(image);
  }

  /** Whether the reserve of every other image stays free if a task of the job is placed on the slot. */
  leavesReserve(slot: MachineSlot, request: TaskRequest): boolean {
    const { cpus } = request.resources;
    for (const [image, reserved] of this.reserve) {
      if (request.canUseReserve && image === request.image) continue;
      if (
        this.countsTowardsReserve(slot, image) &&
        (this.freeByImage.get(image) ?? 0) - cpus < reserved
      )
        return false;
    }
    return true;
  }

  /** Allocates capacity for `tasks` tasks of a job; a negative number releases it. */
  allocate(slot: MachineSlot, request: TaskRequest, tasks: number): void {
    const { cpus, gpus, memoryGb } = request.resources;
    slot.cpus -= cpus * tasks;
    slot.gpus -= gpus * tasks;
    slot.memoryGb -= memoryGb * tasks;
    for (const image of this.reserve.keys()) {
      if (!this.countsTowardsReserve(slot, image)) continue;
      this.freeByImage.set(image, (this.freeByImage.get(image) ?? 0) - cpus * tasks);
    }
  }
}

/** Groups the machines. Groups and slots keep the order of the machines. */
function groupMachines(machines: readonly CandidateMachine[], minTaskCpus: number): MachineGroup[] {
  const groups = new Map<string, MachineGroup>();
  for (const machine of machines) {
    const { machineType, zone, spot, capacity } = machine;
    const key = `${machineType}|${zone}|${spot}|${capacity.cpus}`;
    let group = groups.get(key);
    if (!group) {
      group = {
        machineType,
        zone,
        spot,
        capacity,
        slots: [],
        openSlots: [],
        maxFreeCpus: 0,
        reservedCount: 0,
        isContested: false,
      };
      groups.set(key, group);
    }
    const { cpus, gpus, memoryGb } = machine.free;
    const slot: MachineSlot = {
      machine,
      group,
      cpus,
      gpus,
      memoryGb,
      pendingImages: machine.imagesBeingFetched,
      reservation: 'none',
    };
    group.slots.push(slot);
    group.maxFreeCpus = Math.max(group.maxFreeCpus, cpus);
    if (cpus >= minTaskCpus - RESOURCE_TOLERANCE) group.openSlots.push(slot);
  }
  return [...groups.values()];
}

/**
 * Orders machines on which a job could start equally soon. The cheaper price model comes first, so that expensive
 * machines become idle and can be deleted; then the smaller type, so that large machines stay empty for large
 * tasks; then the machine with the most free CPUs. Machine ids break the remaining ties.
 */
export function compareSlots(a: MachineSlot, b: MachineSlot): number {
  const priceRatio = a.machine.pricePerCpu / b.machine.pricePerCpu;
  if (priceRatio > MIN_PRICE_MODEL_RATIO || priceRatio < 1 / MIN_PRICE_MODEL_RATIO)
    return priceRatio - 1;
  if (a.machine.capacity.cpus !== b.machine.capacity.cpus)
    return a.machine.capacity.cpus - b.machine.capacity.cpus;
  return compareByFreeCpus(a, b);
}

/** Orders machines by free CPUs, most first; machine ids break ties. */
export function compareByFreeCpus(a: MachineSlot, b: MachineSlot): number {
  if (a.cpus !== b.cpus) return b.cpus - a.cpus;
  return a.machine.id < b.machine.id ? -1 : 1;
}
