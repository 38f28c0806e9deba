/** The rented machines of a simulated cluster with their workers, and methods that inject machine faults. */
import type { Random } from '../../src/units/index.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import { Cloud, type RentedMachine } from './cloud.js';
import { machineTypes } from './machine-types.js';
import type { Network } from './network.js';
import type { ClusterSettings } from './cluster-settings.js';
import type { TaskEnvironment } from './worker-tasks.js';
import { Worker } from './worker.js';

/** The parts of the simulated cluster that machines use. */
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

/** The address of the nth machine; unique up to 65,535. */
const addressOf = (n: number): string => `10.1.${n >> 8}.${n & 255}:9000`;

/** The running machines and the cloud that they are rented from. */
export class MachineFleet {
  readonly cloud: Cloud;
  /** The running workers by machine id. */
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
    const { time, random, network, settings, taskEnvironment } = this.dependencies;
    const clock = new ProcessClock(time, (random() - 0.5) * 2 * MAX_CLOCK_DRIFT, 0);
    const { heartbeatInterval, lease } = settings.of(0).workers;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers: settings.all.map(({ controllerId, apiEndpoint }) => ({
        name: controllerId,
        address: apiEndpoint,
      })),
      http: network.client(machine.id, machine.zone, clock),
      clock,
      random,
      times: { heartbeatMs: heartbeatInterval, leaseMs: lease },
      taskEnvironment,
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

  /** Rents machines directly, without a request from a controller. */
  rent(count: number): void {
    const { zones } = this.dependencies.settings;
    this.cloud.capacityPerOffer = count;
    for (let remaining = count; remaining > 0; remaining -= MAX_MACHINES_PER_RENTAL) {
      const zone = zones[(remaining / MAX_MACHINES_PER_RENTAL) % zones.length] ?? '';
      this.cloud.handle('POST', '/machines', {
        hire: `given-${remaining}`,
        build: machineTypes[0]?.name,
        hall: zone,
        loaners: true,
        how_many: Math.min(MAX_MACHINES_PER_RENTAL, remaining),
      });
    }
  }

  /** Makes a machine hang, or resumes it. A hung machine runs nothing and doesn't respond. */
  setHung(id: string, isHung: boolean): void {
    const workerOnMachine = this.workers.get(id);
    if (!workerOnMachine) return;
    workerOnMachine.worker.isHung = isHung;
    this.dependencies.network.setHung(workerOnMachine.machine.address, isHung);
  }

  /** Restarts a worker immediately. It loses all of its state. */
  restartWorker(id: string): void {
    this.workers.get(id)?.worker.restart();
  }

  /** Drops responses and commands to a machine, while its heartbeats still arrive. */
  setIncomingDropped(id: string, isDropped: boolean): void {
    const workerOnMachine = this.workers.get(id);
    if (!workerOnMachine) return;
    this.dependencies.network.setIncomingDropped(id, isDropped);
    this.dependencies.network.setIncomingDropped(workerOnMachine.machine.address, isDropped);
  }

  /** Blocks a machine's heartbeats to all controllers, while commands still reach it. */
  setHeartbeatsBlocked(id: string, isBlocked: boolean): void {
    const { network, settings } = this.dependencies;
    const apiEndpoints = new Set<string>(settings.all.map(({ apiEndpoint }) => apiEndpoint));
    if (isBlocked) network.isolate(id, (address) => apiEndpoints.has(address), false);
    else network.reconnect(id);
  }

  /** Gives a machine a reclaim notice, and ends it after `noticeMs`. */
  reclaim(id: string, noticeMs: number): void {
    const workerOnMachine = this.workers.get(id);
    if (!workerOnMachine) return;
    const { time } = this.dependencies;
    workerOnMachine.worker.reclaimAt = time.now + noticeMs;
    time.after(noticeMs, () => this.cloud.end(id));
  }
}
