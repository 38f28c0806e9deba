/** A simulated worker, as the protocol describes it: heartbeats, sessions, its lease, and fencing of commands. */
import type { HttpClient, HttpOutcome } from '../../src/net/http.js';
import { Endpoint, ms, type Clock, type Random } from '../../src/units/index.js';
import type { RentedMachine } from './cloud.js';
import type { HostResponse } from './network.js';
import { WorkerTasks, type CommandMessage, type TaskEnvironment } from './worker-tasks.js';

/** The name and the address of a controller. */
export interface ControllerAddress {
  readonly name: string;
  readonly address: string;
}

/** The parameters and dependencies of a worker. */
export interface WorkerOptions {
  readonly machine: RentedMachine;
  readonly cpus: number;
  readonly controllers: readonly ControllerAddress[];
  readonly http: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly times: { readonly heartbeatMs: number; readonly leaseMs: number };
  readonly taskEnvironment: TaskEnvironment;
}

const HEARTBEAT_TIMEOUT_MS = ms(4000);
const HEARTBEAT_CHECK_INTERVAL_MS = 80;
const LEASE_CHECK_INTERVAL_MS = ms(100);
/** How often a callback that is due is retried while the machine hangs. */
const HUNG_RETRY_INTERVAL_MS = 50;
/** The minimal interval before a heartbeat that contains a change or follows a failed one. */
const MIN_HEARTBEAT_INTERVAL_MS = 500;

/** The worker on one machine. */
export class Worker {
  private session = 1;
  private sequence = 0;
  private fencingToken = 0;
  private readonly tasks: WorkerTasks;
  /** The index of the controller that gets its heartbeats, modulo the number of controllers. */
  private controllerIndex: number;
  private leaseRenewedAt: number;
  private lastHeartbeatAt = -Infinity;
  private isHeartbeatPending = false;
  /** Whether there is a change that no heartbeat has reported yet. */
  private hasUnreportedChange = false;
  private tokenReportedAt = -Infinity;
  private isDead = false;
  /** How often it has restarted. Responses to requests from before a restart have no receiver. */
  private restartCount = 0;
  isHung = false;
  /** How many heartbeats it has sent so far. */
  heartbeatCount = 0;
  /** How many responses have renewed its lease so far. */
  renewalCount = 0;
  /** When its machine will be reclaimed; undefined without a reclaim notice. */
  reclaimAt: number | undefined;

  constructor(private readonly options: WorkerOptions) {
    this.controllerIndex = Math.floor(options.random() * options.controllers.length);
    this.leaseRenewedAt = options.clock.steady();
    this.tasks = new WorkerTasks({
      machine: options.machine.id,
      cpus: options.cpus,
      environment: options.taskEnvironment,
      isHung: () => this.isHung,
      after: (delay, run) => this.after(delay, run),
      onChanged: () => {
        this.hasUnreportedChange = true;
      },
    });
    this.scheduleHeartbeats();
    this.scheduleLeaseCheck();
  }

  /** The names of the tasks that run on it or whose image it fetches. */
  taskNames(): string[] {
    return this.tasks.taskNames();
  }

  /** The processors that its tasks don't use. */
  freeCpus(): number {
    return this.tasks.freeCpus();
  }

  /** The names of the tasks of which it reports an attempt, whether that runs or has exited. */
  reportedTaskNames(): string[] {
    return this.tasks.reportedTaskNames();
  }

  /** Ends a running task as if by itself. */
  endTask(task: string, cause: 'done' | 'error'): void {
    this.tasks.endTask(task, cause);
  }

  /** Ends the worker permanently, together with its machine. */
  kill(): void {
    this.isDead = true;
    this.tasks.dropAllTasks();
  }

  /** Restarts the worker at once, without any of its state. */
  restart(): void {
    this.tasks.dropTasksAndImages();
    this.restartCount++;
    this.isHeartbeatPending = false;
    this.session = 1;
    this.sequence = 0;
    this.fencingToken = 0;
    this.leaseRenewedAt = this.options.clock.steady();
    this.hasUnreportedChange = true;
  }

  /** Handles a request to the worker's own address. */
  handle(_method: string, path: string, body: unknown): HostResponse {
    if (path === '/status') return { status: 200, body: this.createHeartbeat() };
    const { baton, shift, orders } = body as {
      baton?: number;
      shift?: number;
      orders: CommandMessage[];
    };
    if (baton === undefined || shift === undefined) return { status: 400, body: {} };
    if (baton < this.fencingToken || shift !== this.session) {
      return { status: 409, body: this.createHeartbeat() };
    }
    this.recordToken(baton);
    for (const command of orders) this.tasks.execute(command);
    return { status: 200, body: this.createHeartbeat() };
  }

