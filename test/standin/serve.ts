import http from 'node:http';
import { mkdirSync, writeFileSync } from 'node:fs';
import { pipeline } from 'node:stream/promises';
import { Gather, NodeHttpClient } from '../../src/net/http.js';
import { systemClock } from '../../src/units/system.js';
import { ms } from '../../src/units/index.js';
import { MAX_BODY, decode, encode, type Flavor } from '../../src/wire/index.js';
import { settingsFile } from '../support/settings.js';
import { Cloud, type Rented } from './cloud.js';
import type { Handler } from './network.js';
import { StateService } from './state.js';
import { Worker } from './worker.js';

/** The quick start: the stand-ins on loopback, in real time, and a settings file for one controller. */
const PORTS = { state: 12379, cloud: 18443, api: 18080, cluster: 18081, workers: 19000 };
const DIR = 'target/quickstart';

const time = {
  get now() {
    return performance.now();
  },
  after: (delay: number, run: () => void) => systemClock.after(ms(delay), run),
};

function serve(port: number, handler: Handler): http.Server {
  const server = http.createServer((req, res) => {
    const gather = new Gather(MAX_BODY);
    void pipeline(req, gather)
      .then(async () => {
        const body = gather.body();
        const a = await handler(
          req.method ?? 'GET',
          req.url ?? '/',
          body.length > 0 ? decode(body) : undefined,
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

const flavor: Flavor = {
  name: 'small',
  vcpus: 8,
  gpus: 0,
  ram_gb: 32,
  cache_gb: 20,
  fetch_gb_per_s: 1,
  rate: 0.4,
  spot_price: 0.15,
  ready_s: 2,
  halls: ['a'],
};
const client = new NodeHttpClient(4, 4);
const running = new Map<string, { worker: Worker; server: http.Server }>();
const completed = new Set<string>();

function boot(m: Rented): void {
  const worker = new Worker(
    m,
    flavor.vcpus,
    [{ name: 'node-0', addr: `127.0.0.1:${PORTS.api}` }],
    client,
    systemClock,
    Math.random,
    { reportMs: 3000, leaseMs: 24_000 },
    {
      // The stand-in workers run every task for three seconds, whatever it asks for.
      facts: () => ({ vcpus: 0, ramGb: 0, runMs: 3000, fetchMs: 1000, image: 'any' }),
      started: (machine, entry) => console.log(`${machine}: ${entry} runs`),
      left: (machine, entry) => console.log(`${machine}: ${entry} has ended`),
      completed: (entry) => completed.add(entry),
      isCompleted: (entry) => completed.has(entry),
    },
  );
  const port = Number(m.addr.split(':')[1]);
  const server = serve(port, (method, path, body) => worker.handle(method, path, body));
  running.set(m.id, { worker, server });
  console.log(`${m.id} is up`);
}

function gone(m: Rented): void {
  const r = running.get(m.id);
  r?.worker.kill();
  r?.server.close();
  running.delete(m.id);
  console.log(`${m.id} is gone`);
}

const file = settingsFile(0, ['a']);
const settings = {
  ...file,
  api_addr: `127.0.0.1:${PORTS.api}`,
  cluster_listen: `127.0.0.1:${PORTS.cluster}`,
  others: [],
  endpoints: { cloud: `127.0.0.1:${PORTS.cloud}`, state: `127.0.0.1:${PORTS.state}` },
  params: { ...file.params, nodes: 1 },
};
const state = new StateService(time, { rps: 80, writeRps: 15, valueBytes: 8192, txnOps: 8 });
const cloud = new Cloud(
  time,
  Math.random,
  [flavor],
  3000,
  boot,
  gone,
  (n) => `127.0.0.1:${PORTS.workers + n}`,
);
serve(PORTS.state, (method, path, body, from) => state.handle(method, path, body, from));
serve(PORTS.cloud, (method, path, body) => cloud.handle(method, path, body));
mkdirSync(DIR, { recursive: true });
writeFileSync(`${DIR}/node-0.json`, JSON.stringify(settings, null, 2));
console.log(`stand-ins are up; settings for a controller are in ${DIR}/node-0.json`);
