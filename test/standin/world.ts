/**
 * A world: three whole controllers among the stand-ins, on a virtual clock and by the luck of one seed, with
 * the rules checked as they run. What happens in it is in the files of its parts.
 */
import { pino, type Logger } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ms, type Random } from '../../src/units/index.js';
import { Balancer } from './balancer.js';
import type { Build } from './build.js';
import { ProcessClock, VirtualTime } from './clock.js';
import type { Cloud } from './cloud.js';
import { Controllers } from './controllers.js';
import { Faults } from './faults.js';
import { Judge } from './judge.js';
import { Machines, type WorkerOnMachine } from './machines.js';
import { Network, REGION } from './network.js';
import { CLOUD_ADDRESS, NODES, Platform, STATE_ADDRESS, type PlatformOptions } from './platform.js';
import { presentBuild } from './present-build.js';
import { StateService } from './state.js';
import { Tasks } from './tasks.js';
import { Users, isOver, type UserJob } from './users.js';

/** What a world is made of. */
export interface WorldOptions extends PlatformOptions {
  readonly seed: number;
  /** The share of requests, and of answers, that are lost. */
  readonly lossShare?: number;
  /** The version that all controllers run until they are upgraded; without it, this one. */
  readonly build?: Build;
}

const PROBE_TIMEOUT = ms(1000);
const LOG_LEVEL_ERROR = 50;
/** Users cancel several jobs within so many milliseconds. */
const CANCEL_SPREAD = 200;
const MAX_HUNG_BY_CANCELLATION = 8;

/** A log whose errors are passed on; all of it goes to stderr if SIM_LOG names a level. */
function createLog(time: VirtualTime, onError: (line: string) => void): Logger {
  return pino(
    { level: process.env.SIM_LOG ?? 'error' },
    {
      write: (line) => {
        if ((JSON.parse(line) as { level: number }).level >= LOG_LEVEL_ERROR) onError(line);
        if (process.env.SIM_LOG) process.stderr.write(`${Math.round(time.now)} ${line}`);
      },
    },
  );
}

/** The world. */
export class World {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly network: Network;
  readonly state: StateService;
  readonly users: Users;
  readonly jobs: ReadonlyMap<string, UserJob>;
  /** Of the jobs that end, such a share is cancelled at that very moment. */
  cancelAtEndShare = 0;
  private readonly platform: Platform;
  private readonly controllers: Controllers;
  private readonly machines: Machines;
  private readonly tasks: Tasks;
  private readonly faults: Faults;
  private readonly judge: Judge;

  constructor(options: WorldOptions) {
    const { time } = this;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const jobs = new Map<string, UserJob>();
    const platform = new Platform(options);
    const settings = platform.settingsOf(0);
    const network = new Network(time, random);
    network.lossShare = options.lossShare ?? 0;
    this.random = random;
    this.jobs = jobs;
    this.platform = platform;
    this.network = network;
    this.state = new StateService(time, settings.storeLimits);
    this.tasks = new Tasks(jobs, {
      onStarted: (machine, task, others) => this.judge.checkStart(machine, task, others),
      onJobCompleted: (job) => this.cancelByChance(job),
    });
    this.machines = new Machines({ time, random, network, platform, tasks: this.tasks });
    this.faults = new Faults({ random, network, platform });
    this.attachServices();
    // What goes wrong inside must not stay unseen behind rules that hold.
    const log = createLog(time, (line) => this.judge.violations.push(`log: ${line}`));
    this.controllers = new Controllers(
      { time, random, network, platform, log },
      options.build ?? presentBuild,
    );
    for (const node of NODES) this.controllers.start(node);
    this.users = new Users({
      time,
      random,
      network,
      balancer: this.createBalancer(),
      zones: platform.zones,
      jobs,
      processOf: (node) => this.controllers.processOf(node),
      onTaskCompleted: (task) => this.tasks.onTaskCompleted(task),
      onViolation: (rule, detail) => this.judge.report(rule, detail),
    });
    const { tasks, users, cloud, workers } = this;
    this.judge = new Judge({ time, settings, jobs, tasks, users, cloud, workers });
    this.judge.start();
  }

  private attachServices(): void {
    const { state, cloud } = this;
    this.network.attach(STATE_ADDRESS, REGION, (method, path, body, from) =>
      state.handle(method, path, body, from),
    );
    this.network.attach(CLOUD_ADDRESS, REGION, (method, path, body) =>
      cloud.handle(method, path, body),
    );
  }

  private createBalancer(): Balancer {
    const clock = new ProcessClock(this.time, 0, 0);
    return new Balancer(this.time, this.random, NODES.length, async (node) => {
      const { apiEndpoint: endpoint } = this.platform.settingsOf(node);
      const client = this.network.client('balancer', REGION, clock);
      const outcome = await client.send({
        endpoint,
        method: 'GET',
        path: '/up',
        timeout: PROBE_TIMEOUT,
      });
      return outcome.kind === 'response' && outcome.status === 200;
    });
  }

  /** Lets so many milliseconds pass. */
  async run(forMs: number): Promise<void> {
    await this.time.run(this.time.now + forMs);
  }