  private after(delay: number, run: () => void): void {
    this.options.clock.after(ms(delay), () => {
      if (this.isDead) return;
      // A hung machine runs nothing; callbacks that are due run when it resumes.
      if (this.isHung) this.after(HUNG_RETRY_INTERVAL_MS, run);
      else run();
    });
  }

  // --- heartbeats ---------------------------------------------------------------------------------

  /** Also runs while the machine hangs: a worker that resumes after its lease has expired has no tasks left. */
  private scheduleLeaseCheck(): void {
    const { clock, times } = this.options;
    clock.after(LEASE_CHECK_INTERVAL_MS, () => {
      if (this.isDead) return;
      if (clock.steady() - this.leaseRenewedAt > times.leaseMs) {
        this.tasks.dropAllTasks();
        this.session++;
        this.leaseRenewedAt = clock.steady();
        this.hasUnreportedChange = true;
      }
      this.scheduleLeaseCheck();
    });
  }

  private scheduleHeartbeats(): void {
    const { clock, random, times } = this.options;
    this.after(HEARTBEAT_CHECK_INTERVAL_MS, () => {
      const sinceLast = clock.steady() - this.lastHeartbeatAt;
      const isDue = sinceLast >= times.heartbeatMs * (0.75 + 0.5 * random());
      const isChangeDue = this.hasUnreportedChange && sinceLast >= MIN_HEARTBEAT_INTERVAL_MS;
      if (!this.isHeartbeatPending && (isDue || isChangeDue)) void this.sendHeartbeat();
      this.scheduleHeartbeats();
    });
  }

  /** Creates the next heartbeat as the protocol encodes it. */
  private createHeartbeat(): Record<string, unknown> {
    const { machine, clock } = this.options;
    this.sequence++;
    return {
      box: machine.id,
      addr: machine.address,
      build: machine.machineType,
      hall: machine.zone,
      loaners: machine.spot,
      shift: this.session,
      tally: this.sequence,
      baton: this.fencingToken,
      recall_s:
        this.reclaimAt === undefined ? null : Math.max(0, (this.reclaimAt - clock.steady()) / 1000),
      entries: this.tasks.statuses(),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    const { clock, controllers, http } = this.options;
    this.isHeartbeatPending = true;
    this.heartbeatCount++;
    this.hasUnreportedChange = false;
    const sentAt = clock.steady();
    this.lastHeartbeatAt = sentAt;
    const { session, restartCount } = this;
    const outcome = await http.send({
      endpoint: Endpoint(controllers[this.controllerIndex % controllers.length]?.address ?? ''),
      method: 'POST',
      path: '/agent/beat',
      body: this.createHeartbeat(),
      timeout: HEARTBEAT_TIMEOUT_MS,
    });
    if (this.isDead || restartCount !== this.restartCount) return;
    this.isHeartbeatPending = false;
    // A hung machine ignores the response, which would be outdated when it resumes.
    if (this.isHung) this.hasUnreportedChange = true;
    else if (outcome.kind === 'response' && outcome.status === 200) {
      this.acceptResponse(outcome.body, session, sentAt);
    } else this.changeController(outcome);
  }

  /** Applies the response to a heartbeat. The lease is renewed from the time when the heartbeat was sent. */
  private acceptResponse(body: unknown, session: number, sentAt: number): void {
    const { baton, orders = [] } = body as { baton?: number; orders?: CommandMessage[] };
    if (session !== this.session || baton === undefined || baton < this.fencingToken) return;
    this.recordToken(baton);
    this.leaseRenewedAt = sentAt;
    this.renewalCount++;
    for (const command of orders) this.tasks.execute(command);
  }

  /** Switches to the controller that a 421 response names, otherwise to the next one after a pause. */
  private changeController(outcome: HttpOutcome): void {
    const { clock, controllers, times } = this.options;
    this.hasUnreportedChange = true;
    if (outcome.kind === 'response' && outcome.status === 421) {
      const { clerk } = outcome.body as { clerk?: string };
      const named = controllers.findIndex(({ name }) => name === clerk);
      if (named >= 0 && named !== this.controllerIndex % controllers.length) {
        this.controllerIndex = named;
        return;
      }
    }
    this.controllerIndex++;
    this.lastHeartbeatAt = clock.steady() + MIN_HEARTBEAT_INTERVAL_MS - times.heartbeatMs;
  }

  /** Records a higher fencing token. An early heartbeat reports it, unless another token caused one within half a lease. */
  private recordToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = this.options.clock.steady();
    if (now - this.tokenReportedAt > this.options.times.leaseMs / 2) {
      this.tokenReportedAt = now;
      this.hasUnreportedChange = true;
    }
  }
}
