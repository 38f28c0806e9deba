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
interface TaskAttempt {
  readonly task: string;
  readonly attempt: number;
  readonly cpus: number;
  /** As the protocol names it. */
  state: 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
  /** Why it exited, as the protocol names it. */
  cause: string | undefined;
  hasSavedCheckpoint: boolean;
  /** Its part in a gang, from when it has its image. */
  gangMember: GangMember | undefined;
}

/** What a worker fetches of a task. */
export interface TaskProperties {
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
export interface TaskEnvironment {
  /** Undefined if the task was never submitted. */
  propertiesOf(task: string): TaskProperties | undefined;
  /** The task has its image and is on the machine from now on. */
  onTaskStarted(machine: string, task: string): void;
  /** It no longer is. */
  onTaskLeft(machine: string, task: string): void;
  onTaskCompleted(task: string): void;
  isCompleted(task: string): boolean;
}

/** What the tasks need of their worker. */
export interface TaskHost {
  /** The id of its machine. */
  readonly machine: string;
  readonly cpus: number;
  readonly environment: TaskEnvironment;
  /** Whether its machine hangs. */
  isHung(): boolean;
  /** Runs something later, unless the worker is dead by then, and no earlier than it goes on if it hangs. */
  after(delay: number, run: () => void): void;
  /** Something has changed that the next heartbeat is to tell. */
  onChanged(): void;
}

const occupiesMachine = ({ state }: TaskAttempt): boolean =>
  state !== 'fetching' && state !== 'exited';

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** All tasks of a worker. */
export class WorkerTasks {
  private readonly attempts = new Map<string, TaskAttempt>();
  private readonly images = new Set<string>();

  constructor(private readonly host: TaskHost) {}

  /** The tasks that are on it, or for which it fetches the image. */
  taskNames(): string[] {
    return [...this.attempts.values()]
      .filter(({ state }) => state !== 'exited')
      .map(({ task }) => task);
  }

  /** The processors that its tasks leave. */
  freeCpus(): number {
    return this.host.cpus - this.usedCpus(0);
  }

  /** The processors that its tasks take beside `others`. */
  private usedCpus(otherCpus: number): number {
    let used = otherCpus;
    for (const { state, cpus } of this.attempts.values()) if (state !== 'exited') used += cpus;
    return used;
  }

  /** The status of each task, as heartbeats hold it. */
  statuses(): object[] {
    return [...this.attempts.values()].map(
      ({ task, attempt, state, cause, hasSavedCheckpoint: isSaved }) => ({
        entry: task,
        try: attempt,
        status: state,
        ...(cause === undefined ? {} : { cause }),
        ...(isSaved ? { kept: true } : {}),
      }),
    );
  }

  /** Drops all tasks, as a worker does that ends or has lost its lease. */
  dropAllTasks(): void {
    for (const held of this.attempts.values()) this.release(held);
    this.attempts.clear();
  }

  /** A task is no longer on the machine, and no longer part of its gang. */
  private release(held: TaskAttempt): void {
    const { machine, environment: world } = this.host;
    if (occupiesMachine(held)) world.onTaskLeft(machine, held.task);
    if (held.gangMember) world.propertiesOf(held.task)?.gang?.leave(held.gangMember);
  }

  /** Drops the images too, as a worker does that begins from nothing. */
  dropTasksAndImages(): void {
    this.dropAllTasks();
    this.images.clear();
  }

  /** Carries out a command. A repeated one changes nothing. */
  execute(command: CommandMessage): void {
    const key = keyOf(command.entry, command.try);
    const held = this.attempts.get(key);
    if (command.verb === 'launch') {
      if (!held) this.startAttempt(command.entry, command.try);
    } else if (command.verb === 'kill') {
      if (held && held.state !== 'exited') this.stop(held, (command.wind_down_s ?? 0) * 1000);
    } else if (held?.state === 'exited') this.attempts.delete(key);
  }

  private startAttempt(task: string, attempt: number): void {
    const facts = this.host.environment.propertiesOf(task);
    const refusal = facts && this.refusalReason(task, facts);
    const held: TaskAttempt = {
      task,
      attempt,
      state: 'fetching',
      cause: undefined,
      hasSavedCheckpoint: false,
      gangMember: undefined,
      cpus: facts?.cpus ?? 0,
    };
    this.host.onChanged();
    this.attempts.set(keyOf(task, attempt), held);
    if (!facts) this.exit(held, 'no_such');
    else if (refusal !== undefined) this.exit(held, refusal);
    else this.fetchImage(held, facts);
  }

  /** Why a start is refused, as the protocol names it; undefined if it is not. */
  private refusalReason(task: string, { cpus }: TaskProperties): string | undefined {
    if (this.taskNames().includes(task)) return 'in_use';
    return this.usedCpus(cpus) > this.host.cpus ? 'full' : undefined;
  }

  private fetchImage(held: TaskAttempt, facts: TaskProperties): void {
    const fetchMs = this.images.has(facts.image) ? 0 : facts.fetchMs;
    this.host.after(fetchMs, () => {
      if (this.isCurrent(held)) this.run(held, facts);
    });
  }

  private run(held: TaskAttempt, facts: TaskProperties): void {
    const { machine, environment: world } = this.host;
    const { task } = held;
    this.images.add(facts.image);
    world.onTaskStarted(machine, task);
    if (facts.gang) {
      this.joinGang(held, facts.gang);
      return;
    }
    held.state = 'running';
    this.host.onChanged();
    this.host.after(world.isCompleted(task) ? 0 : facts.runMs, () => {
      if (!this.isCurrent(held)) return;
      world.onTaskCompleted(task);
      this.exit(held, 'done');
    });
  }

  /** Whether a task is still held and has not exited. */
  private isCurrent(held: TaskAttempt): boolean {
    return this.attempts.get(keyOf(held.task, held.attempt)) === held && held.state !== 'exited';
  }

  /** The task of a gang has its image: from now on it does what its gang does. */
  private joinGang(held: TaskAttempt, gang: GangRun): void {
    const changeLater = (change: () => void): void => {
      this.host.after(0, () => {
        if (this.isCurrent(held)) change();
      });
    };
    const setState = (state: TaskAttempt['state']): void => {
      held.state = state;
      this.host.onChanged();
    };
    held.gangMember = {
      index: Number(held.task.split('/')[1]),
      attempt: held.attempt,
      isHung: () => this.host.isHung(),
      startRunning: () => changeLater(() => setState('running')),
      startCheckpoint: () => setState('flushing'),
      exit: (cause, isSaved) => changeLater(() => this.exit(held, cause, isSaved)),
    };
    setState('gathering');
    gang.join(held.gangMember);
  }

  /** Stops a task. The task of a gang saves first if there is enough time. */
  private stop(held: TaskAttempt, graceMs: number): void {
    const facts = this.host.environment.propertiesOf(held.task);
    const canSave = facts?.checkpointMs !== undefined && graceMs >= facts.checkpointMs;
    if (held.state === 'flushing' && graceMs > 0) return;
    if (held.state === 'running' && held.gangMember && canSave) facts.gang?.stop(held.gangMember);
    else this.exit(held, 'halted');
  }

  private exit(held: TaskAttempt, cause: string, isSaved = false): void {
    this.release(held);
    held.state = 'exited';
    held.cause = cause;
    if (isSaved) held.hasSavedCheckpoint = true;
    this.host.onChanged();
  }
}
