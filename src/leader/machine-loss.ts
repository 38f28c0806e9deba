/** Machines whose worker's lease expired, or that the cloud no longer has. */
import type { Logger } from 'pino';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import type { Clock } from '../units/index.js';
import type { PlacementIndex } from './placement-index.js';

/** Releases the tasks of machines that certainly run none any more. */
export class MachineLoss {
  constructor(
    private readonly fleet: Fleet,
    private readonly placements: PlacementIndex,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Releases what was on machines whose worker's lease has certainly expired. */
  expireLeases(): void {
    const now = this.clock.steady();
    for (const machine of this.fleet.machines.values()) {
      const isUnused = !machine.isUp && machine.assignments.size === 0;
      if (now <= machine.leaseExpiresAt || isUnused) continue;
      this.log.warn(
        { machine: machine.id, tasks: machine.assignments.size },
        'worker lease expired',
      );
      machine.expireLease();
      this.placements.releaseMachine(machine, 'worker lease expired');
    }
    this.fleet.pruneGoneMachines(now);
  }

  /** The cloud answered that the machine is deleted, or that it stopped on its own. */
  remove(machine: Machine, reason: string): void {
    const tasks = machine.assignments.size;
    this.log.info({ machine: machine.id, tasks, reason }, 'machine is gone');
    this.fleet.remove(machine, this.clock.steady());
    this.placements.releaseMachine(machine, reason);
  }
}
