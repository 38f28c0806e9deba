/** The demand for machines: which tasks wait, and how long they may before machines are worth their price. */
import type { Objective } from '../config/settings.js';
import { fits, machineResources, taskResources, type Resources } from '../fleet/resources.js';
import { isGang } from '../ledger/job.js';
import { isUrgent, nextDeadline, type QueueEntry } from '../ledger/placement-order.js';
import { ms, seconds, type DurationMs, type WallMs } from '../units/index.js';
import type { JobSpec, MachineType } from '../wire/index.js';
import { NEVER, NO_WAIT, type Demand } from './types.js';

/** A machine is rented for tasks that would wait longer than this many boot times. */
const ACCEPTABLE_WAIT_BOOTS = 0.7;
/** Urgent tasks wait only this share of it. */
const URGENT_WAIT_SHARE = 0.25;
/** A job that has waited this long must not wait any longer, whatever its deadline. */
const MAX_AFFORDABLE_WAIT = seconds(180);
/** While there are no machines at all, on-demand ones are rented only for jobs that have waited this long. */
const EMPTY_FLEET_GRACE = seconds(5);
/** Tasks are planned to run for this many times as long as expected. */
const RUNTIME_MARGIN = 1.2;

/** Tasks like those of a spec that may be submitted next. */
export interface AnticipatedTasks {
  readonly spec: JobSpec;
  readonly count: number;
}

/** What the demand of queued jobs depends on. */
export interface DemandContext {
  readonly objectives: readonly Objective[];
  readonly machineTypes: readonly MachineType[];
  /** There are no machines, not even booting ones. */
  readonly isFleetEmpty: boolean;
  readonly now: WallMs;
}

/** The demand of the waiting tasks of queued jobs, in the order of the queue. */
export function queuedDemand(queue: readonly QueueEntry[], context: DemandContext): Demand[] {
  return queue.map((entry) => demandOfJob(entry, context));
}

/**
 * Demand for machines on standby, so that anticipated tasks need not wait. On-demand machines are not
 * rented for tasks that may run on spot ones.
 */
export function anticipatedDemand(anticipated: readonly AnticipatedTasks[]): Demand[] {
  return anticipated.map(({ spec, count }) => ({
    ...constraintsOf(spec),
    taskCount: count,
    acceptableWait: NO_WAIT,
    maxWait: NEVER,
  }));
}

/** All that a demand takes from the spec alone. */
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
  const bootTime = shortestBoot(constraints.resources, context.machineTypes);
  const urgencyShare = isUrgent(job.spec.priority) ? URGENT_WAIT_SHARE : 1;
  return {
    ...constraints,
    taskCount: job.waitingTasks.size,
    acceptableWait: ms(bootTime * ACCEPTABLE_WAIT_BOOTS * urgencyShare),
    maxWait: maxWaitOf(job, constraints.expectedRuntime, bootTime, context),
  };
}

/** How long tasks of a job may wait and still be in time. */
function maxWaitOf(
  job: QueueEntry['job'],
  runtime: DurationMs,
  bootTime: DurationMs,
  { objectives, isFleetEmpty, now }: DemandContext,
): DurationMs {
  const waited = now - job.submittedAt;
  if (waited > MAX_AFFORDABLE_WAIT) return NO_WAIT;
  // Into an empty fleet spot machines are rented first; their answers show what is missing.
  if (isFleetEmpty && waited < EMPTY_FLEET_GRACE) return NEVER;
  const { dueAt: due, isLate: late } = nextDeadline(job, objectives, now, runtime);
  const slack = due - now - runtime * RUNTIME_MARGIN;
  const isHopeless = late && slack + runtime + bootTime < 0;
  return isHopeless ? NEVER : ms(Math.max(0, slack));
}

/** The shortest boot of a machine that a task fits; 0 if there is none. */
function shortestBoot(task: Resources, machineTypes: readonly MachineType[]): DurationMs {
  let shortest = Infinity;
  for (const type of machineTypes) {
    if (fits(task, machineResources(type))) shortest = Math.min(shortest, type.bootSeconds * 1000);
  }
  return ms(Number.isFinite(shortest) ? shortest : 0);
}
