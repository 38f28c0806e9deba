/** A worker, from the protocol: heartbeats, sessions, fencing tokens, its lease, and commands. */
import type { HttpClient, Outcome } from '../../src/net/http.js';
import { Endpoint, ms, type Clock, type Random } from '../../src/units/index.js';
import type { RentedMachine } from './cloud.js';
import type { GangMember, GangRun } from './gang-run.js';
import type { Answer } from './network.js';

/** A command as it is sent. */
interface CommandMessage {
  readonly verb: 'launch' | 'kill' | 'clear';
  readonly entry: string;
  readonly try: number;
  readonly wind_down_s?: number;
}

/** One attempt of a task on this worker. */
interface HeldTask {
  readonly task: string;
  readonly attempt: number;
  readonly cpus: number;
  /** As the protocol names it. */
  state: 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
  /** Why it exited, as the protocol names it. */
  cause: string | undefined;
  isSaved: boolean;
  /** Its part in a gang, from when it has its image. */
  member: GangMember | undefined;
}

/** What a worker fetches of a task. */
export interface TaskFacts {
  readonly cpus: number;
  readonly runMs: number;
  /** How long its image takes to fetch. */
  readonly fetchMs: number;
  readonly image: string;
  /** How long it takes to save when it is stopped; undefined if it can't. */
  readonly checkpointMs?: number | undefined;
  readonly gang?: GangRun | undefined;
}

/** What a worker shares with the world around it. Tasks are named `<job>/<index>`. */
export interface WorkerWorld {
  /** Undefined if the task was never submitted. */
  facts(task: string): TaskFacts | undefined;
  /** The task has its image and is on the machine from now on. */
  onTaskStarted(machine: string, task: string): void;
  /** It no longer is. */
  onTaskLeft(machine: string, task: string): void;
  onTaskCompleted(task: string): void;
  isCompleted(task: string): boolean;
}

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

