/** The stand-ins on loopback, in real time, for one controller that runs as a process of its own. */
import http from 'node:http';
import { readBody } from '../../src/net/body.js';
import { NodeHttpClient } from '../../src/net/client.js';
import { systemClock } from '../../src/units/system.js';
import { ms } from '../../src/units/index.js';
import { MAX_BODY, decode, encode, type MachineType } from '../../src/wire/index.js';
import { settingsFile } from '../support/settings.js';
import type { TimeSource } from './clock.js';
import { Cloud, type RentedMachine } from './cloud.js';
import type { RequestHandler } from './network.js';
import { Store, type StoreLimits } from './store.js';
import type { TaskEnvironment } from './worker-tasks.js';
import { Worker } from './worker.js';

/** What the stand-ins are to be like. */
export interface LoopbackServicesOptions {
  /** `workers`: those of machines count up from this one. */
  readonly ports: { store: number; cloud: number; api: number; cluster: number; workers: number };
  readonly machineTypes: readonly MachineType[];
  /** Machines that may be rented of each type, zone and price model. */
  readonly capacity: number;
  readonly storeLimits: StoreLimits;
  /** The requests to the cloud that the settings allow, per second. */
  readonly cloudRequestRate: number;
  readonly taskEnvironment: TaskEnvironment;
  readonly onMachineBooted?: (machine: RentedMachine) => void;
  readonly onMachineEnded?: (machine: RentedMachine) => void;
}

/** A worker and the server that takes its requests. */
export interface ServedWorker {
  readonly worker: Worker;
  readonly server: http.Server;
}

const HEARTBEAT_INTERVAL_MS = 3000;
const LEASE_MS = 24_000;
const LIST_LAG_MS = 3000;
/** Longer than any pause between the requests of a controller. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000;

const realTime: TimeSource = {
  get now() {
    return performance.now();
  },
  after: (delay, run) => systemClock.after(ms(delay), run),
};

async function respond(
  handler: RequestHandler,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const body = await readBody(request, MAX_BODY);
  const { status, body: answered } = await handler(
    request.method ?? 'GET',
    request.url ?? '/',
    body && body.length > 0 ? decode(body) : undefined,
    'node-0',
  );
  response.writeHead(status, { 'content-type': 'application/cbor' });
  response.end(encode(answered ?? {}));
}

function serve(port: number, handler: RequestHandler): http.Server {
  const server = http.createServer(
    { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS },
    (request, response) => {
      respond(handler, request, response).catch((error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        response.writeHead(500).end();
      });
    },
  );
  return server.listen(port, '127.0.0.1');
}

/** State service, cloud and workers. */
export class LoopbackServices {
  readonly store: Store;
  readonly cloud: Cloud;
  /** The workers that are up, by the ids of their machines. */
  readonly workers = new Map<string, ServedWorker>();
  private readonly client = new NodeHttpClient(4000, 4, 4);

  constructor(private readonly options: LoopbackServicesOptions) {
    const { ports, machineTypes, capacity } = options;
    this.store = new Store(realTime, options.storeLimits);
    this.cloud = new Cloud({
      time: realTime,
      random: Math.random,
      machineTypes,
      listLagMs: LIST_LAG_MS,
      lifecycle: {
        onBoot: (machine) => this.boot(machine),
        onEnd: (machine) => this.end(machine),
      },
      addressOf: (n) => `127.0.0.1:${ports.workers + n}`,
    });
    this.cloud.capacityPerOffer = capacity;
    serve(ports.store, (method, path, body, from) => this.store.handle(method, path, body, from));
    serve(ports.cloud, (method, path, body) => this.cloud.handle(method, path, body));
  }

  /** The settings file of the controller that these stand-ins are for. */
  settingsFile(): object {
    const { ports, storeLimits: state, machineTypes, cloudRequestRate: cloudRate } = this.options;
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
          rps: state.requestRate,
          write_rps: state.writeRate,
          value_kb: state.valueBytes / 1024,
          txn_ops: state.transactionOps,
        },
        cloud: { rps: cloudRate, list_lag_s: LIST_LAG_MS / 1000 },
      },
    };
  }

  /** Ends all workers, so that nothing is sent any more. */
  killWorkers(): void {
    for (const { worker } of this.workers.values()) worker.kill();
  }

  private boot(machine: RentedMachine): void {
    const { ports, taskEnvironment: tasks } = this.options;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType)?.cpus ?? 0,
      controllers: [{ name: 'node-0', address: `127.0.0.1:${ports.api}` }],
      http: this.client,
      clock: systemClock,
      random: Math.random,
      times: { heartbeatMs: HEARTBEAT_INTERVAL_MS, leaseMs: LEASE_MS },
      taskEnvironment: tasks,
    });
    const port = Number(machine.address.split(':')[1]);
    const server = serve(port, (method, path, body) => worker.handle(method, path, body));
    this.workers.set(machine.id, { worker, server });
    this.options.onMachineBooted?.(machine);
  }

  private end(machine: RentedMachine): void {
    const served = this.workers.get(machine.id);
    served?.worker.kill();
    served?.server.close();
    this.workers.delete(machine.id);
    this.options.onMachineEnded?.(machine);
  }
}
