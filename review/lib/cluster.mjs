/**
 * A small deployment on loopback for the cases of this folder: real controller processes, started with the command of
 * deploy/service.toml, and the project's stand-ins for store, cloud and workers in this process. Each controller has
 * ports of its own for store and cloud, so that the record tells who sent a request.
 */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { PooledHttpClient } from '../../target/test/src/net/pooled-http-client.js';
import { systemClock } from '../../target/test/src/units/system-clock.js';
import { Cloud } from '../../target/test/test/standin/cloud.js';
import { realTime, serve } from '../../target/test/test/standin/loopback-services.js';
import { Store } from '../../target/test/test/standin/store.js';
import { Worker } from '../../target/test/test/standin/worker.js';

export { sleep };

/** Whether the disruption of the case takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

const SERVICE_FILE = new URL('../../deploy/service.toml', import.meta.url);
const ROOT = new URL('../../', import.meta.url);
const MAX_SOCKETS = 4000;

/** Ports are taken from below the range that the system uses for outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Finds `count` free ports of the loopback address. */
async function freePorts(count) {
  const servers = new Map();
  while (servers.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (servers.has(port)) continue;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (isFree) servers.set(port, server);
  }
  const ports = [...servers.keys()];
  const closed = [...servers.values()].map(
    (server) => new Promise((resolve) => server.close(resolve)),
  );
  await Promise.all(closed);
  return ports;
}

