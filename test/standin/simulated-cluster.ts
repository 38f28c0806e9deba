/**
 * A world: three whole controllers among the stand-ins, on a virtual clock and by the luck of one seed, with
 * the rules checked as they run. What happens in it is in the files of its parts.
 */
import { pino, type Logger } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ms, type Random } from '../../src/units/index.js';
import { LoadBalancer } from './load-balancer.js';
import type { Build } from './build.js';
import { ProcessClock, VirtualTime } from './clock.js';
import type { Cloud } from './cloud.js';
import { ControllerProcesses } from './controller-processes.js';
import { NetworkFaults } from './network-faults.js';
import { InvariantChecker } from './invariant-checker.js';
import { MachineFleet, type WorkerOnMachine } from './machine-fleet.js';
import { Network, NO_ZONE } from './network.js';
import {
  CLOUD_ADDRESS,
  CONTROLLERS,
  ClusterSettings,
  STORE_ADDRESS,
  type ClusterSettingsOptions,
} from './cluster-settings.js';
import { currentBuild } from './current-build.js';
import { Store } from './store.js';
import { TaskRegistry } from './task-registry.js';
import { Users, isFinished, type UserJob } from './users.js';

/** What a world is made of. */
export interface SimulatedClusterOptions extends ClusterSettingsOptions {
  readonly seed: number;
  /** The share of requests, and of answers, that are lost. */
  readonly lossShare?: number;
  /** The version that all controllers run until they are upgraded; without it, this one. */
  readonly build?: Build;
}

const PROBE_TIMEOUT = ms(1000);
const PINO_LEVEL_ERROR = 50;
/** Users cancel several jobs within so many milliseconds. */
const CANCELLATION_WINDOW_MS = 200;
const MAX_MACHINES_HUNG_BY_CANCELLATION = 8;

/** A log whose errors are passed on; all of it goes to stderr if SIM_LOG names a level. */
function createErrorCollectingLog(time: VirtualTime, onError: (line: string) => void): Logger {
  return pino(
    { level: process.env.SIM_LOG ?? 'error' },
    {
      write: (line) => {
        if ((JSON.parse(line) as { level: number }).level >= PINO_LEVEL_ERROR) onError(line);
        if (process.env.SIM_LOG) process.stderr.write(`${Math.round(time.now)} ${line}`);
      },
    },
  );
}

/** The world. */
export class SimulatedCluster {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly network: Network;
  readonly store: Store;
  readonly users: Users;
  readonly jobs: ReadonlyMap<string, UserJob>;
  /** Of the jobs that end, such a share is cancelled at that very moment. */
  cancelOnCompletionShare = 0;
  private readonly settings: ClusterSettings;
  private readonly controllers: ControllerProcesses;
  private readonly machines: MachineFleet;
  private readonly tasks: TaskRegistry;
  private readonly networkFaults: NetworkFaults;
  private readonly invariants: InvariantChecker;

  constructor(options: SimulatedClusterOptions) {
    const { time } = this;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const jobs = new Map<string, UserJob>();
    const clusterSettings = new ClusterSettings(options);
    const firstSettings = clusterSettings.of(0);
    const network = new Network(time, random);
    network.lossShare = options.lossShare ?? 0;
    this.random = random;
    this.jobs = jobs;
    this.settings = clusterSettings;
    this.network = network;
    this.store = new Store(time, firstSettings.state);
    this.tasks = new TaskRegistry(jobs, {
      onTaskStarted: (machine, task, otherMachines) =>
        this.invariants.checkStart(machine, task, otherMachines),
      onJobCompleted: (job) => this.cancelWithProbability(job),
    });
    this.machines = new MachineFleet({
      time,
      random,
      network,
      settings: clusterSettings,
      taskEnvironment: this.tasks,
    });
    this.networkFaults = new NetworkFaults({ random, network, settings: clusterSettings });
    this.attachExternalServices();
    // What goes wrong inside must not stay unseen behind rules that hold.
    const log = createErrorCollectingLog(time, (line) =>
      this.invariants.violations.push(`log: ${line}`),
    );
    this.controllers = new ControllerProcesses(
      { time, random, network, settings: clusterSettings, log },
      options.build ?? currentBuild,
    );
    for (const controller of CONTROLLERS) this.controllers.start(controller);
    this.users = new Users({
      time,
      random,
      network,
      loadBalancer: this.createLoadBalancer(),
      zones: clusterSettings.zones,
      jobs,
      processOf: (node) => this.controllers.processOf(node),
      onTaskCompleted: (task) => this.tasks.onTaskCompleted(task),
      onViolation: (rule, detail) => this.invariants.reportViolation(rule, detail),
    });
    const { tasks, users, cloud, workers } = this;
    this.invariants = new InvariantChecker({
      time,
      settings: firstSettings,
      jobs,
      tasks,
      users,
      cloud,
      workers,
    });
    this.invariants.start();
  }

  private attachExternalServices(): void {
    const { store, cloud } = this;
    this.network.attach(STORE_ADDRESS, NO_ZONE, (method, path, body, from) =>
      store.handle(method, path, body, from),
    );
    this.network.attach(CLOUD_ADDRESS, NO_ZONE, (method, path, body) =>
      cloud.handle(method, path, body),
    );
  }

