/**
 * Real controller processes on loopback with simulated store, cloud, workers, users and load balancer in this process,
 * and the methods that inject faults. The invariants are checked from outside.
 */
import { randomInt } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import net from 'node:net';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parseSettings } from '../../../src/config/settings.js';
import { PooledHttpClient } from '../../../src/net/pooled-http-client.js';
import { Endpoint, ms, type Random } from '../../../src/units/index.js';
import { settingsFile } from '../../support/settings-file.js';
import { CONTROLLERS, ZONES } from '../cluster-settings.js';
import { InvariantChecker } from '../invariant-checker.js';
import { LoadBalancer } from '../load-balancer.js';
import { realTime, serve } from '../loopback-services.js';
import { Store } from '../store.js';
import { TaskRegistry } from '../task-registry.js';
import { Users, isFinished, type UserJob } from '../users.js';
import { ControllerProcess } from './controller-process.js';
import { StoreLink } from './store-link.js';
import { TcpProxy } from './tcp-proxy.js';
import { WorkerFleet } from './worker-fleet.js';

const STORE_LIMITS = { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 };
const MAX_CPUS_PER_WORKER = 4;
const PROBE_TIMEOUT = ms(1000);
const POLL_TIMEOUT = ms(2000);
const MAX_SOCKETS = 4000;

/** A controller with its connections to the store and to its peers. */
interface SoakController {
  readonly process: ControllerProcess;
  readonly apiEndpoint: Endpoint;
  readonly storeLink: StoreLink;
  /** The links from this controller to its peers, by the index of the peer. */
  readonly peerLinks: ReadonlyMap<number, TcpProxy>;
}

/** What a soak cluster is created from. */
export interface SoakClusterOptions {
  readonly seed: number;
  readonly workers: number;
  /** The command that starts a controller. */
  readonly command: readonly string[];
  /** The folder for settings and logs. */
  readonly folder: string;
}

/**
 * Ports are drawn from below the range that the system uses for outgoing connections, where a port could be taken again
 * as soon as it was found to be free.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Whether a port is free on loopback. */
function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds ports that are free on loopback. */
async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

/** Three real controllers and all that they use. */
export class SoakCluster {
  readonly random: Random;
  readonly store: Store;
  readonly users: Users;
  readonly fleet: WorkerFleet;
  readonly jobs: ReadonlyMap<string, UserJob>;
  readonly controllers: readonly SoakController[];
  private readonly tasks: TaskRegistry;
  private readonly invariants: InvariantChecker;
  private readonly client = new PooledHttpClient(MAX_SOCKETS, MAX_SOCKETS, 64);
  private isClosed = false;

  /** Creates a cluster on free ports. Its processes are not started yet. */
  static async create(options: SoakClusterOptions): Promise<SoakCluster> {
    const [workerPort = 0, ...ports] = await freePorts(1 + 4 * CONTROLLERS.length);
    mkdirSync(options.folder, { recursive: true });
    const apiPorts = ports.slice(0, 3);
    const peerPorts = ports.slice(3, 6);
    const storePorts = ports.slice(6, 9);
    const cloudPort = ports[9] ?? 0;
    const links = new Map<string, TcpProxy>();
    const linkPorts = new Map<string, number>();
    for (const from of CONTROLLERS) {
      for (const to of CONTROLLERS) {
        if (from === to) continue;
        const link = new TcpProxy(peerPorts[to] ?? 0);
        links.set(`${from}>${to}`, link);
        linkPorts.set(`${from}>${to}`, await link.listen());
      }
    }
    return new SoakCluster(
      options,
      { workerPort, apiPorts, peerPorts, storePorts, cloudPort },
      links,
      linkPorts,
    );
  }