/** Collects the lines of record.txt, which is written when the case ends. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = realTime.now;
    this.lines = [];
  }

  /** Seconds since the start of the case. */
  get seconds() {
    return (realTime.now - this.startedAt) / 1000;
  }

  add(text) {
    this.lines.push(`${this.seconds.toFixed(3).padStart(8)}  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Three controllers and all that they use. */
export class Cluster {
  /**
   * `options`: `record`; `settings`, `machineTypes`, `storeLatencyMs` and `cloudLatencyMs` of the site; `capacity`, the
   * machines of each type, zone and kind; `tasks`, the environment of the workers' tasks; and the optional hooks
   * `onCloudRequest`, `onStoreResponse` and `onWorkerRequest`, which see requests and may delay the answers of the state
   * service, and `firstControllerOf`, the index of the controller to which a new worker reports.
   */
  static async create(options) {
    const { settings } = options;
    const ports = await freePorts(settings.controllers * 4 + 1);
    return new Cluster(options, ports);
  }

  constructor(options, ports) {
    this.options = options;
    this.record = options.record;
    this.folder = mkdtempSync(join(tmpdir(), 'topazpin-review-'));
    this.client = new PooledHttpClient(MAX_SOCKETS, 16, 16);
    this.servers = [];
    this.workers = new Map();
    const { state } = options.settings;
    this.store = new Store(realTime, {
      requestRate: state.rps,
      writeRate: state.write_rps,
      valueBytes: state.value_kb * 1024,
      transactionOps: state.txn_ops,
    });
    this.workerPort = ports.at(-1);
    this.controllers = Array.from({ length: options.settings.controllers }, (_, index) => {
      const [api, peers, store, cloud] = ports.slice(4 * index, 4 * index + 4);
      return { name: `worker-${index}`, index, api, peers, store, cloud, child: undefined };
    });
    this.cloud = new Cloud({
      time: realTime,
      random: Math.random,
      machineTypes: options.machineTypes,
      listLagMs: options.settings.cloud.list_lag_s * 1000,
      lifecycle: {
        onBoot: (machine) => this.startWorker(machine),
        onEnd: (machine) => this.endWorker(machine),
      },
      addressOf: (n) => `127.1.${n >> 8}.${n & 255}:${this.workerPort}`,
    });
    this.cloud.capacityPerOffer = options.capacity;
    this.cloud.bootFailureShare = 0;
    for (const controller of this.controllers) this.serveController(controller);
  }

  serveController(controller) {
    const { name } = controller;
    this.servers.push(
      serve(
        controller.store,
        (method, path, body, from) => this.handleStoreRequest(controller, method, path, body, from),
        name,
      ),
      serve(controller.cloud, (method, path, body) =>
        this.handleCloudRequest(controller, method, path, body),
      ),
    );
  }

  async handleStoreRequest(controller, method, path, body, from) {
    const response = await this.store.handle(method, path, body, from);
    await sleep(this.options.storeLatencyMs);
    await this.options.onStoreResponse?.(controller, { method, path, body }, response);
    return response;
  }

  async handleCloudRequest(controller, method, path, body) {
    const detail = body === undefined ? '' : ` ${JSON.stringify(body)}`;
    this.record.add(`cloud: ${controller.name} sends ${method} ${path}${detail}`);
    this.options.onCloudRequest?.(controller, { method, path, body });
    const response = this.cloud.handle(method, path, body);
    await sleep(this.options.cloudLatencyMs);
    this.record.add(`cloud: ${controller.name} is answered ${response.status}`);
    return response;
  }

  // --- controllers ----------------------------------------------------------------------------------

  settingsOf(controller) {
    const { settings } = this.options;
    const loopback = (port) => `127.0.0.1:${port}`;
    const areaOf = (index) => settings.zones[index % settings.zones.length];
    return {
      node: controller.name,
      area: areaOf(controller.index),
      api_addr: loopback(controller.api),
      cluster_listen: loopback(controller.peers),
      others: this.controllers
        .filter((other) => other !== controller)
        .map((other) => ({
          node: other.name,
          area: areaOf(other.index),
          endpoint: loopback(other.peers),
        })),
      endpoints: { cloud: loopback(controller.cloud), state: loopback(controller.store) },
      params: {
        nodes: settings.controllers,
        zones: settings.zones,
        teams: settings.teams,
        objectives: settings.objectives,
        workers: settings.workers,
        state: settings.state,
        cloud: settings.cloud,
        limits: settings.limits,
        time_bound_ms: 250.0,
      },
    };
  }

  /** Starts a controller with the command of the deploy file. */
  startController(controller) {
    const run = /^run = "(.*)"$/m.exec(readFileSync(SERVICE_FILE, 'utf8'))?.[1];
    if (run === undefined) throw new Error('the deploy file has no command');
    const [program, ...args] = run.split(' ');
    const path = join(this.folder, `${controller.name}.json`);
    writeFileSync(path, JSON.stringify(this.settingsOf(controller)));
    const child = spawn(program, [...args, path], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    controller.child = child;
    child.stderr.resume();
    child.on('exit', () => {
      if (controller.child === child) controller.child = undefined;
    });
    this.record.add(`${controller.name} is started`);
  }

  start() {
    for (const controller of this.controllers) this.startController(controller);
  }

  /** Sends a signal to a controller process that this case started. */
  signal(controller, signal) {
    controller.child?.kill(signal);
    this.record.add(`${controller.name} gets ${signal}`);
  }

  /** The controller that the state service names as the leader, and its token; undefined if there is none. */
  leadership() {
    const { status, body } = this.store.read('leader');
    if (status !== 200) return undefined;
    const controller = this.controllers.find(({ name }) => name === body.data.node);
    return { controller, token: body.stamp };
  }

  /** What runs on a machine and the highest token that its worker has accepted. */
  machineState(id) {
    const worker = this.workers.get(id)?.worker;
    return { id, token: worker?.fencingToken, tasks: worker?.taskNames() ?? [] };
  }

  // --- workers --------------------------------------------------------------------------------------

  startWorker(machine) {
    const { settings, tasks } = this.options;
    const worker = new Worker({
      machine,
      cpus: this.cloud.machineType(machine.machineType).cpus,
      controllers: this.controllers.map(({ name, api }) => ({
        name,
        address: `127.0.0.1:${api}`,
      })),
      http: this.client,
      clock: systemClock,
      random: this.randomOfWorker(machine),
      times: {
        heartbeatMs: settings.workers.report_s * 1000,
        leaseMs: settings.workers.lease_s * 1000,
      },
      taskEnvironment: tasks,
    });
    const [host, port] = machine.address.split(':');
    const server = serve(
      Number(port),
      (method, path, body) => {
        this.options.onWorkerRequest?.(machine, { method, path, body });
        return worker.handle(method, path, body);
      },
      'controller',
      host,
    );
    this.workers.set(machine.id, { worker, machine, server });
    this.record.add(`${machine.id} is up (${machine.machineType}, ${machine.zone})`);
  }

  /** The first number that a worker draws decides to which controller it reports first. */
  randomOfWorker(machine) {
    const index = this.options.firstControllerOf?.(machine);
    if (index === undefined) return Math.random;
    let isFirst = true;
    return () => {
      if (!isFirst) return Math.random();
      isFirst = false;
      return (index + 0.5) / this.controllers.length;
    };
  }

  endWorker(machine) {
    const served = this.workers.get(machine.id);
    this.record.add(
      `${machine.id} is gone; it ran ${served?.worker.taskNames().join(' ') || 'nothing'}`,
    );
    served?.worker.kill();
    served?.server.close();
    served?.server.closeAllConnections();
    this.workers.delete(machine.id);
  }

  // --- users ----------------------------------------------------------------------------------------

  /** Sends a user's request to one controller; undefined without a response. */
  async request(controller, method, path, body, timeout = 5000) {
    const outcome = await this.client.send({
      endpoint: `127.0.0.1:${controller.api}`,
      method,
      path,
      body,
      timeout,
    });
    return outcome.kind === 'response' ? outcome : undefined;
  }

  /** Repeats a user's request at one controller after the other until `isAnswer` accepts a response. */
  async requestUntil(isAnswer, method, path, body, seconds = 30) {
    const end = realTime.now + seconds * 1000;
    for (let i = 0; realTime.now < end; i++) {
      const controller = this.controllers[i % this.controllers.length];
      const response = await this.request(controller, method, path, body);
      const answer = response ? `${response.status} ${JSON.stringify(response.body)}` : 'no answer';
      this.record.add(`user: ${method} ${path} to ${controller.name}: ${answer}`);
      if (response && isAnswer(response)) return response;
      await sleep(1000);
    }
    throw new Error(`no answer to ${method} ${path}`);
  }

  /** Ends all processes and servers of this cluster. */
  close() {
    for (const controller of this.controllers) {
      const { child } = controller;
      controller.child = undefined;
      child?.kill('SIGKILL');
    }
    for (const { worker } of this.workers.values()) worker.kill();
    for (const server of this.servers) server.closeAllConnections();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Waits until a condition holds; throws after `seconds`. */
export async function until(what, condition, seconds) {
  const end = realTime.now + seconds * 1000;
  while (realTime.now < end) {
    const value = await condition();
    if (value) return value;
    await sleep(50);
  }
  throw new Error(`not within ${seconds} s: ${what}`);
}

/** The tasks of the case: what they need and where they are. */
export class Tasks {
  constructor(record) {
    this.record = record;
    this.jobs = new Map();
    this.machines = new Map();
    this.completed = new Set();
    this.starts = [];
  }

  /** Adds a job; `runMs` is how long each of its tasks runs. */
  add(submission, runMs) {
    this.jobs.set(submission.name_id, { submission, runMs });
  }

  machinesOf(task) {
    return this.machines.get(task) ?? new Set();
  }

  propertiesOf(task) {
    const job = this.jobs.get(task.split('/')[0]);
    if (!job) return undefined;
    const { vcpus, bundle, size_gb: sizeGb } = job.submission;
    return { cpus: vcpus, runMs: job.runMs, fetchMs: sizeGb * 1000, image: bundle };
  }

  onTaskStarted(machine, task) {
    const machines = this.machinesOf(task);
    this.starts.push({ task, machine, at: realTime.now, others: [...machines] });
    this.record.add(`${task} runs on ${machine}`);
    this.machines.set(task, new Set([...machines, machine]));
    this.onStarted?.(machine, task);
  }

  onTaskLeft(machine, task) {
    this.machinesOf(task).delete(machine);
    this.record.add(`${task} has left ${machine}`);
  }

  onTaskCompleted(task) {
    this.completed.add(task);
    this.record.add(`${task} is done`);
  }

  isCompleted(task) {
    return this.completed.has(task);
  }
}

/** The exit status if a rule was broken. Node itself exits with 1 if a script can't be loaded. */
const BROKEN_STATUS = 10;

/**
 * Runs a case: `play` returns a list of broken rules. Writes record.txt and exits with `BROKEN_STATUS` if a rule was
 * broken, with 0 if all held, and with 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  let cluster;
  const end = (status) => {
    cluster?.close();
    record.write();
    process.exit(status);
  };
  const fail = (error) => {
    record.add(`the case could not run: ${error.stack}`);
    process.stderr.write(`could not run: ${error.message}\n`);
    end(2);
  };
  process.once('uncaughtException', fail);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => fail(new Error(`ended by ${signal}`)));
  try {
    const broken = await play(record, (created) => (cluster = created));
    for (const line of broken) record.add(`BROKEN: ${line}`);
    record.add(broken.length > 0 ? 'result: the rule was broken' : 'result: the rule held');
    process.stdout.write(`${broken.length > 0 ? `broken: ${broken[0]}` : 'held'}\n`);
    end(broken.length > 0 ? BROKEN_STATUS : 0);
  } catch (error) {
    fail(error);
  }
}
