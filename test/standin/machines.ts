/** The rented machines of a world and the workers on them, and what befalls them. */
import type { Random } from '../../src/units/index.js';
import { ProcessClock, type VirtualTime } from './clock.js';
import { Cloud, type RentedMachine } from './cloud.js';
import { machineTypes } from './machine-types.js';
import type { Network } from './network.js';
import type { Platform } from './platform.js';
import type { WorkerWorld } from './worker-tasks.js';
import { Worker } from './worker.js';

/** What machines need of the world around them. */
export interface MachinesWorld {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: Network;
  readonly platform: Platform;
  readonly tasks: WorkerWorld;
}

/** A worker and the machine that it runs on. */
export interface WorkerOnMachine {
  readonly worker: Worker;
  readonly machine: RentedMachine;
}

const LIST_LAG = 3000;
const MAX_DRIFT = 0.00025;
const MAX_PER_RENTAL = 50;

/** The address of the nth machine: as many as two bytes count. */
const addressOf = (n: number): string => `10.1.${n >> 8}.${n & 255}:9000`;

/** All machines that are up, with the cloud that they are rented from. */
export class Machines {
  readonly cloud: Cloud;
  /** By the ids of their machines. */
  readonly workers = new Map<string, WorkerOnMachine>();

  constructor(private readonly world: MachinesWorld) {
    this.cloud = new Cloud({
      time: world.time,
      random: world.random,
      machineTypes,
      listLagMs: LIST_LAG,
      lifecycle: {
        onBoot: (machine) => this.boot(machine),
        onEnd: (machine) => this.end(machine),
      },
      addressOf,
    });
  }

  private boot(machine: RentedMachine): void {
    const { time, random, network, platform, tasks } = this.world;
    const clock = new ProcessClock(time, (random() - 0.5) * 2 * MAX_DRIFT, 0);
    const { heartbeatInterval, lease } = platform.settingsOf(0).workers;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers: platform.all.map(({ controllerId, apiEndpoint }) => ({
        name: controllerId,
        address: apiEndpoint,
      })),
      http: network.client(machine.id, machine.zone, clock),
      clock,
      random,
      times: { heartbeatMs: heartbeatInterval, leaseMs: lease },
      world: tasks,
    });
    this.workers.set(machine.id, { worker, machine });
    network.attach(machine.address, machine.zone, (method, path, body) =>
      worker.handle(method, path, body),
    );
  }

  private end(machine: RentedMachine): void {
    this.workers.get(machine.id)?.worker.kill();
    this.workers.delete(machine.id);
    this.world.network.detach(machine.address);
  }

  /** Rents machines before any controller asks for one. */
  provide(count: number): void {
    const { zones } = this.world.platform;
    this.cloud.capacity = count;
    for (let left = count; left > 0; left -= MAX_PER_RENTAL) {
      const zone = zones[(left / MAX_PER_RENTAL) % zones.length] ?? '';
      this.cloud.handle('POST', '/machines', {
        hire: `given-${left}`,
        build: machineTypes[0]?.name,
        hall: zone,
        loaners: true,
        how_many: Math.min(MAX_PER_RENTAL, left),
      });
    }
  }

  /** A hanging machine neither does nor answers anything. */
  hang(id: string, isHung: boolean): void {
    const running = this.workers.get(id);
    if (!running) return;
    running.worker.isHung = isHung;
    this.world.network.hang(running.machine.address, isHung);
  }

  /** Its worker is gone and back at once, with nothing of what it knew. */
  restart(id: string): void {
    this.workers.get(id)?.worker.restart();
  }

  /** Its heartbeats arrive, but answers and commands don't reach it. */
  dropIncoming(id: string, isDropped: boolean): void {
    const running = this.workers.get(id);
    if (!running) return;
    this.world.network.dropIncoming(id, isDropped);
    this.world.network.dropIncoming(running.machine.address, isDropped);
  }

  /** Its heartbeats reach no controller, while commands still reach it. */
  blockHeartbeats(id: string, isBlocked: boolean): void {
    const { network, platform } = this.world;
    const controllers = new Set<string>(platform.all.map(({ apiEndpoint }) => apiEndpoint));
    if (isBlocked) network.isolate(id, (address) => controllers.has(address), false);
    else network.reconnect(id);
  }

  /** The cloud gives notice that it takes a machine back, and does so. */
  reclaim(id: string, noticeMs: number): void {
    const running = this.workers.get(id);
    if (!running) return;
    const { time } = this.world;
    running.worker.reclaimedAt = time.now + noticeMs;
    time.after(noticeMs, () => this.cloud.end(id));
  }
}