  // --- what has happened ----------------------------------------------------------------------------

  /** The rules that were violated so far. */
  get violations(): readonly string[] {
    return this.judge.violations;
  }

  /** How many tasks were started so far. */
  get starts(): number {
    return this.tasks.starts;
  }

  get cloud(): Cloud {
    return this.machines.cloud;
  }

  /** The workers that are up, by the ids of their machines. */
  get workers(): ReadonlyMap<string, WorkerOnMachine> {
    return this.machines.workers;
  }

  /** The machines that hold a task of a job, with its image or not yet. */
  machinesHolding(job: string): string[] {
    return [...this.workers]
      .filter(([, { worker }]) => worker.taskNames().some((task) => task.startsWith(`${job}/`)))
      .map(([id]) => id);
  }

  /** The machines that a job's tasks are on, with their image. */
  machinesOf(job: string): string[] {
    return this.tasks.machinesOf(job);
  }

  /** All faults are over. */
  declareCalm(): void {
    this.judge.declareCalm();
  }

  get isCalm(): boolean {
    return this.judge.isCalm;
  }

  // --- controllers ----------------------------------------------------------------------------------

  /** Starts the controller of a node, unless it runs. */
  startNode(node: number): void {
    this.controllers.start(node);
  }

  /** Ends a controller's process without a signal. */
  killNode(node: number): void {
    this.controllers.kill(node);
  }

  /** Freezes a controller's process, or lets it go on. */
  freezeNode(node: number, isFrozen: boolean): void {
    this.controllers.freeze(node, isFrozen);
  }

  /** Ends a controller's process and starts it with this version after a while. */
  upgradeNode(node: number, downMs: number): void {
    this.controllers.upgrade(node, downMs);
  }

  /** The node that leads at this moment. */
  leaderNode(): number | undefined {
    return this.controllers.leader();
  }

  // --- machines -------------------------------------------------------------------------------------

  /** Rents machines before any controller asks for one. */
  provideMachines(count: number): void {
    this.machines.provide(count);
  }

  /** Lets a machine hang, or go on. */
  hangWorker(id: string, isHung: boolean): void {
    this.machines.hang(id, isHung);
  }

  /** A worker is gone and back at once, with nothing of what it knew. */
  restartWorker(id: string): void {
    this.machines.restart(id);
  }

  /** A worker's heartbeats arrive, but answers and commands don't reach it. */
  dropIncoming(id: string, isDropped: boolean): void {
    this.machines.dropIncoming(id, isDropped);
  }

  /** A worker's heartbeats reach no controller, while commands still reach it. */
  blockHeartbeats(id: string, isBlocked: boolean): void {
    this.machines.blockHeartbeats(id, isBlocked);
  }

  /** The cloud gives notice that it takes a machine back, and does so. */
  reclaimMachine(id: string, noticeMs: number): void {
    this.machines.reclaim(id, noticeMs);
  }

  // --- faults ---------------------------------------------------------------------------------------

  /** A controller loses the state service and the other controllers, but not workers and users. */
  isolateNode(node: number, isRefused: boolean): void {
    this.faults.isolate(node, isRefused);
  }

  /** Ends the isolation of any controller. */
  reconnectNodes(): void {
    this.faults.reconnect();
  }

  /** Connections between controllers are refused. */
  refusePeers(isRefused: boolean): void {
    this.faults.refusePeers(isRefused);
  }

  /** Requests to the state service, and their answers, take up to so many milliseconds longer. */
  slowStore(maxMs: number): void {
    this.faults.slowStore(maxMs);
  }

  /** Such a share of the transactions gets no answer and is carried out after newer ones. */
  delayWrites(share: number): void {
    this.faults.delayWrites(share);
  }

  /** Of such a share of the messages to controllers and workers a copy arrives late, at any controller. */
  duplicateMessages(share: number): void {
    this.faults.duplicateMessages(share);
  }

  /** The state service takes from now on only what the settings announced. */
  lowerStateLimits(): void {
    const { next } = this.platform.settingsOf(0).storeLimits;
    if (next) this.state.lower(next);
  }

  // --- cancellations --------------------------------------------------------------------------------

  /** Users cancel so many running jobs at about the same time; their machines hang for so long meanwhile. */
  cancelRunning(count: number, hangMs: number): void {
    const running = [...this.jobs].filter(
      ([id, job]) => !isOver(job) && !job.isCancelRequested && this.machinesOf(id).length > 0,
    );
    const hung = new Set<string>();
    for (const [id] of running.slice(0, count)) {
      if (hangMs > 0) {
        for (const machine of this.machinesOf(id)) {
          if (hung.size < MAX_HUNG_BY_CANCELLATION) hung.add(machine);
        }
      }
      this.time.after(this.random() * CANCEL_SPREAD, () => this.users.cancel(id));
    }
    for (const machine of hung) {
      this.hangWorker(machine, true);
      this.time.after(hangMs, () => this.hangWorker(machine, false));
    }
  }

  private cancelByChance(job: UserJob): void {
    if (this.cancelAtEndShare > 0 && this.random() < this.cancelAtEndShare) {
      this.users.cancel(job.spec.id);
    }
  }
}
