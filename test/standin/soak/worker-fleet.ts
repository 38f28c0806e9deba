/** The simulated cloud and its workers as HTTP servers on loopback, for several real controllers. */
import type http from 'node:http';
import type { HttpClient } from '../../../src/net/http.js';
import { PooledHttpClient } from '../../../src/net/pooled-http-client.js';
import type { Random } from '../../../src/units/index.js';
import { ProcessClock, type TimeSource } from '../clock.js';
import { Cloud, type RentedMachine } from '../cloud.js';
import { serve } from '../loopback-services.js';
import { machineTypes } from '../machine-types.js';
import type { WorkerOnMachine } from '../machine-fleet.js';
import type { HostResponse } from '../network.js';
import { Worker, type ControllerAddress } from '../worker.js';
import type { TaskEnvironment } from '../worker-tasks.js';

const LIST_LAG_MS = 3000;
const MAX_SOCKETS = 4000;
const MAX_MACHINES_PER_RENTAL = 50;
const NEVER = new Promise<HostResponse>(() => undefined);

/** The parameters and dependencies of the fleet. */
export interface WorkerFleetOptions {
  readonly time: TimeSource;
  /** The port that each worker listens on, at an address of its own. */
  readonly port: number;
  readonly workerCount: number;
  readonly controllers: readonly ControllerAddress[];
  readonly times: { readonly heartbeatMs: number; readonly leaseMs: number };
  readonly taskEnvironment: TaskEnvironment;
  readonly random: Random;
}

interface ServedWorker extends WorkerOnMachine {
  readonly server: http.Server;
  /** Whether neither responses nor commands reach the machine. */
  isDeaf: boolean;
  /** Whether its heartbeats reach no controller. */
  isMute: boolean;
}

/** The loopback address of the nth machine. */
const hostOf = (n: number): string => `127.1.${n >> 8}.${n & 255}`;

/** The running workers by machine id. */
export class WorkerFleet {
  readonly cloud: Cloud;
  readonly workers = new Map<string, ServedWorker>();
  private readonly client = new PooledHttpClient(MAX_SOCKETS, 4, 4);

  constructor(private readonly options: WorkerFleetOptions) {
    this.cloud = new Cloud({
      time: options.time,
      random: options.random,
      machineTypes,
      listLagMs: LIST_LAG_MS,
      lifecycle: {
        onBoot: (machine) => this.startWorker(machine),
        onEnd: (machine) => this.endWorker(machine),
      },
      addressOf: (n) => `${hostOf(n)}:${options.port}`,
    });
    this.rentMachines();
  }

  /** Rents about half of the machines, so that there are workers from the start. */
  private rentMachines(): void {
    const [type] = machineTypes;
    if (!type) return;
    this.cloud.capacityPerOffer = Math.ceil(this.options.workerCount / type.zones.length);
    for (const zone of type.zones) {
      let remaining = Math.ceil(this.options.workerCount / type.zones.length / 2);
      while (remaining > 0) {
        const count = Math.min(remaining, MAX_MACHINES_PER_RENTAL);
        remaining -= count;
        const hire = `given-${zone}-${remaining}`;
        const rental = { hire, build: type.name, hall: zone, loaners: true, how_many: count };
        this.cloud.handle('POST', '/machines', rental);
      }
    }
  }

  /** Makes a machine hang, or lets it go on. */
  setHung(id: string, isHung: boolean): void {
    const served = this.workers.get(id);
    if (served) served.worker.isHung = isHung;
  }

  /** Drops responses and commands to a machine, while its heartbeats still arrive. */
  setDeaf(id: string, isDeaf: boolean): void {
    const served = this.workers.get(id);
    if (served) served.isDeaf = isDeaf;
  }

  /** Drops the heartbeats of a machine, while commands still reach it. */
  setMute(id: string, isMute: boolean): void {
    const served = this.workers.get(id);
    if (served) served.isMute = isMute;
  }

  /** Ends all faults of machines. */
  heal(): void {
    for (const served of this.workers.values()) {
      served.worker.isHung = false;
      served.isDeaf = false;
      served.isMute = false;
    }
  }

  /** Ends all workers and closes their servers. */
  close(): void {
    for (const { worker, server } of this.workers.values()) {
      worker.kill();
      server.close();
      server.closeAllConnections();
    }
  }

  private startWorker(machine: RentedMachine): void {
    const { controllers, random, taskEnvironment, times } = this.options;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers,
      http: this.clientOf(machine.id),
      clock: new ProcessClock(this.options.time, 0, 0),
      random,
      times,
      taskEnvironment,
    });
    const [host = '', port = ''] = machine.address.split(':');
    const server = serve(
      Number(port),
      (method, path, body) => this.handle(machine.id, method, path, body),
      'controller',
      host,
    );
    this.workers.set(machine.id, { worker, machine, server, isDeaf: false, isMute: false });
  }

  private handle(
    id: string,
    method: string,
    path: string,
    body: unknown,
  ): HostResponse | Promise<HostResponse> {
    const served = this.workers.get(id);
    if (!served || served.worker.isHung || served.isDeaf) return NEVER;
    return served.worker.handle(method, path, body);
  }

  /** The HTTP client of a machine, on which its faults take effect. */
  private clientOf(id: string): HttpClient {
    return {
      send: async (request) => {
        if (this.workers.get(id)?.isMute) {
          return { kind: 'undelivered', reason: 'the machine reaches no controller' };
        }
        const outcome = await this.client.send(request);
        return this.workers.get(id)?.isDeaf
          ? { kind: 'unknown', reason: 'the response is lost' }
          : outcome;
      },
    };
  }

  private endWorker(machine: RentedMachine): void {
    const served = this.workers.get(machine.id);
    served?.worker.kill();
    served?.server.close();
    served?.server.closeAllConnections();
    this.workers.delete(machine.id);
  }
}
