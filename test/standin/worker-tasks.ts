/** The tasks on one worker, from the protocol: what commands start and stop, and how tasks end. */
import type { GangMember, GangRun } from './gang-run.js';

/** A command as it is sent. */
export interface CommandMessage {
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

/** What the tasks need of their worker. */
export interface TasksWorker {
  /** The id of its machine. */
  readonly machine: string;
  readonly cpus: number;
  readonly world: WorkerWorld;
  /** Whether its machine hangs. */
  isHung(): boolean;
  /** Runs something later, unless the worker is dead by then, and no earlier than it goes on if it hangs. */
  after(delay: number, run: () => void): void;
  /** Something has changed that the next heartbeat is to tell. */
  onChanged(): void;
}

const occupiesMachine = ({ state }: HeldTask): boolean =>
  state !== 'fetching' && state !== 'exited';

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** All tasks of a worker. */
export class WorkerTasks {
  private readonly held = new Map<string, HeldTask>();
  private readonly images = new Set<string>();

  constructor(private readonly worker: TasksWorker) {}

  /** The tasks that are on it, or for which it fetches the image. */
  names(): string[] {
    return [...this.held.values()]
      .filter(({ state }) => state !== 'exited')
      .map(({ task }) => task);
  }

  /** The processors that its tasks leave. */
  freeCpus(): number {
    return this.worker.cpus - this.usedCpus(0);
  }

  /** The processors that its tasks take beside `others`. */
  private usedCpus(others: number): number {
    let used = others;
    for (const { state, cpus } of this.held.values()) if (state !== 'exited') used += cpus;
    return used;
  }

  /** The status of each task, as heartbeats hold it. */
  statuses(): object[] {
    return [...this.held.values()].map(({ task, attempt, state, cause, isSaved }) => ({
      entry: task,
      try: attempt,
      status: state,
      ...(cause === undefined ? {} : { cause }),
      ...(isSaved ? { kept: true } : {}),
    }));
  }

  /** Drops all tasks, as a worker does that ends or has lost its lease. */
  dropAll(): void {
    for (const held of this.held.values()) this.release(held);
    this.held.clear();
  }

  /** A task is no longer on the machine, and no longer part of its gang. */
  private release(held: HeldTask): void {
    const { machine, world } = this.worker;
    if (occupiesMachine(held)) world.onTaskLeft(machine, held.task);
    if (held.member) world.facts(held.task)?.gang?.leave(held.member);
  }

  /** Drops the images too, as a worker does that begins from nothing. */
  reset(): void {
    this.dropAll();
    this.images.clear();
  }

  /** Carries out a command. A repeated one changes nothing. */
  execute(command: CommandMessage): void {
    const key = keyOf(command.entry, command.try);
    const held = this.held.get(key);
    if (command.verb === 'launch') {
      if (!held) this.launch(command.entry, command.try);
    } else if (command.verb === 'kill') {
      if (held && held.state !== 'exited') this.stop(held, (command.wind_down_s ?? 0) * 1000);
    } else if (held?.state === 'exited') this.held.delete(key);
  }

  private launch(task: string, attempt: number): void {
    const facts = this.worker.world.facts(task);
    const refusal = facts && this.refusalOf(task, facts);
    const held: HeldTask = {
      task,
      attempt,
      state: 'fetching',
      cause: undefined,
      isSaved: false,
      member: undefined,
      cpus: facts?.cpus ?? 0,
    };
    this.worker.onChanged();
    this.held.set(keyOf(task, attempt), held);
    if (!facts) this.exit(held, 'no_such');
    else if (refusal !== undefined) this.exit(held, refusal);
    else this.fetch(held, facts);
  }

  /** Why a start is refused, as the protocol names it; undefined if it is not. */
  private refusalOf(task: string, { cpus }: TaskFacts): string | undefined {
    if (this.names().includes(task)) return 'in_use';
    return this.usedCpus(cpus) > this.worker.cpus ? 'full' : undefined;
  }

  private fetch(held: HeldTask, facts: TaskFacts): void {
    const fetchMs = this.images.has(facts.image) ? 0 : facts.fetchMs;
    this.worker.after(fetchMs, () => {
      if (this.isCurrent(held)) this.start(held, facts);
    });
  }

  private start(held: HeldTask, facts: TaskFacts): void {
    const { machine, world } = this.worker;
    const { task } = held;
    this.images.add(facts.image);
    world.onTaskStarted(machine, task);
    if (facts.gang) {
      this.join(held, facts.gang);
      return;
    }
    held.state = 'running';
    this.worker.onChanged();
    this.worker.after(world.isCompleted(task) ? 0 : facts.runMs, () => {
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
      this.worker.after(0, () => {
        if (this.isCurrent(held)) change();
      });
    };
    const setState = (state: HeldTask['state']): void => {
      held.state = state;
      this.worker.onChanged();
    };
    held.member = {
      index: Number(held.task.split('/')[1]),
      attempt: held.attempt,
      isHung: () => this.worker.isHung(),
      run: () => changeLater(() => setState('running')),
      save: () => setState('flushing'),
      exit: (cause, isSaved) => changeLater(() => this.exit(held, cause, isSaved)),
    };
    setState('gathering');
    gang.join(held.member);
  }

  /** Stops a task. The task of a gang saves first if there is enough time. */
  private stop(held: HeldTask, graceMs: number): void {
    const facts = this.worker.world.facts(held.task);
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
    this.worker.onChanged();
  }
}
