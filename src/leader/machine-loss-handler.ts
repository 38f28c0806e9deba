/** Handles machines whose worker's lease has expired or that no longer exist in the cloud. */
import type { Logger } from 'pino';
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import type { Clock } from '../units/index.js';
import type { PlacementIndex } from './placement-index.js';

/** Releases the tasks of machines that certainly no longer run any. */
export class MachineLossHandler {
  constructor(
    private readonly fleet: Fleet,
    private readonly placements: PlacementIndex,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Releases the tasks of machines whose worker's lease has certainly expired. */
  expireLeases(): void {
    const now = this.clock.steady();
    for (const machine of this.fleet.machines.values()) {
      const isUnused = !machine.isUp && machine.assignments.size === 0;
      if (now <= machine.leaseExpiresAt || isUnused) continue;
      this.log.warn(
        { machine: machine.id, tasks: machine.assignments.size },
        'worker lease expired; its tasks are queued again',
      );
      machine.expireLease();
      this.placements.releaseMachine(machine, 'worker lease expired');
    }
    this.fleet.forgetGone(now);
  }

  /** Removes a machine of which the cloud responded that it is deleted or has stopped on its own. */
  remove(machine: Machine, reason: string): void {
    const tasks = machine.assignments.size;
    this.log.info(
      { machine: machine.id, tasks, reason },
      'machine removed from the fleet; its tasks are queued again',
    );
    this.fleet.remove(machine, this.clock.steady());
    this.placements.releaseMachine(machine, reason);
  }
}
