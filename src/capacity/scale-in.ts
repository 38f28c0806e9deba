/** Scale-in: finds machines to delete because they have had no tasks for too long. */
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { seconds, durationBetween, type SteadyMs } from '../units/index.js';
import type { AnticipatedTasks } from './demand.js';

/** How long an idle on-demand machine is kept, as a share of the time for a spot one, since it costs a multiple. */
const ON_DEMAND_IDLE_SHARE = 0.25;
/** The cloud charges each machine for at least this long. */
const MIN_CHARGE = seconds(60);

/** What scale-in decisions are based on. */
export interface ScaleInView {
  readonly fleet: Fleet;
  readonly catalog: MachineCatalog;
  /** How long an idle spot machine is kept, in boot times of its type. */
  readonly idleBootTimes: number;
  /** Tasks for which machines are kept on standby. */
  readonly anticipatedWork: readonly AnticipatedTasks[];
  readonly now: SteadyMs;
}

/** Returns the machines to delete, on-demand machines first. */
export function findIdleMachines(view: ScaleInView): Machine[] {
  const spare = new SpareCpus(view);
  const onDemandFirst = [...view.fleet.machines.values()].sort(
    (a, b) => Number(a.kind.spot) - Number(b.kind.spot),
  );
  return onDemandFirst.filter(
    (machine) =>
      isIdleTooLong(machine, view) && hasNoTasks(machine, view.fleet) && spare.tryTake(machine),
  );
}

/** Whether a machine has been idle for so long that keeping it costs more than booting another one. */
function isIdleTooLong(machine: Machine, { catalog, idleBootTimes, now }: ScaleInView): boolean {
  if (!machine.isUp || machine.assignments.size > 0 || machine.idleSince === undefined)
    return false;
  const bootTime = (catalog.machineType(machine.kind.machineType)?.bootSeconds ?? 0) * 1000;
  const maxIdleTime = bootTime * idleBootTimes * (machine.kind.spot ? 1 : ON_DEMAND_IDLE_SHARE);
  if (durationBetween(machine.idleSince, now) < maxIdleTime) return false;
  return machine.rentedAt === undefined || durationBetween(machine.rentedAt, now) >= MIN_CHARGE;
}

/** Whether a machine runs nothing at all, including tasks that no record accounts for. */
function hasNoTasks(machine: Machine, fleet: Fleet): boolean {
  const load = fleet.load(machine);
  return !load.hasUnknownTasks && load.used.cpus <= 0;
}

/**
 * The free CPUs on machines of the smallest type, on which anticipated tasks are expected to run, beyond
 * what these tasks would use. CPUs of on-demand machines are also counted separately, for tasks that may not
 * run on spot machines.
 */
class SpareCpus {
  private total = 0;
  private onDemand = 0;
  private readonly smallestCpus: number;

  constructor(private readonly view: ScaleInView) {
    this.smallestCpus = Math.min(...view.catalog.all().map((type) => type.cpus));
    for (const machine of view.fleet.machines.values()) this.addFree(machine);
    for (const { spec, taskCount } of view.anticipatedWork) {
      this.total -= spec.cpus * taskCount;
      if (!spec.allowSpot) this.onDemand -= spec.cpus * taskCount;
    }
  }

  /** Subtracts all CPUs of a machine if enough remain for anticipated tasks without it. */
  tryTake(machine: Machine): boolean {
    const cpus = this.cpusOf(machine);
    if (cpus > this.smallestCpus) return true;
    const { spot } = machine.kind;
    if (this.total < cpus || (!spot && this.onDemand < cpus)) return false;
    this.total -= cpus;
    if (!spot) this.onDemand -= cpus;
    return true;
  }

  private addFree(machine: Machine): void {
    const cpus = this.cpusOf(machine);
    if (!machine.isUp || machine.isDraining || cpus > this.smallestCpus) return;
    const load = this.view.fleet.load(machine);
    const free = cpus - (load.hasUnknownTasks ? cpus : load.used.cpus);
    this.total += free;
    if (!machine.kind.spot) this.onDemand += free;
  }

  private cpusOf(machine: Machine): number {
    return this.view.catalog.machineType(machine.kind.machineType)?.cpus ?? 0;
  }
}
