/** Computes the capacity of the rented machines: what is free now or after booting, and how soon running tasks end. */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { machineResources, subtractResources, type Resources } from '../fleet/resources.js';
import { isUrgent } from '../ledger/placement-order.js';
import { ms, durationBetween, type Epoch, type JobId, type SteadyMs } from '../units/index.js';
import type { JobSpec, MachineType } from '../wire/index.js';
import { offerKey, type AvailableCapacity, type Offer, type BusyCapacity } from './types.js';

/** A booting machine counts as supply until this many times the usual boot time of its type has passed. */
const BOOT_TIME_FACTOR = 2;

/** What the supply is computed from. */
export interface SupplyView {
  readonly fleet: Fleet;
  readonly catalog: MachineCatalog;
  readonly epoch: Epoch;
  readonly now: SteadyMs;
  readonly specOf: (job: JobId) => JobSpec | undefined;
}

/** The capacity for waiting tasks without renting any machine. */
export interface Supply {
  readonly available: readonly AvailableCapacity[];
  readonly busyCapacity: readonly BusyCapacity[];
}

/** Computes the supply of all machines that can take tasks now or once they are up. */
export function currentSupply(view: SupplyView): Supply {
  const available: AvailableCapacity[] = [];
  const busyCapacity = new BusyCapacityByOffer(view);
  for (const machine of view.fleet.machines.values()) {
    const type = view.catalog.machineType(machine.kind.machineType);
    if (!type || !canTakeTasks(machine, view)) continue;
    const capacity = machineResources(type);
    if (!machine.isUp) {
      if (isBooting(machine, type, view.now)) available.push({ ...machine.kind, free: capacity });
      continue;
    }
    const load = view.fleet.load(machine);
    if (load.hasUnknownTasks) continue;
    available.push({ ...machine.kind, free: subtractResources(capacity, load.used) });
    busyCapacity.add(machine, capacity);
  }
  return { available, busyCapacity: busyCapacity.list() };
}

const canTakeTasks = (machine: Machine, { epoch, now }: SupplyView): boolean =>
  !machine.isDraining &&
  !machine.isDeleteSent &&
  !machine.isUnconfirmedWithFailedCommand(epoch, now);

function isBooting(machine: Machine, type: MachineType, now: SteadyMs): boolean {
  if (machine.bootingSince === undefined) return false;
  return durationBetween(machine.bootingSince, now) < type.bootSeconds * 1000 * BOOT_TIME_FACTOR;
}

/** Totals of the tasks on the machines of one offer. */
interface TaskTotals {
  readonly offer: Offer;
  readonly capacity: Resources;
  busyCpus: number;
  /** CPU count times runtime in milliseconds, summed over the tasks. */
  cpuTime: number;
}

class BusyCapacityByOffer {
  private readonly totals = new Map<string, TaskTotals>();

  constructor(private readonly view: Pick<SupplyView, 'specOf' | 'now'>) {}

  add(machine: Machine, capacity: Resources): void {
    const offer = machine.kind;
    const key = offerKey(offer);
    const totals = this.totals.get(key) ?? { offer, capacity, busyCpus: 0, cpuTime: 0 };
    this.totals.set(key, totals);
    for (const { job, placedAt } of machine.assignments.values()) {
      const spec = this.view.specOf(job);
      // The capacity that an urgent task frees goes to other urgent tasks, so it is not counted for waiting tasks.
      if (!spec || isUrgent(spec.priority)) continue;
      totals.busyCpus += spec.cpus;
      // A task that has run for longer than estimated shows that the estimate was too low.
      const elapsed = durationBetween(placedAt, this.view.now);
      totals.cpuTime += spec.cpus * Math.max(spec.expectedRuntimeSeconds * 1000, elapsed);
    }
  }

  list(): BusyCapacity[] {
    return Array.from(this.totals.values(), ({ offer, capacity, busyCpus, cpuTime }) => ({
      ...offer,
      capacity,
      busyCpus,
      meanRuntime: ms(busyCpus > 0 ? cpuTime / busyCpus : 0),
    }));
  }
}
