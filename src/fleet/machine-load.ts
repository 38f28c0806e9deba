/** The resources of a machine that are, or may be, in use. */
import { parseTaskKey, taskKey, type JobId, type SteadyMs, type TaskKey } from '../units/index.js';
import { TaskState, type TaskStatus } from '../wire/index.js';
import type { ImageCache } from './image-cache.js';
import type { Resources } from './resources.js';
import { attemptKey, type WorkerStatus } from './worker-status.js';

/** A task that a job's record places on a machine. */
export interface AssignedTask {
  readonly job: JobId;
  readonly index: number;
  readonly attempt: number;
  readonly resources: Resources;
  readonly image: string;
  readonly placedAt: SteadyMs;
}

/** What is, or may be, in use on a machine. */
export interface MachineLoad {
  readonly used: Resources;
  /** Whether a task of unknown size runs on the machine, so that its free resources are unknown. */
  readonly hasUnknownTasks: boolean;
  /** Images that the machine fetches now or will fetch. */
  readonly imagesBeingFetched: ReadonlySet<string>;
}

/** What the load of a machine is computed from. `Machine` satisfies this interface. */
export interface LoadSource {
  readonly assignments: ReadonlyMap<TaskKey, AssignedTask>;
  readonly images: ImageCache;
  readonly status: WorkerStatus | undefined;
}

/** The resources of one task of a job; undefined if the job is not known. */
export type ResourcesOf = (job: JobId) => Resources | undefined;

class ResourceSum {
  cpus = 0;
  gpus = 0;
  memoryGb = 0;

  add(resources: Resources): void {
    this.cpus += resources.cpus;
    this.gpus += resources.gpus;
    this.memoryGb += resources.memoryGb;
  }
}

/** Sums up the tasks that records place on a machine and any other tasks that its status shows. */
export function computeLoad(machine: LoadSource, resourcesOf: ResourcesOf): MachineLoad {
  const sum = new ResourceSum();
  const imagesBeingFetched = new Set<string>();
  for (const [key, assigned] of machine.assignments) {
    sum.add(assigned.resources);
    if (isFetchingImage(machine, key, assigned)) imagesBeingFetched.add(assigned.image);
  }
  let hasUnknownTasks = false;
  for (const status of machine.status?.tasks ?? []) {
    if (status.state === TaskState.exited) continue;
    const ref = parseTaskKey(status.task);
    if (ref && isAssigned(machine, taskKey(ref.job, ref.index), status)) continue;
    const resources = ref && resourcesOf(ref.job);
    if (resources) sum.add(resources);
    else hasUnknownTasks = true;
  }
  const used = { cpus: sum.cpus, gpus: sum.gpus, memoryGb: sum.memoryGb };
  return { used, hasUnknownTasks, imagesBeingFetched };
}

const isAssigned = (machine: LoadSource, key: TaskKey, status: TaskStatus): boolean =>
  machine.assignments.get(key)?.attempt === status.attempt;

/** Whether the image of an assigned task is, as far as the leader knows, not on the machine yet. */
function isFetchingImage(machine: LoadSource, key: TaskKey, assigned: AssignedTask): boolean {
  if (machine.images.has(assigned.image)) return false;
  const status = machine.status?.byAttempt.get(attemptKey(key, assigned.attempt));
  return !status || status.state === TaskState.fetching;
}
