/**
 * The order in which jobs with waiting tasks are placed: by priority, within one those that can still meet their
 * deadline, earliest deadline first. A job none of whose tasks was placed for long goes before all of them, with a
 * few tasks, so that none starves.
 */
import type { Objective } from '../config/settings.js';
import {
  ms,
  seconds,
  durationBetween,
  type DurationMs,
  type SteadyMs,
  type WallMs,
} from '../units/index.js';
import type { Priority } from '../wire/index.js';
import type { Job } from './job.js';

const PRIORITY_RANK: Record<Priority, number> = { prod: 0, high: 1, normal: 2, low: 3 };
/** The rank of a job that has starved: before all priorities. */
const STARVED_RANK = -1;
/** The deadline of a job for which neither its user nor an objective sets one, counted from its submission. */
const DEFAULT_DEADLINE = seconds(600);
/** A job with waiting tasks starves if none was placed for longer: users are to see it begin within minutes. */
const STARVATION_THRESHOLD = seconds(120);
/** The share of its tasks that a starved job may place before all others. */
const STARVED_TASK_SHARE = 0.1;
/** A job that has waited longer without a task on any machine may also use the capacity reserved for others. */
const MUST_START_AFTER = seconds(60);

/** A job with waiting tasks, and what decides its position. */
export interface QueueEntry {
  /** Lower ones first. */
  readonly rank: number;
  /** It can't meet any of its deadlines any more. */
  readonly isLate: boolean;
  /** Milliseconds since 1970: its deadline or, if it has starved, its submission. */
  readonly dueAt: number;
  readonly job: Job;
  /** How many of its waiting tasks are to be placed at this rank. */
  readonly taskCount: number;
  /** It has waited so long that capacity reserved for others must not keep it from starting. */
  readonly mustStart: boolean;
}

/** The deadline, in milliseconds since 1970, that an objective sets for a job of its class; undefined if it sets none. */
function deadlineUnder(objective: Objective, job: Job): number | undefined {
  const { deadlineSeconds, expectedRuntimeSeconds } = job.spec;
  const { kind, within, times } = objective;
  if (kind === 'deadline') {
    return deadlineSeconds !== null && times > 1
      ? job.submittedAt + deadlineSeconds * 1000 * times
      : undefined;
  }
  // The other kinds are for jobs whose users set no deadline.
  if (within === undefined || deadlineSeconds !== null) return undefined;
  if (kind === 'finished') return job.submittedAt + within;
  return kind === 'wait' && job.isGang
    ? job.submittedAt + within + expectedRuntimeSeconds * 1000
    : undefined;
}

/** All deadlines of a job, that of its user and those of objectives, earliest first; at least one. */
function deadlinesOf(job: Job, objectives: readonly Objective[]): number[] {
  const { deadlineSeconds, jobClass } = job.spec;
  const deadlines = deadlineSeconds === null ? [] : [job.submittedAt + deadlineSeconds * 1000];
  for (const objective of objectives) {
    if (objective.jobClass !== jobClass) continue;
    const deadline = deadlineUnder(objective, job);
    if (deadline !== undefined) deadlines.push(deadline);
  }
  if (deadlines.length === 0) deadlines.push(job.submittedAt + DEFAULT_DEADLINE);
  return deadlines.sort((a, b) => a - b);
}

/** The deadline that a job is placed by. */
export interface Deadline {
  /** Milliseconds since 1970. */
  readonly dueAt: number;
  /** It can't be met any more. */
  readonly isLate: boolean;
}

/**
 * The first deadline that a job can still meet if its tasks start now and run for `runtime`; else the last of all,
 * by which it is late least.
 */
export function nextDeadline(
  job: Job,
  objectives: readonly Objective[],
  now: WallMs,
  runtime: DurationMs,
): Deadline {
  const deadlines = deadlinesOf(job, objectives);
  const next = deadlines.find((deadline) => now + runtime <= deadline);
  return next === undefined
    ? { dueAt: deadlines.at(-1) ?? now, isLate: true }
    : { dueAt: next, isLate: false };
}

/** For `Array.sort`: the entry to be placed first comes first. Ids decide between equals, so that the order is fixed. */
export function compareQueueEntries(a: QueueEntry, b: QueueEntry): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.dueAt !== b.dueAt) return a.dueAt - b.dueAt;
  return a.job.id < b.job.id ? -1 : 1;
}

/** For how long none of a job's tasks was placed. */
function timeSincePlacement(job: Job, wall: WallMs, now: SteadyMs): DurationMs {
  return job.lastPlacedAt === undefined
    ? ms(wall - job.submittedAt)
    : durationBetween(job.lastPlacedAt, now);
}

/** The position of a job with waiting tasks. `wall` and `now` are the present time on both clocks. */
export function queueEntryFor(
  job: Job,
  objectives: readonly Objective[],
  wall: WallMs,
  now: SteadyMs,
): QueueEntry {
  const waited = timeSincePlacement(job, wall, now);
  const mustStart = job.placements.size === 0 && waited > MUST_START_AFTER;
  if (waited > STARVATION_THRESHOLD) {
    const share = Math.ceil(job.spec.taskCount * STARVED_TASK_SHARE);
    return {
      rank: STARVED_RANK,
      isLate: false,
      dueAt: job.submittedAt,
      job,
      taskCount: Math.min(job.waitingTasks.size, share),
      mustStart,
    };
  }
  const runtime = ms(job.spec.expectedRuntimeSeconds * 1000);
  const { dueAt: due, isLate: late } = nextDeadline(job, objectives, wall, runtime);
  return {
    rank: PRIORITY_RANK[job.spec.priority],
    isLate: late,
    dueAt: due,
    job,
    taskCount: job.waitingTasks.size,
    mustStart,
  };
}

/** Whether work of this priority may preempt work of lower ones. */
export const isUrgent = (priority: Priority): boolean =>
  PRIORITY_RANK[priority] <= PRIORITY_RANK.high;

/** The rank of a priority: the most urgent one has 0. */
export const priorityRankOf = (priority: Priority): number => PRIORITY_RANK[priority];
