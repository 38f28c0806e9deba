/** Logs a periodic summary for operators: the machines, the CPUs in use and the waiting tasks. */
import type { Logger } from 'pino';
import type { MachineCatalog } from '../cloud/machine-catalog.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Ledger } from '../ledger/ledger.js';
import { seconds, durationBetween, type SteadyMs } from '../units/index.js';

const LOG_INTERVAL = seconds(10);

/** The machines of one type, either spot or on-demand. */
interface MachineSummary {
  up: number;
  booting: number;
  /** CPUs of the machines that are up; `used` says how many of them are in use. */
  cpus: number;
  used: number;
}

/** The dependencies of the fleet summary. */
export interface FleetLogDependencies {
  readonly fleet: Fleet;
  readonly ledger: Pick<Ledger, 'jobs'>;
  readonly catalog: MachineCatalog;
  readonly log: Logger;
}

/** Logs a summary of the fleet at intervals. */
export class FleetLog {
  constructor(
    private readonly deps: FleetLogDependencies,
    private loggedAt: SteadyMs,
  ) {}

  /** Logs the summary if `LOG_INTERVAL` has passed since the last one. */
  tick(now: SteadyMs): void {
    if (durationBetween(this.loggedAt, now) < LOG_INTERVAL) return;
    this.loggedAt = now;
    const { ledger, log } = this.deps;
    const machines = this.machinesByType();
    log.info(
      { machines, jobs: ledger.jobs.size, waiting: this.waitingTasksByJobClass() },
      'fleet summary',
    );
  }

  private machinesByType(): Record<string, MachineSummary> {
    const { catalog, fleet } = this.deps;
    const summaries: Record<string, MachineSummary> = {};
    for (const machine of fleet.machines.values()) {
      const { machineType, spot } = machine.kind;
      const type = catalog.machineType(machineType);
      if (!type) continue;
      const key = `${machineType} ${spot ? 'spot' : 'plain'}`;
      const summary = (summaries[key] ??= { up: 0, booting: 0, cpus: 0, used: 0 });
      if (machine.isUp) {
        summary.up++;
        summary.cpus += type.cpus;
        summary.used += Math.round(fleet.load(machine).used.cpus);
      } else if (machine.bootingSince !== undefined) summary.booting++;
    }
    return summaries;
  }

  private waitingTasksByJobClass(): Record<string, number> {
    const waiting: Record<string, number> = {};
    for (const job of this.deps.ledger.jobs.values()) {
      if (job.isCancelled || job.waitingTasks.size === 0) continue;
      waiting[job.spec.jobClass] = (waiting[job.spec.jobClass] ?? 0) + job.waitingTasks.size;
    }
    return waiting;
  }
}
