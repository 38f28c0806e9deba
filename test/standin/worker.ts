/** A worker, from the protocol: heartbeats, sessions, fencing tokens, its lease, and who may command it. */
import type { HttpClient, HttpOutcome } from '../../src/net/http.js';
import { Endpoint, ms, type Clock, type Random } from '../../src/units/index.js';
import type { RentedMachine } from './cloud.js';
import type { Answer } from './network.js';
import { WorkerTasks, type CommandMessage, type WorkerWorld } from './worker-tasks.js';

/** A controller as workers know it. */
export interface ControllerAddress {
  readonly name: string;
  readonly address: string;
}

/** What a worker is made of. */
export interface WorkerOptions {
  readonly machine: RentedMachine;
  readonly cpus: number;
  readonly controllers: readonly ControllerAddress[];
  readonly http: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly times: { readonly heartbeatMs: number; readonly leaseMs: number };
  readonly world: WorkerWorld;
}

const HEARTBEAT_TIMEOUT = ms(4000);
const LOOP_INTERVAL = 80;
const LEASE_CHECK_INTERVAL = ms(100);
/** What is due while the machine hangs is looked at again after so long. */
const HUNG_RETRY = 50;
/** Heartbeats that report a change, or follow a failed one, keep this distance. */
const MIN_HEARTBEAT_INTERVAL = 500;

/** The worker on one machine. */
export class Worker {
  private session = 1;
  private sequence = 0;
  private fencingToken = 0;
  private readonly tasks: WorkerTasks;
  /** Index of the controller that it reports to, counted on past the end. */
  private controller: number;
  private leaseFrom: number;
  private lastHeartbeat = -Infinity;
  private isReporting = false;
  /** Whether something has changed that a heartbeat has yet to tell. */
  private wantsHeartbeat = false;
  private lastTokenChange = -Infinity;
  private isDead = false;
  isHung = false;
  /** Heartbeats sent so far. */
  sentCount = 0;
  /** Answers so far that renewed its lease. */
  renewalCount = 0;
  /** When its machine will be reclaimed, once the cloud has said so. */
  reclaimedAt: number | undefined;

  constructor(private readonly options: WorkerOptions) {
    this.controller = Math.floor(options.random() * options.controllers.length);
    this.leaseFrom = options.clock.steady();
    this.tasks = new WorkerTasks({
      machine: options.machine.id,
      cpus: options.cpus,
      world: options.world,
      isHung: () => this.isHung,
      after: (delay, run) => this.after(delay, run),
      onChanged: () => {
        this.wantsHeartbeat = true;
      },
    });
    this.loop();
    this.watchLease();
  }

  /** The names of the tasks that are on it, or for which it fetches the image. */
  taskNames(): string[] {
    return this.tasks.names();
  }

  /** The processors that its tasks leave. */
  freeCpus(): number {
    return this.tasks.freeCpus();
  }

  /** Ends it for good, with its machine. */
  kill(): void {
    this.isDead = true;
    this.tasks.dropAll();
  }

  /** It is gone and back at once, with nothing of what it knew. */
  restart(): void {
    this.tasks.reset();
    this.session = 1;
    this.sequence = 0;
    this.fencingToken = 0;
    this.leaseFrom = this.options.clock.steady();
    this.wantsHeartbeat = true;
  }

  /** Answers a request to the worker itself. */
  handle(_method: string, path: string, body: unknown): Answer {
    if (path === '/status') return { status: 200, body: this.heartbeat() };
    const { baton, shift, orders } = body as {
      baton?: number;
      shift?: number;
      orders: CommandMessage[];
    };
    if (baton === undefined || shift === undefined) return { status: 400, body: {} };
    if (baton < this.fencingToken || shift !== this.session) {
      return { status: 409, body: this.heartbeat() };
    }
    this.noteToken(baton);
    for (const command of orders) this.tasks.execute(command);
    return { status: 200, body: this.heartbeat() };
  }

