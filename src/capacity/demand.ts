/** The demand for machines: which tasks wait, and how long they may wait before renting machines pays off. */
import type { Objective } from '../config/settings.js';
import { fits, machineResources, taskResources, type Resources } from '../fleet/resources.js';
import { isGang } from '../ledger/job.js';
import { isUrgent, nextDeadline, type QueueEntry } from '../ledger/placement-order.js';
import { ms, seconds, type DurationMs, type WallMs } from '../units/index.js';
import type { JobSpec, MachineType } from '../wire/index.js';
import { UNLIMITED_WAIT, NO_WAIT, type Demand } from './types.js';

/** Machines are rented for tasks that would wait longer than this many boot times. */
const ACCEPTABLE_WAIT_BOOT_TIMES = 0.7;
/** The acceptable wait of urgent tasks, as a share of that of other tasks. */
const URGENT_WAIT_SHARE = 0.25;
/** A job that has waited longer than this must not wait any longer, whatever its deadline. */
const MAX_JOB_WAIT = seconds(180);
/** While there are no machines at all, on-demand machines are rented only for jobs that have waited this long. */
const EMPTY_FLEET_SPOT_ONLY_TIME = seconds(5);
/** Plans assume that a task runs for this many times its expected runtime. */
const RUNTIME_MARGIN_FACTOR = 1.2;

/** Tasks that may be submitted next, all with the same spec. */
export interface AnticipatedTasks {
  readonly spec: JobSpec;
  readonly taskCount: number;
}

/** What the demand of queued jobs is computed from. */
export interface DemandContext {
  readonly objectives: readonly Objective[];
  readonly machineTypes: readonly MachineType[];
  /** Whether there are no machines, not even booting ones. */
  readonly isFleetEmpty: boolean;
  readonly now: WallMs;
}

/** The demand of the waiting tasks of queued jobs, in queue order. */
export function queuedDemand(queue: readonly QueueEntry[], context: DemandContext): Demand[] {
  return queue.map((entry) => demandOfJob(entry, context));
}

/**
 * The demand for standby machines, so that anticipated tasks need not wait. On-demand machines are not
 * rented for tasks that may run on spot machines.
 */
export function anticipatedDemand(anticipated: readonly AnticipatedTasks[]): Demand[] {
  return anticipated.map(({ spec, taskCount }) => ({
    ...constraintsOf(spec),
    taskCount,
    acceptableWait: NO_WAIT,
    maxWait: UNLIMITED_WAIT,
  }));
}

/** The part of a demand that depends on the job's spec alone. */
const constraintsOf = (
  spec: JobSpec,
): Omit<Demand, 'taskCount' | 'acceptableWait' | 'maxWait'> => ({
  resources: taskResources(spec),
  machineTypes: spec.machineTypes,
  requiredZone: spec.zone,
  allowSpot: spec.allowSpot,
  expectedRuntime: ms(spec.expectedRuntimeSeconds * 1000),
  isGang: isGang(spec),
  singleZone: spec.singleZone,
  spreadZones: spec.spreadZones,
});

function demandOfJob({ job }: QueueEntry, context: DemandContext): Demand {
  const constraints = constraintsOf(job.spec);
  const bootTime = shortestBootTime(constraints.resources, context.machineTypes);
  const urgencyShare = isUrgent(job.spec.priority) ? URGENT_WAIT_SHARE : 1;
  return {
    ...constraints,
    taskCount: job.waitingTasks.size,
    acceptableWait: ms(bootTime * ACCEPTABLE_WAIT_BOOT_TIMES * urgencyShare),
    maxWait: maxWaitOf(job, constraints.expectedRuntime, bootTime, context),
  };
}

/** How long tasks of a job may wait and still finish in time. */
function maxWaitOf(
  job: QueueEntry['job'],
  runtime: DurationMs,
  bootTime: DurationMs,
  { objectives, isFleetEmpty, now }: DemandContext,
): DurationMs {
  const waited = now - job.submittedAt;
  if (waited > MAX_JOB_WAIT) return NO_WAIT;
  // An empty fleet rents spot machines first; the cloud's responses show which capacity is missing.
  if (isFleetEmpty && waited < EMPTY_FLEET_SPOT_ONLY_TIME) return UNLIMITED_WAIT;
  const { dueAt, isLate } = nextDeadline(job, objectives, now, runtime);
  const slack = dueAt - now - runtime * RUNTIME_MARGIN_FACTOR;
  const isDeadlineUnreachable = isLate && slack + runtime + bootTime < 0;
  return isDeadlineUnreachable ? UNLIMITED_WAIT : ms(Math.max(0, slack));
}

/** The shortest boot time of any machine type that can hold the task; 0 if there is none. */
function shortestBootTime(task: Resources, machineTypes: readonly MachineType[]): DurationMs {
  let shortest = Infinity;
  for (const type of machineTypes) {
    if (fits(task, machineResources(type))) shortest = Math.min(shortest, type.bootSeconds * 1000);
  }
  return ms(Number.isFinite(shortest) ? shortest : 0);
}