  private createLoadBalancer(): LoadBalancer {
    const clock = new ProcessClock(this.time, 0, 0);
    return new LoadBalancer(this.time, this.random, CONTROLLERS.length, async (controller) => {
      const { apiEndpoint: endpoint } = this.settings.of(controller);
      const client = this.network.client('balancer', NO_ZONE, clock);
      const outcome = await client.send({
        endpoint,
        method: 'GET',
        path: '/up',
        timeout: PROBE_TIMEOUT,
      });
      return outcome.kind === 'answer' && outcome.status === 200;
    });
  }

  /** Lets so many milliseconds pass. */
  async run(durationMs: number): Promise<void> {
    await this.time.run(this.time.now + durationMs);
  }

  // --- what has happened ----------------------------------------------------------------------------

  /** The rules that were violated so far. */
  get violations(): readonly string[] {
    return this.invariants.violations;
  }

  /** How many tasks were started so far. */
  get startCount(): number {
    return this.tasks.startCount;
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
  markFaultsEnded(): void {
    this.invariants.markFaultsEnded();
  }

  get haveFaultsEnded(): boolean {
    return this.invariants.haveFaultsEnded;
  }

  // --- controllers ----------------------------------------------------------------------------------

  /** Starts the controller of a node, unless it runs. */
  startController(controller: number): void {
    this.controllers.start(controller);
  }

  /** Ends a controller's process without a signal. */
  killController(controller: number): void {
    this.controllers.kill(controller);
  }

  /** Freezes a controller's process, or lets it go on. */
  setControllerFrozen(controller: number, isFrozen: boolean): void {
    this.controllers.setFrozen(controller, isFrozen);
  }

  /** Ends a controller's process and starts it with this version after a while. */
  upgradeController(controller: number, downMs: number): void {
    this.controllers.upgrade(controller, downMs);
  }

  /** The node that leads at this moment. */
  leader(): number | undefined {
    return this.controllers.leader();
  }

  // --- machines -------------------------------------------------------------------------------------

  /** Rents machines before any controller asks for one. */
  rentMachines(machineCount: number): void {
    this.machines.rent(machineCount);
  }

  /** Lets a machine hang, or go on. */
  setMachineHung(id: string, isHung: boolean): void {
    this.machines.setHung(id, isHung);
  }

  /** A worker is gone and back at once, with nothing of what it knew. */
  restartWorker(id: string): void {
    this.machines.restartWorker(id);
  }

  /** A worker's heartbeats arrive, but answers and commands don't reach it. */
  setIncomingDropped(id: string, isDropped: boolean): void {
    this.machines.setIncomingDropped(id, isDropped);
  }

  /** A worker's heartbeats reach no controller, while commands still reach it. */
  setHeartbeatsBlocked(id: string, isBlocked: boolean): void {
    this.machines.setHeartbeatsBlocked(id, isBlocked);
  }

  /** The cloud gives notice that it takes a machine back, and does so. */
  reclaimMachine(id: string, noticeMs: number): void {
    this.machines.reclaim(id, noticeMs);
  }

  // --- faults ---------------------------------------------------------------------------------------

  /** A controller loses the state service and the other controllers, but not workers and users. */
  isolateController(controller: number, refusesConnections: boolean): void {
    this.networkFaults.isolate(controller, refusesConnections);
  }

  /** Ends the isolation of any controller. */
  reconnectControllers(): void {
    this.networkFaults.reconnect();
  }

  /** Connections between controllers are refused. */
  setPeerConnectionsRefused(isRefused: boolean): void {
    this.networkFaults.setPeerConnectionsRefused(isRefused);
  }

  /** Requests to the state service, and their answers, take up to so many milliseconds longer. */
  setStoreDelay(maxDelayMs: number): void {
    this.networkFaults.setStoreDelay(maxDelayMs);
  }

  /** Such a share of the transactions gets no answer and is carried out after newer ones. */
  setDelayedWriteShare(share: number): void {
    this.networkFaults.setDelayedWriteShare(share);
  }

  /** Of such a share of the messages to controllers and workers a copy arrives late, at any controller. */
  setDuplicateShare(share: number): void {
    this.networkFaults.setDuplicateShare(share);
  }

  /** The state service takes from now on only what the settings announced. */
  applyAnnouncedStoreLimits(): void {
    const { next } = this.settings.of(0).state;
    if (next) this.store.setLimits(next);
  }

  // --- cancellations --------------------------------------------------------------------------------

  /** Users cancel so many running jobs at about the same time; their machines hang for so long meanwhile. */
  cancelRunningJobs(jobCount: number, hangDurationMs: number): void {
    const runningJobs = [...this.jobs].filter(
      ([id, job]) => !isFinished(job) && !job.isCancelRequested && this.machinesOf(id).length > 0,
    );
    const hungMachines = new Set<string>();
    for (const [id] of runningJobs.slice(0, jobCount)) {
      if (hangDurationMs > 0) {
        for (const machine of this.machinesOf(id)) {
          if (hungMachines.size < MAX_MACHINES_HUNG_BY_CANCELLATION) hungMachines.add(machine);
        }
      }
      this.time.after(this.random() * CANCELLATION_WINDOW_MS, () => this.users.cancel(id));
    }
    for (const machine of hungMachines) {
      this.setMachineHung(machine, true);
      this.time.after(hangDurationMs, () => this.setMachineHung(machine, false));
    }
  }

  private cancelWithProbability(job: UserJob): void {
    if (this.cancelOnCompletionShare > 0 && this.random() < this.cancelOnCompletionShare) {
      this.users.cancel(job.spec.id);
    }
  }
}
