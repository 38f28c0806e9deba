/** The tasks on one simulated worker, as the protocol describes them: start, stop, exit and checkpoints. */
import type { GangMember, GangRun } from './gang-run.js';

/** A command as the protocol encodes it. */
export interface CommandMessage {
  readonly verb: 'launch' | 'kill' | 'clear';
  readonly entry: string;
  readonly try: number;
  readonly wind_down_s?: number;
}

/** An attempt of a task on this worker. */
interface TaskAttempt {
  readonly task: string;
  readonly number: number;
  readonly cpus: number;
  /** As the protocol names it. */
  state: 'fetching' | 'gathering' | 'running' | 'flushing' | 'exited';
  /** Why it exited, as the protocol names it. */
  cause: string | undefined;
  hasSavedCheckpoint: boolean;
  /** Its membership in a gang, once it has its image. */
  gangMember: GangMember | undefined;
}

/** The properties of a task that a worker needs to run it. */
export interface TaskProperties {
  readonly cpus: number;
  readonly runMs: number;
  /** How long fetching its image takes. */
  readonly fetchMs: number;
  readonly image: string;
  /** How long saving a checkpoint takes when it is stopped; undefined if it can't save any. */
  readonly checkpointMs?: number | undefined;
  readonly gang?: GangRun | undefined;
}

/** Provides the properties of tasks and receives their events. Tasks are named `<job>/<index>`. */
export interface TaskEnvironment {
  /** Undefined if the task was never submitted. */
  propertiesOf(task: string): TaskProperties | undefined;
  /** The task has its image and occupies the machine from now on. */
  onTaskStarted(machine: string, task: string): void;
  /** The task no longer occupies the machine. */
  onTaskLeft(machine: string, task: string): void;
  onTaskCompleted(task: string): void;
  isCompleted(task: string): boolean;
}

/** The parts of a worker that its tasks use. */
export interface TaskHost {
  /** The id of its machine. */
  readonly machine: string;
  readonly cpus: number;
  readonly environment: TaskEnvironment;
  /** Whether its machine hangs. */
  isHung(): boolean;
  /** Runs a callback after a delay. Drops it if the worker is dead by then; delays it while the worker hangs. */
  after(delay: number, run: () => void): void;
  /** Called for each change that the next heartbeat must contain. */
  onChanged(): void;
}

const occupiesMachine = ({ state }: TaskAttempt): boolean =>
  state !== 'fetching' && state !== 'exited';

const keyOf = (task: string, attempt: number): string => `${task}#${attempt}`;

/** The tasks of one worker. */
export class WorkerTasks {
  private readonly attempts = new Map<string, TaskAttempt>();
  private readonly images = new Set<string>();

  constructor(private readonly host: TaskHost) {}

  /** The names of the tasks that run on it or whose image it fetches. */
  taskNames(): string[] {
    return [...this.attempts.values()]
      .filter(({ state }) => state !== 'exited')
      .map(({ task }) => task);
  }

  /** The names of the tasks with an attempt that it reports. */
  reportedTaskNames(): string[] {
    return [...this.attempts.values()].map(({ task }) => task);
  }

  /** The processors that its tasks don't use. */
  freeCpus(): number {
    return this.host.cpus - this.usedCpus(0);
  }

  /** The processors that its tasks use, plus `otherCpus`. */
  private usedCpus(otherCpus: number): number {
    let used = otherCpus;
    for (const { state, cpus } of this.attempts.values()) if (state !== 'exited') used += cpus;
    return used;
  }

  /** The status of each task, as heartbeats contain it. */
  statuses(): object[] {
    return [...this.attempts.values()].map(
      ({ task, number, state, cause, hasSavedCheckpoint }) => ({
        entry: task,
        try: number,
        status: state,
        ...(cause === undefined ? {} : { cause }),
        ...(hasSavedCheckpoint ? { kept: true } : {}),
      }),
    );
  }

  /** Drops all tasks, when the worker ends or has lost its lease. */
  dropAllTasks(): void {
    for (const attempt of this.attempts.values()) this.release(attempt);
    this.attempts.clear();
  }

  /** Removes a task from the machine and from its gang. */
  private release(attempt: TaskAttempt): void {
    const { machine, environment } = this.host;
    if (occupiesMachine(attempt)) environment.onTaskLeft(machine, attempt.task);
    if (attempt.gangMember) environment.propertiesOf(attempt.task)?.gang?.leave(attempt.gangMember);
  }

  /** Drops all tasks and images, when the worker restarts without any state. */
  dropTasksAndImages(): void {
    this.dropAllTasks();
    this.images.clear();
  }

