/** The free capacity of the machines during one placing round, and the order in which a job prefers machines. */
import { RESOURCE_TOLERANCE, fits, type Resources } from '../fleet/resources.js';
import type { CandidateMachine, ImageReserve, TaskRequest } from './types.js';

/** A machine with the capacity that the placements of this round have left free. */
export interface MachineSlot {
  readonly machine: CandidateMachine;
  readonly group: MachineGroup;
  /** Free processors, GPUs and memory: a slot is itself the `Resources` that a task must fit into. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Images being fetched. This is the machine's own set until a placement of this round adds an image. */
  pendingImages: ReadonlySet<string>;
  /**
   * Whether the machine is kept for a large task or a gang that is ahead in the queue. A job with `mustStart` may
   * ignore a soft reservation; a hard one, made for a starved job, holds against all.
   */
  reservation: 'none' | 'soft' | 'hard';
}

/** Machines of the same type, zone, price model and size: a job may use either all of them or none. */
export interface MachineGroup {
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly capacity: Resources;
  readonly slots: MachineSlot[];
  /** The slots that can hold the smallest task of the round, as the round began: only they are searched. */
  readonly openSlots: MachineSlot[];
  /** How many of the slots are reserved. */
  reservedCount: number;
  /** A constrained job may use the group, so other jobs take it last. */
  isContested: boolean;
}

/** Prices of one price model vary by up to a third each way; only a larger difference is one of price model. */
const MIN_PRICE_MODEL_RATIO = 1.8;
/** A job that may use less than this share of the cluster's processors counts as constrained. */
const CONSTRAINED_CPU_SHARE = 0.75;

/** Whether a job accepts the type, zone and price model of a machine. */
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

/**
 * How long until the image is on the machine, as a score: 0 if it is there, 1 if it is being fetched, else rising by
 * one with every two seconds, so that machines within two seconds of each other compare as equal.
 */
export function imageDelay(request: TaskRequest, slot: MachineSlot): number {
  if (slot.machine.hasImage(request.image)) return 0;
  if (slot.pendingImages.has(request.image)) return 1;
  const fetchSeconds =
    (request.imageSizeGb / slot.machine.fetchGbPerSecond) * (1 + slot.pendingImages.size);
  return 1 + Math.ceil(fetchSeconds / 2);
}

/** The free capacity of all machines, as the placements of this round change it. */
export class ClusterCapacity {
  readonly groups: readonly MachineGroup[];
  private readonly totalCpus: number;
  private readonly smallestMachineCpus: number;
  /** Free processors that count towards the reserve of each image. */
  private readonly freeByImage = new Map<string, number>();

  /** `minTaskCpus`: no task of this round takes fewer processors. */
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

  /** The groups that a job may use and whose machines, when empty, can hold a task of it. */
  eligibleGroups(request: TaskRequest): MachineGroup[] {
    return this.groups.filter(
      (group) => isAllowed(request, group) && fits(request.resources, group.capacity),
    );
  }

  /** Whether these groups are so small a part of the cluster that a job limited to them counts as constrained. */
  isConstrained(eligible: readonly MachineGroup[]): boolean {
    let cpus = 0;
    for (const group of eligible) cpus += group.slots.length * group.capacity.cpus;
    return cpus < this.totalCpus * CONSTRAINED_CPU_SHARE;
  }

  /** Free processors, before any placement, of the machines that count towards the reserve of an image. */
  private freeReserveCpus(image: string): number {
    let free = 0;
    for (const group of this.groups) {
      if (group.capacity.cpus !== this.smallestMachineCpus) continue;
      for (const slot of group.slots) if (slot.machine.hasImage(image)) free += slot.cpus;
    }
    return free;
  }

  /** Only the smallest machines keep a reserve: large tasks, which need the larger ones, would pay for it. */
  private countsTowardsReserve(slot: MachineSlot, image: string): boolean {
    return slot.machine.capacity.cpus === this.smallestMachineCpus && slot.machine.hasImage(image);
  }

  /** Whether enough stays free for the reserve of every other image if a task is placed there. */
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

  /** Allocates capacity for so many tasks of a job; a negative number releases it. */
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

/** Groups and slots are in the order of the machines. */
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
    if (cpus >= minTaskCpus - RESOURCE_TOLERANCE) group.openSlots.push(slot);
  }
  return [...groups.values()];
}

/**
 * Order of machines on which a job could start equally soon: those of the cheaper price model, so that expensive
 * ones become idle and can be released; the smaller type, so that large machines stay whole for large tasks; then
 * those with most free processors. Machine ids break the remaining ties.
 */
export function compareSlots(a: MachineSlot, b: MachineSlot): number {
  const priceRatio = a.machine.pricePerCpu / b.machine.pricePerCpu;
  if (priceRatio > MIN_PRICE_MODEL_RATIO || priceRatio < 1 / MIN_PRICE_MODEL_RATIO)
    return priceRatio - 1;
  if (a.machine.capacity.cpus !== b.machine.capacity.cpus)
    return a.machine.capacity.cpus - b.machine.capacity.cpus;
  return compareByFreeCpus(a, b);
}

/** Most free processors first; machine ids break ties. */
export function compareByFreeCpus(a: MachineSlot, b: MachineSlot): number {
  if (a.cpus !== b.cpus) return b.cpus - a.cpus;
  return a.machine.id < b.machine.id ? -1 : 1;
}
