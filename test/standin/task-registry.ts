/** The tasks of all submitted jobs: their properties for the workers, and the machines that each is on. */
import type { UserJob } from './users.js';
import type { TaskProperties, TaskEnvironment } from './worker-tasks.js';

/** One task of a submitted job. */
export interface RegisteredTask {
  readonly job: UserJob;
  readonly index: number;
}

/** Callbacks for the start of tasks and the completion of jobs. */
export interface TaskObserver {
  /** `otherMachines`: the machines that already held the task. */
  onTaskStarted(machine: string, task: string, otherMachines: readonly string[]): void;
  /** All tasks of a job are completed. Called again for each task that completes once more. */
  onJobCompleted(job: UserJob): void;
}

const FETCH_MS_PER_GB = 2000;

/** Tracks the tasks of all jobs. */
export class TaskRegistry implements TaskEnvironment {
  /** How many tasks have started so far. */
  startCount = 0;
  /** The machines that each task is on; a task on none has no entry. */
  private readonly machinesByTask = new Map<string, Set<string>>();

  constructor(
    private readonly jobs: ReadonlyMap<string, UserJob>,
    private readonly observer: TaskObserver,
  ) {}

  /** Finds a task by its name; undefined if its job was never submitted. */
  find(task: string): RegisteredTask | undefined {
    const [id = '', index = ''] = task.split('/');
    const job = this.jobs.get(id);
    return job ? { job, index: Number(index) } : undefined;
  }

  /** The processors that a task uses; 0 if it was never submitted. */
  cpusOf(task: string): number {
    return this.find(task)?.job.spec.cpus ?? 0;
  }

  /** All tasks on machines with their machines, in the order in which the tasks started. */
  placements(): Iterable<[string, ReadonlySet<string>]> {
    return this.machinesByTask;
  }

  /** The machines of a job's tasks, one entry for each placed task. */
  machinesOf(job: string): string[] {
    const found: string[] = [];
    for (const [task, machines] of this.machinesByTask) {
      if (task.startsWith(`${job}/`)) found.push(...machines);
    }
    return found;
  }

  propertiesOf(task: string): TaskProperties | undefined {
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
    this.startCount++;
    const machines = this.machinesByTask.get(task) ?? new Set<string>();
    const others = [...machines];
    machines.add(machine);
    this.machinesByTask.set(task, machines);
    this.observer.onTaskStarted(machine, task, others);
  }

  onTaskLeft(machine: string, task: string): void {
    const machines = this.machinesByTask.get(task);
    machines?.delete(machine);
    if (machines?.size === 0) this.machinesByTask.delete(task);
  }

  onTaskCompleted(task: string): void {
    const found = this.find(task);
    if (!found) return;
    const { job, index } = found;
    job.completedTasks.add(index);
    if (job.completedTasks.size === job.spec.taskCount) this.observer.onJobCompleted(job);
  }

  isCompleted(task: string): boolean {
    const found = this.find(task);
    return found?.job.completedTasks.has(found.index) ?? false;
  }
}
