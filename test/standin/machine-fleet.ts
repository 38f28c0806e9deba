/** The rented machines of a world and the workers on them, and what befalls them. */
import type { Random } from '../../src/units/index.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import { Cloud, type RentedMachine } from './cloud.js';
import { machineTypes } from './machine-types.js';
import type { Network } from './network.js';
import type { ClusterSettings } from './cluster-settings.js';
import type { TaskEnvironment } from './worker-tasks.js';
import { Worker } from './worker.js';

/** What machines need of the world around them. */
export interface MachineFleetDependencies {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly settings: ClusterSettings;
  readonly taskEnvironment: TaskEnvironment;
}

/** A worker and the machine that it runs on. */
export interface WorkerOnMachine {
  readonly worker: Worker;
  readonly machine: RentedMachine;
}

const LIST_LAG_MS = 3000;
const MAX_CLOCK_DRIFT = 0.00025;
const MAX_MACHINES_PER_RENTAL = 50;

/** The address of the nth machine: as many as two bytes count. */
const addressOf = (n: number): string => `10.1.${n >> 8}.${n & 255}:9000`;

/** All machines that are up, with the cloud that they are rented from. */
export class MachineFleet {
  readonly cloud: Cloud;
  /** By the ids of their machines. */
  readonly workers = new Map<string, WorkerOnMachine>();

  constructor(private readonly dependencies: MachineFleetDependencies) {
    this.cloud = new Cloud({
      time: dependencies.time,
      random: dependencies.random,
      machineTypes,
      listLagMs: LIST_LAG_MS,
      lifecycle: {
        onBoot: (machine) => this.startWorker(machine),
        onEnd: (machine) => this.endWorker(machine),
      },
      addressOf,
    });
  }

  private startWorker(machine: RentedMachine): void {
    const { time, random, network, settings: platform, taskEnvironment: tasks } = this.dependencies;
    const clock = new ProcessClock(time, (random() - 0.5) * 2 * MAX_CLOCK_DRIFT, 0);
    const { heartbeatInterval, lease } = platform.of(0).workers;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers: platform.all.map(({ node, apiEndpoint }) => ({
        name: node,
        address: apiEndpoint,
      })),
      http: network.client(machine.id, machine.zone, clock),
      clock,
      random,
      times: { heartbeatMs: heartbeatInterval, leaseMs: lease },
      taskEnvironment: tasks,
    });
    this.workers.set(machine.id, { worker, machine });
    network.attach(machine.address, machine.zone, (method, path, body) =>
      worker.handle(method, path, body),
    );
  }

  private endWorker(machine: RentedMachine): void {
    this.workers.get(machine.id)?.worker.kill();
    this.workers.delete(machine.id);
    this.dependencies.network.detach(machine.address);
  }

  /** Rents machines before any controller asks for one. */
  rent(count: number): void {
    const { zones } = this.dependencies.settings;
    this.cloud.capacityPerOffer = count;
    for (let left = count; left > 0; left -= MAX_MACHINES_PER_RENTAL) {
      const zone = zones[(left / MAX_MACHINES_PER_RENTAL) % zones.length] ?? '';
      this.cloud.handle('POST', '/machines', {
        hire: `given-${left}`,
        build: machineTypes[0]?.name,
        hall: zone,
        loaners: true,
        how_many: Math.min(MAX_MACHINES_PER_RENTAL, left),
      });
    }
  }

  /** A hanging machine neither does nor answers anything. */
  setHung(id: string, isHung: boolean): void {
    const running = this.workers.get(id);
    if (!running) return;
    running.worker.isHung = isHung;
    this.dependencies.network.setHung(running.machine.address, isHung);
  }

  /** Its worker is gone and back at once, with nothing of what it knew. */
  restartWorker(id: string): void {
    this.workers.get(id)?.worker.restart();
  }

  /** Its heartbeats arrive, but answers and commands don't reach it. */
  setIncomingDropped(id: string, isDropped: boolean): void {
    const running = this.workers.get(id);
    if (!running) return;
    this.dependencies.network.setIncomingDropped(id, isDropped);
    this.dependencies.network.setIncomingDropped(running.machine.address, isDropped);
  }

  /** Its heartbeats reach no controller, while commands still reach it. */
  setHeartbeatsBlocked(id: string, isBlocked: boolean): void {
    const { network, settings: platform } = this.dependencies;
    const controllers = new Set<string>(platform.all.map(({ apiEndpoint }) => apiEndpoint));
    if (isBlocked) network.isolate(id, (address) => controllers.has(address), false);
    else network.reconnect(id);
  }

  /** The cloud gives notice that it takes a machine back, and does so. */
  reclaim(id: string, noticeMs: number): void {
    const running = this.workers.get(id);
    if (!running) return;
    const { time } = this.dependencies;
    running.worker.reclaimedAt = time.now + noticeMs;
    time.after(noticeMs, () => this.cloud.end(id));
  }
}