const occupiesMachine = ({ state }: HeldTask): boolean =>
  state !== 'fetching' && state !== 'exited';

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** The worker on one machine. */
export class Worker {
  private session = 1;
  private sequence = 0;
  private fencingToken = 0;
  private readonly held = new Map<string, HeldTask>();
  private readonly images = new Set<string>();
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
    this.loop();
    this.watchLease();
  }

  /** The tasks that are on it, or for which it fetches the image. */
  tasks(): string[] {
    return [...this.held.values()]
      .filter(({ state }) => state !== 'exited')
      .map(({ task }) => task);
  }

  freeCpus(): number {
    return this.options.cpus - this.usedCpus(0);
  }

  /** The processors that its tasks take beside `others`. */
  private usedCpus(others: number): number {
    let used = others;
    for (const { state, cpus } of this.held.values()) if (state !== 'exited') used += cpus;
    return used;
  }

  /** Ends it for good, with its machine. */
  kill(): void {
    this.isDead = true;
    this.dropAll();
  }

  /** It is gone and back at once, with nothing of what it knew. */
  restart(): void {
    this.dropAll();
    this.images.clear();
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
    for (const command of orders) this.execute(command);
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

  private dropAll(): void {
    for (const held of this.held.values()) this.release(held);
    this.held.clear();
  }

  /** A task is no longer on the machine, and no longer part of its gang. */
  private release(held: HeldTask): void {
    const { machine, world } = this.options;
    if (occupiesMachine(held)) world.onTaskLeft(machine.id, held.task);
    if (held.member) world.facts(held.task)?.gang?.leave(held.member);
  }

  // --- heartbeats ---------------------------------------------------------------------------------

  /** Runs while the machine hangs too: one that hangs may go on within its lease, and no later. */
  private watchLease(): void {
    const { clock, times } = this.options;
    clock.after(LEASE_CHECK_INTERVAL, () => {
      if (this.isDead) return;
      if (clock.steady() - this.leaseFrom > times.leaseMs) {
        this.dropAll();
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
      entries: [...this.held.values()].map(({ task, attempt, state, cause, isSaved }) => ({
        entry: task,
        try: attempt,
        status: state,
        ...(cause === undefined ? {} : { cause }),
        ...(isSaved ? { kept: true } : {}),
      })),
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
    else if (outcome.kind === 'answer' && outcome.status === 200) {
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
    for (const command of orders) this.execute(command);
  }

  /** Turns to the controller that a 421 names, or else to the next one after a pause. */
  private changeController(outcome: Outcome): void {
    const { clock, controllers, times } = this.options;
    this.wantsHeartbeat = true;
    if (outcome.kind === 'answer' && outcome.status === 421) {
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

  // --- tasks --------------------------------------------------------------------------------------

  private execute(command: CommandMessage): void {
    const key = keyOf(command.entry, command.try);
    const held = this.held.get(key);
    if (command.verb === 'launch') {
      if (!held) this.launch(command.entry, command.try);
    } else if (command.verb === 'kill') {
      if (held && held.state !== 'exited') this.stop(held, (command.wind_down_s ?? 0) * 1000);
    } else if (held?.state === 'exited') this.held.delete(key);
  }

  private launch(task: string, attempt: number): void {
    const facts = this.options.world.facts(task);
    const refusal = this.refusalOf(task, facts);
    const held: HeldTask = {
      task,
      attempt,
      state: 'fetching',
      cause: undefined,
      isSaved: false,
      member: undefined,
      cpus: facts?.cpus ?? 0,
    };
    this.wantsHeartbeat = true;
    this.held.set(keyOf(task, attempt), held);
    if (!facts || refusal !== undefined) {
      this.exit(held, refusal ?? 'no_such');
      return;
    }
    const fetchMs = this.images.has(facts.image) ? 0 : facts.fetchMs;
    this.after(fetchMs, () => {
      if (this.isCurrent(held)) this.start(held, facts);
    });
  }

  /** Why a start is refused, as the protocol names it; undefined if it is not. */
  private refusalOf(task: string, facts: TaskFacts | undefined): string | undefined {
    if (!facts) return 'no_such';
    if (this.tasks().includes(task)) return 'in_use';
    return this.usedCpus(facts.cpus) > this.options.cpus ? 'full' : undefined;
  }

  private start(held: HeldTask, facts: TaskFacts): void {
    const { machine, world } = this.options;
    const { task } = held;
    this.images.add(facts.image);
    world.onTaskStarted(machine.id, task);
    if (facts.gang) {
      this.join(held, facts.gang);
      return;
    }
    held.state = 'running';
    this.wantsHeartbeat = true;
    this.after(world.isCompleted(task) ? 0 : facts.runMs, () => {
      if (!this.isCurrent(held)) return;
      world.onTaskCompleted(task);
      this.exit(held, 'done');
    });
  }

  /** Whether a task is still held and has not exited. */
  private isCurrent(held: HeldTask): boolean {
    return this.held.get(keyOf(held.task, held.attempt)) === held && held.state !== 'exited';
  }

  /** The task of a gang has its image: from now on it does what its gang does. */
  private join(held: HeldTask, gang: GangRun): void {
    const changeLater = (change: () => void): void => {
      this.after(0, () => {
        if (this.isCurrent(held)) change();
      });
    };
    const setState = (state: HeldTask['state']): void => {
      held.state = state;
      this.wantsHeartbeat = true;
    };
    held.member = {
      index: Number(held.task.split('/')[1]),
      attempt: held.attempt,
      isHung: () => this.isHung,
      run: () => changeLater(() => setState('running')),
      save: () => setState('flushing'),
      exit: (cause, isSaved) => changeLater(() => this.exit(held, cause, isSaved)),
    };
    setState('gathering');
    gang.join(held.member);
  }

  /** Stops a task. The task of a gang saves first if there is enough time. */
  private stop(held: HeldTask, graceMs: number): void {
    const facts = this.options.world.facts(held.task);
    const canSave = facts?.checkpointMs !== undefined && graceMs >= facts.checkpointMs;
    if (held.state === 'flushing' && graceMs > 0) return;
    if (held.state === 'running' && held.member && canSave) facts.gang?.stop(held.member);
    else this.exit(held, 'halted');
  }

  private exit(held: HeldTask, cause: string, isSaved = false): void {
    this.release(held);
    held.state = 'exited';
    held.cause = cause;
    if (isSaved) held.isSaved = true;
    this.wantsHeartbeat = true;
  }
}