  private after(delay: number, run: () => void): void {
    this.options.clock.after(ms(delay), () => {
      if (this.isDead) return;
      // A hanging machine does nothing; what was due happens when it goes on.
      if (this.isHung) this.after(HUNG_RETRY, run);
      else run();
    });
  }

  // --- heartbeats ---------------------------------------------------------------------------------

  /** Runs while the machine hangs too: one that hangs may go on within its lease, and no later. */
  private watchLease(): void {
    const { clock, times } = this.options;
    clock.after(LEASE_CHECK_INTERVAL, () => {
      if (this.isDead) return;
      if (clock.steady() - this.leaseFrom > times.leaseMs) {
        this.tasks.dropAll();
        this.session++;
        this.leaseFrom = clock.steady();
        this.wantsHeartbeat = true;
      }
      this.watchLease();
    });
  }

  private loop(): void {
    const { clock, random, times } = this.options;
    this.after(LOOP_INTERVAL, () => {
      const sinceLast = clock.steady() - this.lastHeartbeat;
      const isDue = sinceLast >= times.heartbeatMs * (0.75 + 0.5 * random());
      const isWanted = this.wantsHeartbeat && sinceLast >= MIN_HEARTBEAT_INTERVAL;
      if (!this.isReporting && (isDue || isWanted)) void this.report();
      this.loop();
    });
  }

  /** The next heartbeat, as it is sent. */
  private heartbeat(): Record<string, unknown> {
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
        this.reclaimedAt === undefined
          ? null
          : Math.max(0, (this.reclaimedAt - clock.steady()) / 1000),
      entries: this.tasks.statuses(),
    };
  }

  private async report(): Promise<void> {
    const { clock, controllers, http } = this.options;
    this.isReporting = true;
    this.sentCount++;
    this.wantsHeartbeat = false;
    const sentAt = clock.steady();
    this.lastHeartbeat = sentAt;
    const { session } = this;
    const outcome = await http.send({
      endpoint: Endpoint(controllers[this.controller % controllers.length]?.address ?? ''),
      method: 'POST',
      path: '/agent/beat',
      body: this.heartbeat(),
      timeout: HEARTBEAT_TIMEOUT,
    });
    this.isReporting = false;
    if (this.isDead) return;
    // A machine that hangs takes no answer: it would be too old when it goes on.
    if (this.isHung) this.wantsHeartbeat = true;
    else if (outcome.kind === 'response' && outcome.status === 200) {
      this.takeReply(outcome.body, session, sentAt);
    } else this.changeController(outcome);
  }

  /** Takes the answer to a heartbeat. It renews the lease from when the heartbeat was sent. */
  private takeReply(body: unknown, session: number, sentAt: number): void {
    const { baton, orders = [] } = body as { baton?: number; orders?: CommandMessage[] };
    if (session !== this.session || baton === undefined || baton < this.fencingToken) return;
    this.noteToken(baton);
    this.leaseFrom = sentAt;
    this.renewalCount++;
    for (const command of orders) this.tasks.execute(command);
  }

  /** Turns to the controller that a 421 names, or else to the next one after a pause. */
  private changeController(outcome: HttpOutcome): void {
    const { clock, controllers, times } = this.options;
    this.wantsHeartbeat = true;
    if (outcome.kind === 'response' && outcome.status === 421) {
      const { clerk } = outcome.body as { clerk?: string };
      const named = controllers.findIndex(({ name }) => name === clerk);
      if (named >= 0 && named !== this.controller % controllers.length) {
        this.controller = named;
        return;
      }
    }
    this.controller++;
    this.lastHeartbeat = clock.steady() + MIN_HEARTBEAT_INTERVAL - times.heartbeatMs;
  }

  /** Remembers a higher fencing token. It is reported soon, unless the last one was just before. */
  private noteToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = this.options.clock.steady();
    if (now - this.lastTokenChange > this.options.times.leaseMs / 2) {
      this.lastTokenChange = now;
      this.wantsHeartbeat = true;
    }
  }
}
