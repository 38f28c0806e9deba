/**
 * Real controller processes on loopback with simulated store, cloud, workers, users and load balancer in this process,
 * and the methods that inject faults. The invariants are checked from outside.
 */
import { mkdirSync } from 'node:fs';
import type http from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parseSettings, type Settings } from '../../../src/config/settings.js';
import { PooledHttpClient } from '../../../src/net/pooled-http-client.js';
import { Endpoint, ms, type Random } from '../../../src/units/index.js';
import { CONTROLLERS } from '../cluster-settings.js';
import { InvariantChecker } from '../invariant-checker.js';
import { LoadBalancer } from '../load-balancer.js';
import { serve } from '../loopback-services.js';
import { Store } from '../store.js';
import { TaskRegistry } from '../task-registry.js';
import { Users, isFinished, type UserJob } from '../users.js';
import { ControllerProcess } from './controller-process.js';
import { SoakNetwork } from './soak-network.js';
import { StoppableTime } from './stoppable-time.js';
import { StoreLink } from './store-link.js';
import type { TcpProxy } from './tcp-proxy.js';
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

/** Three real controllers and all that they use. */
export class SoakCluster {
  readonly time = new StoppableTime();
  readonly random: Random;
  readonly store: Store;
  readonly users: Users;
  readonly fleet: WorkerFleet;
  readonly jobs = new Map<string, UserJob>();
  readonly controllers: readonly SoakController[];
  private readonly settings: Settings;
  private readonly tasks: TaskRegistry;
  private readonly invariants: InvariantChecker;
  private readonly client = new PooledHttpClient(MAX_SOCKETS, MAX_SOCKETS, 64);
  private readonly servers: http.Server[] = [];
  private isClosed = false;

  /** Creates a cluster on free ports. Its processes are not started yet. */
  static async create(options: SoakClusterOptions): Promise<SoakCluster> {
    mkdirSync(options.folder, { recursive: true });
    return new SoakCluster(options, await SoakNetwork.create());
  }

  private constructor(
    private readonly options: SoakClusterOptions,
    private readonly network: SoakNetwork,
  ) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.settings = parseSettings(network.settingsOf(0, this.maxCpus));
    this.store = new Store(this.time, STORE_LIMITS);
    this.tasks = new TaskRegistry(this.jobs, {
      onTaskStarted: (machine, task, others) => this.invariants.checkStart(machine, task, others),
      onJobCompleted: () => undefined,
    });
    this.controllers = CONTROLLERS.map((index) => this.createController(index));
    this.fleet = this.createFleet();
    const { cloud } = this.fleet;
    this.serve(network.cloudPort, (method, path, body) => cloud.handle(method, path, body));
    this.users = this.createUsers();
    this.invariants = new InvariantChecker({
      time: this.time,
      settings: this.settings,
      jobs: this.jobs,
      tasks: this.tasks,
      users: this.users,
      cloud,
      workers: this.fleet.workers,
    });
  }

  private get maxCpus(): number {
    return this.options.workers * MAX_CPUS_PER_WORKER;
  }

  private serve(...args: Parameters<typeof serve>): void {
    this.servers.push(serve(...args));
  }

  private createController(index: number): SoakController {
    const { network } = this;
    const { command, folder } = this.options;
    const name = `node-${index}`;
    const storeLink = new StoreLink(this.store, this.random, this.time);
    this.serve(network.portsOf(index).store, storeLink.handle.bind(storeLink), name);
    const process = new ControllerProcess(
      command,
      `${folder}/${name}.json`,
      network.settingsOf(index, this.maxCpus),
      `${folder}/${name}.log`,
      {
        onErrorLogged: (line) => this.report('log', line),
        onEnded: (reason) => this.report('ended', `${name} ended by itself: ${reason}`),
      },
    );
    const peers = CONTROLLERS.filter((other) => other !== index);
    const peerLinks = new Map(peers.map((peer) => [peer, network.linkBetween(index, peer)]));
    return { process, apiEndpoint: Endpoint(network.apiAddressOf(index)), storeLink, peerLinks };
  }

  private createFleet(): WorkerFleet {
    const { network, random, settings, tasks, time } = this;
    const { heartbeatInterval, lease } = settings.workers;
    return new WorkerFleet({
      time,
      port: network.workerPort,
      workerCount: this.options.workers,
      controllers: CONTROLLERS.map((index) => ({
        name: `node-${index}`,
        address: network.apiAddressOf(index),
      })),
      times: { heartbeatMs: heartbeatInterval, leaseMs: lease },
      taskEnvironment: tasks,
      random,
    });
  }

  private createUsers(): Users {
    const { jobs, random, time } = this;
    const probe = (index: number): Promise<boolean> => this.probe(index);
    return new Users({
      time,
      random,
      createClient: () => this.client,
      endpointOf: (index) => this.endpointOf(index),
      loadBalancer: new LoadBalancer(time, random, CONTROLLERS.length, probe),
      jobs,
      processOf: (index) => this.controllers[index]?.process.process,
      onTaskCompleted: (task) => this.tasks.onTaskCompleted(task),
      onViolation: (rule, detail) => this.report(rule, detail),
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
    this.time.stop();
    for (const { process } of this.controllers) process.close();
    this.network.close();
    this.fleet.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
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