  private constructor(
    options: SoakClusterOptions,
    ports: {
      readonly workerPort: number;
      readonly apiPorts: readonly number[];
      readonly peerPorts: readonly number[];
      readonly storePorts: readonly number[];
      readonly cloudPort: number;
    },
    links: ReadonlyMap<string, TcpProxy>,
    linkPorts: ReadonlyMap<string, number>,
  ) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.store = new Store(realTime, STORE_LIMITS);
    const jobs = new Map<string, UserJob>();
    this.jobs = jobs;
    this.tasks = new TaskRegistry(jobs, {
      onTaskStarted: (machine, task, others) => this.invariants.checkStart(machine, task, others),
      onJobCompleted: () => undefined,
    });
    const maxCpus = options.workers * MAX_CPUS_PER_WORKER;
    const settingsOf = (index: number): object => {
      const file = settingsFile(index, ZONES);
      return {
        ...file,
        api_addr: `127.0.0.1:${ports.apiPorts[index]}`,
        cluster_listen: `127.0.0.1:${ports.peerPorts[index]}`,
        others: file.others.map((other) => {
          const peer = Number(other.node.split('-')[1]);
          return { ...other, endpoint: `127.0.0.1:${linkPorts.get(`${index}>${peer}`)}` };
        }),
        endpoints: {
          cloud: `127.0.0.1:${ports.cloudPort}`,
          state: `127.0.0.1:${ports.storePorts[index]}`,
        },
        params: {
          ...file.params,
          teams: file.params.teams.map((team) => ({ ...team, cpus_max: maxCpus })),
        },
      };
    };
    const settings = parseSettings(settingsOf(0));
    this.controllers = CONTROLLERS.map((index) => {
      const storeLink = new StoreLink(this.store, this.random);
      const name = `node-${index}`;
      serve(ports.storePorts[index] ?? 0, storeLink.handle.bind(storeLink), name);
      return {
        process: new ControllerProcess(
          options.command,
          `${options.folder}/${name}.json`,
          settingsOf(index),
          `${options.folder}/${name}.log`,
          {
            onErrorLogged: (line) => this.report('log', line),
            onEnded: (reason) => this.report('ended', `${name} ended by itself: ${reason}`),
          },
        ),
        apiEndpoint: Endpoint(`127.0.0.1:${ports.apiPorts[index]}`),
        storeLink,
        peerLinks: new Map(
          CONTROLLERS.filter((other) => other !== index).map((other) => [
            other,
            links.get(`${index}>${other}`)!,
          ]),
        ),
      };
    });
    this.fleet = new WorkerFleet({
      port: ports.workerPort,
      workerCount: options.workers,
      controllers: CONTROLLERS.map((index) => ({
        name: `node-${index}`,
        address: `127.0.0.1:${ports.apiPorts[index]}`,
      })),
      times: { heartbeatMs: settings.workers.heartbeatInterval, leaseMs: settings.workers.lease },
      taskEnvironment: this.tasks,
      random: this.random,
    });
    serve(ports.cloudPort, (method, path, body) => this.fleet.cloud.handle(method, path, body));
    this.users = new Users({
      time: realTime,
      random: this.random,
      createClient: () => this.client,
      endpointOf: (index) => this.endpointOf(index),
      loadBalancer: new LoadBalancer(realTime, this.random, CONTROLLERS.length, (index) =>
        this.probe(index),
      ),
      jobs,
      processOf: (index) => this.controllers[index]?.process.process,
      onTaskCompleted: (task) => this.tasks.onTaskCompleted(task),
      onViolation: (rule, detail) => this.report(rule, detail),
    });
    this.invariants = new InvariantChecker({
      time: realTime,
      settings,
      jobs,
      tasks: this.tasks,
      users: this.users,
      cloud: this.fleet.cloud,
      workers: this.fleet.workers,
    });
  }

  /** Starts the controllers and the checks. */
  start(): void {
    for (const { process } of this.controllers) process.start();
    this.invariants.start();
  }

  /** Ends all processes, servers and workers of the cluster. */
  close(): void {
    this.isClosed = true;
    for (const { process, peerLinks } of this.controllers) {
      process.kill();
      for (const link of peerLinks.values()) link.close();
    }
    this.fleet.close();
  }

  /** The violations of invariants so far. */
  get violations(): readonly string[] {
    return this.invariants.violations;
  }

  /** How many tasks have started so far. */
  get startCount(): number {
    return this.tasks.startCount;
  }

  /** Ends all faults. From now on the invariants of a cluster without faults are checked too. */
  heal(): void {
    this.store.setOutage(false);
    this.fleet.cloud.isUnavailable = false;
    for (const [index, { process, storeLink, peerLinks }] of this.controllers.entries()) {
      this.store.setOutageFor(`node-${index}`, false);
      storeLink.isCut = false;
      storeLink.maxDelayMs = 0;
      storeLink.lateWriteShare = 0;
      storeLink.lostResponseShare = 0;
      for (const link of peerLinks.values()) link.setState('open');
      process.setPaused(false);
      process.start();
    }
    this.fleet.heal();
    this.invariants.markFaultsEnded();
  }

  /** Cancels a random unfinished job. */
  cancelRandomJob(): void {
    const unfinished = [...this.jobs].filter(([, job]) => job.isAccepted && !isFinished(job));
    const chosen = unfinished[Math.floor(this.random() * unfinished.length)];
    if (chosen) this.users.cancel(chosen[0]);
  }

  /** Asks all controllers about a random accepted job: none may contradict what its user was told before. */
  async askAllControllers(): Promise<void> {
    const accepted = [...this.jobs].filter(([, job]) => job.isAccepted);
    const chosen = accepted[Math.floor(this.random() * accepted.length)];
    if (!chosen) return;
    const [id, job] = chosen;
    const statusBefore = job.lastStatus;
    const wasFinished = isFinished(job);
    await Promise.all(
      this.controllers.map(async ({ apiEndpoint }) => {
        const path = `/v1/jobs/${id}`;
        const poll = { endpoint: apiEndpoint, method: 'GET' as const, path, timeout: POLL_TIMEOUT };
        const outcome = await this.client.send(poll);
        if (this.isClosed || outcome.kind !== 'response') return;
        if (outcome.status === 404) this.report('forgotten', `${id} is unknown at ${apiEndpoint}`);
        const { status } = (outcome.body ?? {}) as { status?: string };
        if (outcome.status === 200 && wasFinished && status !== statusBefore) {
          this.report('went_back', `${id} was ${statusBefore}, is ${status} at ${apiEndpoint}`);
        }
      }),
    );
  }

  private endpointOf(index: number): Endpoint {
    const endpoint = this.controllers[index]?.apiEndpoint;
    if (endpoint === undefined) throw new RangeError(`there is no controller ${index}`);
    return endpoint;
  }

  private async probe(index: number): Promise<boolean> {
    const endpoint = this.endpointOf(index);
    const request = { endpoint, method: 'GET' as const, path: '/up', timeout: PROBE_TIMEOUT };
    const outcome = await this.client.send(request);
    return outcome.kind === 'response' && outcome.status === 200;
  }

  private report(rule: string, detail: string): void {
    if (!this.isClosed) this.invariants.reportViolation(rule, detail);
  }
}
