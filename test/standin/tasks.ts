/** What workers see of the jobs that users submitted, and where each task is at every moment. */
import type { UserJob } from './users.js';
import type { TaskFacts, WorkerWorld } from './worker-tasks.js';

/** One task of a job. */
export interface Task {
  readonly job: UserJob;
  readonly index: number;
}

/** Called as tasks start and end. */
export interface TaskObserver {
  /** `others`: the machines that the task was on already. */
  onStarted(machine: string, task: string, others: readonly string[]): void;
  /** All tasks of a job are completed; called once more for each task that completes again. */
  onJobCompleted(job: UserJob): void;
}

const FETCH_MS_PER_GB = 2000;

/** The tasks of all jobs. */
export class Tasks implements WorkerWorld {
  /** How many tasks were started so far. */
  starts = 0;
  /** The machines that each task is on; a task that is on none has no entry. */
  private readonly machines = new Map<string, Set<string>>();

  constructor(
    private readonly jobs: ReadonlyMap<string, UserJob>,
    private readonly observer: TaskObserver,
  ) {}

  /** The task of a name; undefined if its job was never submitted. */
  find(task: string): Task | undefined {
    const [id = '', index = ''] = task.split('/');
    const job = this.jobs.get(id);
    return job ? { job, index: Number(index) } : undefined;
  }

  /** The processors that a task takes; 0 if it was never submitted. */
  cpusOf(task: string): number {
    return this.find(task)?.job.spec.cpus ?? 0;
  }

  /** All tasks that are on machines, and the machines, in the order in which they started. */
  placed(): Iterable<[string, ReadonlySet<string>]> {
    return this.machines;
  }

  /** The machines that a job's tasks are on, one for each task. */
  machinesOf(job: string): string[] {
    const found: string[] = [];
    for (const [task, machines] of this.machines) {
      if (task.startsWith(`${job}/`)) found.push(...machines);
    }
    return found;
  }

  facts(task: string): TaskFacts | undefined {
    const job = this.find(task)?.job;
    if (!job) return undefined;
    const { cpus, image, imageSizeGb, checkpointIntervalSeconds, checkpointSeconds } = job.spec;
    return {
      cpus,
      runMs: job.runMs,
      fetchMs: imageSizeGb * FETCH_MS_PER_GB,
      image,
      checkpointMs: checkpointIntervalSeconds > 0 ? checkpointSeconds * 1000 : undefined,
      gang: job.gang,
    };
  }

  onTaskStarted(machine: string, task: string): void {
    this.starts++;
    const machines = this.machines.get(task) ?? new Set<string>();
    const others = [...machines];
    machines.add(machine);
    this.machines.set(task, machines);
    this.observer.onStarted(machine, task, others);
  }

  onTaskLeft(machine: string, task: string): void {
    const machines = this.machines.get(task);
    machines?.delete(machine);
    if (machines?.size === 0) this.machines.delete(task);
  }

  onTaskCompleted(task: string): void {
    const found = this.find(task);
    if (!found) return;
    const { job, index } = found;
    job.completed.add(index);
    if (job.completed.size === job.spec.taskCount) this.observer.onJobCompleted(job);
  }

  isCompleted(task: string): boolean {
    const found = this.find(task);
    return found?.job.completed.has(found.index) ?? false;
  }
}