  /** Carries out a command. A repeated command changes nothing. */
  execute(command: CommandMessage): void {
    const key = keyOf(command.entry, command.try);
    const attempt = this.attempts.get(key);
    if (command.verb === 'launch') {
      if (!attempt) this.startAttempt(command.entry, command.try);
    } else if (command.verb === 'kill') {
      if (attempt && attempt.state !== 'exited')
        this.stop(attempt, (command.wind_down_s ?? 0) * 1000);
    } else if (attempt?.state === 'exited') this.attempts.delete(key);
  }

  private startAttempt(task: string, attemptNumber: number): void {
    const properties = this.host.environment.propertiesOf(task);
    const refusal = properties && this.refusalReason(task, properties);
    const attempt: TaskAttempt = {
      task,
      number: attemptNumber,
      state: 'fetching',
      cause: undefined,
      hasSavedCheckpoint: false,
      gangMember: undefined,
      cpus: properties?.cpus ?? 0,
    };
    this.host.onChanged();
    this.attempts.set(keyOf(task, attemptNumber), attempt);
    if (!properties) this.exit(attempt, 'no_such');
    else if (refusal !== undefined) this.exit(attempt, refusal);
    else this.fetchImage(attempt, properties);
  }

  /** Why a start is refused, as the protocol names it; undefined if it is not. */
  private refusalReason(task: string, { cpus }: TaskProperties): string | undefined {
    if (this.taskNames().includes(task)) return 'in_use';
    return this.usedCpus(cpus) > this.host.cpus ? 'full' : undefined;
  }

  private fetchImage(attempt: TaskAttempt, properties: TaskProperties): void {
    const fetchMs = this.images.has(properties.image) ? 0 : properties.fetchMs;
    this.host.after(fetchMs, () => {
      if (this.isCurrent(attempt)) this.run(attempt, properties);
    });
  }

  private run(attempt: TaskAttempt, properties: TaskProperties): void {
    const { machine, environment } = this.host;
    const { task } = attempt;
    this.images.add(properties.image);
    environment.onTaskStarted(machine, task);
    if (properties.gang) {
      this.joinGang(attempt, properties.gang);
      return;
    }
    attempt.state = 'running';
    this.host.onChanged();
    this.host.after(environment.isCompleted(task) ? 0 : properties.runMs, () => {
      if (!this.isCurrent(attempt)) return;
      environment.onTaskCompleted(task);
      this.exit(attempt, 'done');
    });
  }

  /** Whether an attempt is still on the worker and has not exited. */
  private isCurrent(task: TaskAttempt): boolean {
    return this.attempts.get(keyOf(task.task, task.number)) === task && task.state !== 'exited';
  }

  /** Adds the task to its gang, which controls it from now on. */
  private joinGang(attempt: TaskAttempt, gang: GangRun): void {
    const applyLater = (change: () => void): void => {
      this.host.after(0, () => {
        if (this.isCurrent(attempt)) change();
      });
    };
    const setState = (state: TaskAttempt['state']): void => {
      attempt.state = state;
      this.host.onChanged();
    };
    attempt.gangMember = {
      index: Number(attempt.task.split('/')[1]),
      attempt: attempt.number,
      isHung: () => this.host.isHung(),
      startRunning: () => applyLater(() => setState('running')),
      startCheckpoint: () => setState('flushing'),
      exit: (cause, hasSavedCheckpoint) =>
        applyLater(() => this.exit(attempt, cause, hasSavedCheckpoint)),
    };
    setState('gathering');
    gang.join(attempt.gangMember);
  }

  /** Stops a task. A task of a gang saves a checkpoint first if there is enough time. */
  private stop(attempt: TaskAttempt, graceMs: number): void {
    const properties = this.host.environment.propertiesOf(attempt.task);
    const canSave = properties?.checkpointMs !== undefined && graceMs >= properties.checkpointMs;
    if (attempt.state === 'flushing' && graceMs > 0) return;
    if (attempt.state === 'running' && attempt.gangMember && canSave)
      properties.gang?.stop(attempt.gangMember);
    else this.exit(attempt, 'halted');
  }

  /** Ends a running task by itself: it completes or fails. */
  endTask(task: string, cause: 'done' | 'error'): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.task !== task || attempt.state !== 'running') continue;
      if (cause === 'done') this.host.environment.onTaskCompleted(task);
      this.exit(attempt, cause);
    }
  }

  private exit(attempt: TaskAttempt, cause: string, hasSavedCheckpoint = false): void {
    this.release(attempt);
    attempt.state = 'exited';
    attempt.cause = cause;
    if (hasSavedCheckpoint) attempt.hasSavedCheckpoint = true;
    this.host.onChanged();
  }
}
