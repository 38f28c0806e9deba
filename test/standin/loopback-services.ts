/** The simulated services on loopback, in real time, for one controller that runs as a separate process. */
import http from 'node:http';
import { readBody } from '../../src/net/read-body.js';
import { PooledHttpClient } from '../../src/net/pooled-http-client.js';
import { systemClock } from '../../src/units/system-clock.js';
import { ms } from '../../src/units/index.js';
import { MAX_BODY_BYTES, decode, encode, type MachineType } from '../../src/wire/index.js';
import { settingsFile } from '../support/settings-file.js';
import type { TimeSource } from './clock.js';
import { Cloud, type RentedMachine } from './cloud.js';
import type { RequestHandler } from './network.js';
import { Store, type StoreLimits } from './store.js';
import type { TaskEnvironment } from './worker-tasks.js';
import { Worker } from './worker.js';

/** The ports, limits and callbacks of the simulated services. */
export interface LoopbackServicesOptions {
  /** The workers' ports count up from `workers`. */
  readonly ports: { store: number; cloud: number; api: number; cluster: number; workers: number };
  readonly machineTypes: readonly MachineType[];
  /** The most machines of each combination of type, zone and price model. */
  readonly capacity: number;
  readonly storeLimits: StoreLimits;
  /** The requests per second to the cloud that the controller's settings allow. */
  readonly cloudRequestRate: number;
  readonly taskEnvironment: TaskEnvironment;
  readonly onMachineBooted?: (machine: RentedMachine) => void;
  readonly onMachineEnded?: (machine: RentedMachine) => void;
}

/** A worker and its HTTP server. */
export interface ServedWorker {
  readonly worker: Worker;
  readonly server: http.Server;
}

const HEARTBEAT_INTERVAL_MS = 3000;
const LEASE_MS = 24_000;
const LIST_LAG_MS = 3000;
/** Longer than any pause between two requests of a controller. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000;

/** The time that passes. */
export const realTime: TimeSource = {
  get now() {
    return performance.now();
  },
  after: (delay, run) => systemClock.after(ms(delay), run),
};

/** Responds to an HTTP request with the CBOR response of a handler. */
async function respond(
  handler: RequestHandler,
  clientName: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const body = await readBody(request, MAX_BODY_BYTES);
  const { status, body: responseBody } = await handler(
    request.method ?? 'GET',
    request.url ?? '/',
    body && body.length > 0 ? decode(body) : undefined,
    clientName,
  );
  response.writeHead(status, { 'content-type': 'application/cbor' });
  response.end(encode(responseBody ?? {}));
}

/** Serves a handler on loopback; `clientName` names the sender of all requests. */
export function serve(
  port: number,
  handler: RequestHandler,
  clientName = 'node-0',
  host = '127.0.0.1',
): http.Server {
  const server = http.createServer(
    { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS },
    (request, response) => {
      respond(handler, clientName, request, response).catch((error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        response.writeHead(500).end();
      });
    },
  );
  return server.listen(port, host);
}

/** The store, the cloud and the workers as HTTP servers. */
export class LoopbackServices {
  readonly store: Store;
  readonly cloud: Cloud;
  /** The running workers by machine id. */
  readonly workers = new Map<string, ServedWorker>();
  private readonly client = new PooledHttpClient(4000, 4, 4);

  constructor(private readonly options: LoopbackServicesOptions) {
    const { ports, machineTypes, capacity } = options;
    this.store = new Store(realTime, options.storeLimits);
    this.cloud = new Cloud({
      time: realTime,
      random: Math.random,
      machineTypes,
      listLagMs: LIST_LAG_MS,
      lifecycle: {
        onBoot: (machine) => this.startWorker(machine),
        onEnd: (machine) => this.endWorker(machine),
      },
      addressOf: (n) => `127.0.0.1:${ports.workers + n}`,
    });
    this.cloud.capacityPerOffer = capacity;
    serve(ports.store, (method, path, body, from) => this.store.handle(method, path, body, from));
    serve(ports.cloud, (method, path, body) => this.cloud.handle(method, path, body));
  }

  /** The settings file of the controller that uses these services. */
  settingsFile(): object {
    const { ports, storeLimits, machineTypes, cloudRequestRate } = this.options;
    const file = settingsFile(0, [...new Set(machineTypes.flatMap(({ zones }) => zones))]);
    return {
      ...file,
      api_addr: `127.0.0.1:${ports.api}`,
      cluster_listen: `127.0.0.1:${ports.cluster}`,
      others: [],
      endpoints: { cloud: `127.0.0.1:${ports.cloud}`, state: `127.0.0.1:${ports.store}` },
      params: {
        ...file.params,
        nodes: 1,
        teams: [{ name: 'vision', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
        state: {
          rps: storeLimits.requestRate,
          write_rps: storeLimits.writeRate,
          value_kb: storeLimits.valueBytes / 1024,
          txn_ops: storeLimits.transactionOps,
        },
        cloud: { rps: cloudRequestRate, list_lag_s: LIST_LAG_MS / 1000 },
      },
    };
  }

  /** Kills all workers, so that they send nothing more. */
  killWorkers(): void {
    for (const { worker } of this.workers.values()) worker.kill();
  }

  private startWorker(machine: RentedMachine): void {
    const { ports, taskEnvironment } = this.options;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers: [{ name: 'node-0', address: `127.0.0.1:${ports.api}` }],
      http: this.client,
      clock: systemClock,
      random: Math.random,
      times: { heartbeatMs: HEARTBEAT_INTERVAL_MS, leaseMs: LEASE_MS },
      taskEnvironment,
    });
    const port = Number(machine.address.split(':')[1]);
    const server = serve(port, (method, path, body) => worker.handle(method, path, body));
    this.workers.set(machine.id, { worker, server });
    this.options.onMachineBooted?.(machine);
  }

  private endWorker(machine: RentedMachine): void {
    const servedWorker = this.workers.get(machine.id);
    servedWorker?.worker.kill();
    servedWorker?.server.close();
    this.workers.delete(machine.id);
    this.options.onMachineEnded?.(machine);
  }
}
