import http from 'node:http';
import { readBody } from '../../src/net/body.js';
import { NodeHttpClient } from '../../src/net/client.js';
import { systemClock } from '../../src/units/system.js';
import { ms } from '../../src/units/index.js';
import { MAX_BODY, decode, encode, type MachineType } from '../../src/wire/index.js';
import { settingsFile } from '../support/settings.js';
import { Cloud, type Rented } from './cloud.js';
import type { Handler } from './network.js';
import { StateService, type StateLimits } from './state.js';
import { Worker, type WorkerWorld } from './worker.js';

/** The stand-ins on loopback, in real time, for one controller. */
export interface LoopbackOptions {
  readonly ports: { state: number; cloud: number; api: number; cluster: number; workers: number };
  readonly flavors: readonly MachineType[];
  /** Machines that may be rented of each type, zone and kind. */
  readonly capacity: number;
  readonly state: StateLimits;
  readonly cloudRps: number;
  readonly jobs: WorkerWorld;
  readonly came?: (m: Rented) => void;
  readonly went?: (m: Rented) => void;
}

const time = {
  get now() {
    return performance.now();
  },
  after: (delay: number, run: () => void) => systemClock.after(ms(delay), run),
};

function serve(port: number, handler: Handler): http.Server {
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
    void readBody(req, MAX_BODY)
      .then(async (body) => {
        const a = await handler(
          req.method ?? 'GET',
          req.url ?? '/',
          body && body.length > 0 ? decode(body) : undefined,
          'node-0',
        );
        res.writeHead(a.status, { 'content-type': 'application/cbor' });
        res.end(encode(a.body ?? {}));
      })
      .catch((e: Error) => {
        process.stderr.write(`${e.message}\n`);
        res.writeHead(500).end();
      });
  });
  return server.listen(port, '127.0.0.1');
}

export class Loopback {
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly running = new Map<string, { worker: Worker; server: http.Server }>();
  private readonly client = new NodeHttpClient(4000, 4, 4);

  constructor(private readonly options: LoopbackOptions) {
    const { ports } = options;
    this.state = new StateService(time, options.state);
    this.cloud = new Cloud(
      time,
      Math.random,
      options.flavors,
      3000,
      (m) => this.boot(m),
      (m) => this.gone(m),
      (n) => `127.0.0.1:${ports.workers + n}`,
    );
    this.cloud.capacity = options.capacity;
    serve(ports.state, (method, path, body, from) => this.state.handle(method, path, body, from));
    serve(ports.cloud, (method, path, body) => this.cloud.handle(method, path, body));
  }

  /** The settings of the controller that these stand-ins are for. */
  settings(): unknown {
    const { ports, state, flavors, cloudRps } = this.options;
    const file = settingsFile(0, [...new Set(flavors.flatMap((f) => f.zones))]);
    return {
      ...file,
      api_addr: `127.0.0.1:${ports.api}`,
      cluster_listen: `127.0.0.1:${ports.cluster}`,
      others: [],
      endpoints: { cloud: `127.0.0.1:${ports.cloud}`, state: `127.0.0.1:${ports.state}` },
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
        cloud: { rps: cloudRps, list_lag_s: 3 },
      },
    };
  }

  private boot(m: Rented): void {
    const { ports, jobs } = this.options;
    const worker = new Worker(
      m,
      this.cloud.flavor(m.build)?.cpus ?? 0,
      [{ name: 'node-0', addr: `127.0.0.1:${ports.api}` }],
      this.client,
      systemClock,
      Math.random,
      { reportMs: 3000, leaseMs: 24_000 },
      jobs,
    );
    const port = Number(m.addr.split(':')[1]);
    const server = serve(port, (method, path, body) => worker.handle(method, path, body));
    this.running.set(m.id, { worker, server });
    this.options.came?.(m);
  }

  private gone(m: Rented): void {
    const r = this.running.get(m.id);
    r?.worker.kill();
    r?.server.close();
    this.running.delete(m.id);
    this.options.went?.(m);
  }
}
