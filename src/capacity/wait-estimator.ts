/** Estimates how many waiting tasks the machines that are up can start in time, without new machines. */
import { fits } from '../fleet/resources.js';
import { isMachineAllowed } from '../placer/placer.js';
import { seconds, type DurationMs } from '../units/index.js';
import type { Demand, BusyCapacity } from './types.js';

/** The usable share of freed CPUs. They become free in fragments, of which a large task can't use all. */
const USABLE_FREED_CPU_SHARE = 0.8;

/** The tasks that wait for machines of one offer. */
interface WaitQueue {
  readonly busyCapacity: BusyCapacity;
  /** CPUs that become free per second. */
  readonly freedCpusPerSecond: number;
  /** CPUs that the tasks queued so far need. */
  queuedCpus: number;
}

/** Keeps a first-in, first-out queue for each offer whose machines run tasks. */
export class WaitEstimator {
  private readonly queues: readonly WaitQueue[];

  constructor(busyCapacity: readonly BusyCapacity[]) {
    this.queues = busyCapacity
      .filter(({ busyCpus }) => busyCpus > 0)
      .map((entry) => ({
        busyCapacity: entry,
        freedCpusPerSecond:
          (entry.busyCpus * USABLE_FREED_CPU_SHARE) / Math.max(1, entry.meanRuntime / seconds(1)),
        queuedCpus: 0,
      }));
  }

  /** Queues tasks; returns for each of `waits` how many of the tasks still wait after that time. */
  enqueue(demand: Demand, taskCount: number, waits: readonly DurationMs[]): number[] {
    const eligible = this.queues.filter(
      ({ busyCapacity }) =>
        isMachineAllowed(demand, busyCapacity) && fits(demand.resources, busyCapacity.capacity),
    );
    let rate = 0;
    let queuedCpus = 0;
    for (const queue of eligible) {
      rate += queue.freedCpusPerSecond;
      queuedCpus += queue.queuedCpus;
    }
    const cpus = taskCount * demand.resources.cpus;
    for (const queue of eligible) {
      queue.queuedCpus += rate > 0 ? (cpus * queue.freedCpusPerSecond) / rate : 0;
    }
    return waits.map((wait) => {
      if (wait === Infinity) return 0;
      const servedCpus = Math.max(0, rate * (wait / seconds(1)) - queuedCpus);
      return Math.ceil(Math.max(0, cpus - servedCpus) / demand.resources.cpus - 1e-6);
    });
  }
}
