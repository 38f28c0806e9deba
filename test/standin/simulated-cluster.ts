/**
 * A simulated cluster: complete controllers, three by default, with simulated external systems on a virtual clock. One seed
 * determines all that happens, and the invariants are checked while it runs.
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
  ClusterSettings,
  STORE_ADDRESS,
  type ClusterSettingsOptions,
} from './cluster-settings.js';
import { currentBuild } from './current-build.js';
import { Store } from './store.js';
import { TaskRegistry } from './task-registry.js';
import { Users, isFinished, type UserJob } from './users.js';

/** Options of a simulated cluster. */
export interface SimulatedClusterOptions extends ClusterSettingsOptions {
  readonly seed: number;
  /** The share of requests, and of responses, that are lost. */
  readonly lossShare?: number;
  /** The version that all controllers run until they are upgraded; the current one by default. */
  readonly build?: Build;
}

const PROBE_TIMEOUT = ms(1000);
const PINO_LEVEL_ERROR = 50;
/** The time within which users cancel several jobs. */
const CANCELLATION_WINDOW_MS = 200;
const MAX_MACHINES_HUNG_BY_CANCELLATION = 8;

/** A log that passes errors to `onError`. If SIM_LOG is set to a level, it also writes to stderr. */
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

/** The controllers, their workers, users and external services, with methods that inject faults. */
export class SimulatedCluster {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly network: Network;
  readonly store: Store;
  readonly users: Users;
  readonly loadBalancer: LoadBalancer;
  readonly jobs: ReadonlyMap<string, UserJob>;
  /** The share of jobs that are cancelled at the moment when their last task completes. */
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
    this.store = new Store(time, firstSettings.storeLimits);
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
    // Errors that a controller logs count as violations, even if all invariants hold.
    const log = createErrorCollectingLog(time, (line) =>
      this.invariants.violations.push(`log: ${line}`),
    );
    this.controllers = new ControllerProcesses(
      { time, random, network, settings: clusterSettings, log },
      options.build ?? currentBuild,
    );
    for (const controller of clusterSettings.controllers) this.controllers.start(controller);
    this.loadBalancer = this.createLoadBalancer();
    this.users = new Users({
      time,
      random,
      createClient: (clock) => network.client('user', NO_ZONE, clock),
      loadBalancer: this.loadBalancer,
      endpointOf: (controller) => clusterSettings.of(controller).apiEndpoint,
      jobs,
      processOf: (controller) => this.controllers.processOf(controller),
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
    const { length } = this.settings.controllers;
    return new LoadBalancer(this.time, this.random, length, async (controller) => {
      const { apiEndpoint: endpoint } = this.settings.of(controller);
      const client = this.network.client('balancer', NO_ZONE, clock);
      const outcome = await client.send({
        endpoint,
        method: 'GET',
        path: '/up',
        timeout: PROBE_TIMEOUT,
      });
      return outcome.kind === 'response' && outcome.status === 200;
    });
  }

  /** Advances the virtual time. */
  async run(durationMs: number): Promise<void> {
    await this.time.run(this.time.now + durationMs);
  }

  // --- observations ----------------------------------------------------------------------------

  /** The violations of invariants so far. */
  get violations(): readonly string[] {
    return this.invariants.violations;
  }

  /** How many tasks have started so far. */
  get startCount(): number {
    return this.tasks.startCount;
  }

  get cloud(): Cloud {
    return this.machines.cloud;
  }

  /** The running workers by machine id. */
  get workers(): ReadonlyMap<string, WorkerOnMachine> {
    return this.machines.workers;
  }

  /** The machines that hold a task of a job, including those that still fetch its image. */
  machinesHolding(job: string): string[] {
    return [...this.workers]
      .filter(([, { worker }]) => worker.taskNames().some((task) => task.startsWith(`${job}/`)))
      .map(([id]) => id);
  }

  /** The machines of a job's tasks that have their image, one entry for each task. */
  machinesOf(job: string): string[] {
    return this.tasks.machinesOf(job);
  }

  /** Marks the end of all faults, after which stricter invariants hold. */
  markFaultsEnded(): void {
    this.invariants.markFaultsEnded();
  }

  get haveFaultsEnded(): boolean {
    return this.invariants.haveFaultsEnded;
  }

  // --- controllers ----------------------------------------------------------------------------------

  /** Starts a controller unless it is already running. */
  startController(controller: number): void {
    this.controllers.start(controller);
  }

  /** Kills a controller's process without a signal. */
  killController(controller: number): void {
    this.controllers.kill(controller);
  }

  /** Freezes or resumes a controller's process. */
  setControllerFrozen(controller: number, isFrozen: boolean): void {
    this.controllers.setFrozen(controller, isFrozen);
  }

  /** Kills a controller's process and starts it with the current version after `downMs`. */
  upgradeController(controller: number, downMs: number): void {
    this.controllers.upgrade(controller, downMs);
  }

  /** The index of the controller that leads now. */
  leader(): number | undefined {
    return this.controllers.leader();
  }

  // --- machines -------------------------------------------------------------------------------------

  /** Rents machines without a request of a controller. */
  rentMachines(machineCount: number): void {
    this.machines.rent(machineCount);
  }

  /** Makes a machine hang, or resumes it. */
  setMachineHung(id: string, isHung: boolean): void {
    this.machines.setHung(id, isHung);
  }

  /** Restarts a worker at once, without any of its state. */
  restartWorker(id: string): void {
    this.machines.restartWorker(id);
  }

  /** Drops responses and commands to a worker, while its heartbeats still arrive. */
  setIncomingDropped(id: string, isDropped: boolean): void {
    this.machines.setIncomingDropped(id, isDropped);
  }

  /** Blocks a worker's heartbeats to all controllers, while commands still reach it. */
  setHeartbeatsBlocked(id: string, isBlocked: boolean): void {
    this.machines.setHeartbeatsBlocked(id, isBlocked);
  }

  /** Gives a machine a reclaim notice, and ends it after `noticeMs`. */
  reclaimMachine(id: string, noticeMs: number): void {
    this.machines.reclaim(id, noticeMs);
  }

  // --- faults ---------------------------------------------------------------------------------------

  /** Cuts a controller off from the store and the other controllers, but not from workers and users. */
  isolateController(controller: number, refusesConnections: boolean): void {
    this.networkFaults.isolate([controller], refusesConnections);
  }

  /** Cuts controllers off from the store and all others, but not from each other, workers and users. */
  isolateControllers(controllers: readonly number[], refusesConnections: boolean): void {
    this.networkFaults.isolate(controllers, refusesConnections);
  }

  /** Ends the isolation of all controllers. */
  reconnectControllers(): void {
    this.networkFaults.reconnect();
  }

  /** Sets whether connections between controllers are refused. */
  setPeerConnectionsRefused(isRefused: boolean): void {
    this.networkFaults.setPeerConnectionsRefused(isRefused);
  }

  /** Delays each request to the store, and each response, by up to `maxDelayMs`. */
  setStoreDelay(maxDelayMs: number): void {
    this.networkFaults.setStoreDelay(maxDelayMs);
  }

  /** Sets the share of transactions that get no response and are carried out late, after newer ones. */
  setDelayedWriteShare(share: number): void {
    this.networkFaults.setDelayedWriteShare(share);
  }

  /** Sets the share of the requests to controllers and workers that arrive a second time, late. */
  setDuplicateShare(share: number): void {
    this.networkFaults.setDuplicateShare(share);
  }

  /** Lowers the limits of the store to those that the settings announced. */
  applyAnnouncedStoreLimits(): void {
    const { next } = this.settings.of(0).storeLimits;
    if (next) this.store.setLimits(next);
  }

  // --- cancellations --------------------------------------------------------------------------------

  /** Cancels running jobs at about the same time. Their machines hang meanwhile if `hangDurationMs` is above 0. */
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
