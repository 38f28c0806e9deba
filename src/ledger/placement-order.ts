/**
 * The order in which jobs with waiting tasks are placed: by priority; within a priority, jobs that can still meet
 * their deadline first; and among those, the earliest deadline first. To avoid starvation, a job of which no task has
 * been placed for a long time goes before all others with a few of its tasks.
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
/** The rank of a starved job: before all priorities. */
const STARVED_RANK = -1;
/** The deadline, from its submission, of a job for which neither its user nor an objective sets one. */
const DEFAULT_DEADLINE = seconds(600);
/** A job starves if none of its waiting tasks is placed for longer: users should see it start within minutes. */
const STARVATION_THRESHOLD = seconds(120);
/** The share of its tasks that a starved job may place before all other jobs. */
const STARVED_TASK_SHARE = 0.1;
/** A job that has waited longer without any placed task may also use capacity that is reserved for other jobs. */
const MUST_START_AFTER = seconds(60);

/** A job with waiting tasks, and the values that decide its position. */
export interface QueueEntry {
  /** Lower ranks go first. */
  readonly rank: number;
  /** The job can no longer meet any of its deadlines. */
  readonly isLate: boolean;
  /** The job's deadline or, if it is starved, its submission, in milliseconds since 1970. */
  readonly dueAt: number;
  readonly job: Job;
  /** How many of the job's waiting tasks may be placed at this rank. */
  readonly taskCount: number;
  /** The job has waited so long that it may also use capacity reserved for other jobs. */
  readonly mustStart: boolean;
}

/** The deadline in milliseconds since 1970 that an objective sets for a job of its job class, if any. */
function deadlineFromObjective(objective: Objective, job: Job): number | undefined {
  const { deadlineSeconds, expectedRuntimeSeconds } = job.spec;
  const { kind, within, deadlineFactor: times } = objective;
  if (kind === 'deadline') {
    return deadlineSeconds !== null && times > 1
      ? job.submittedAt + deadlineSeconds * 1000 * times
      : undefined;
  }
  // The other kinds apply only to jobs whose users set no deadline.
  if (within === undefined || deadlineSeconds !== null) return undefined;
  if (kind === 'finished') return job.submittedAt + within;
  return kind === 'wait' && job.isGang
    ? job.submittedAt + within + expectedRuntimeSeconds * 1000
    : undefined;
}

/** All deadlines of a job, from its user and from objectives, earliest first. There is at least one. */
function deadlinesOf(job: Job, objectives: readonly Objective[]): number[] {
  const { deadlineSeconds, jobClass } = job.spec;
  const deadlines = deadlineSeconds === null ? [] : [job.submittedAt + deadlineSeconds * 1000];
  for (const objective of objectives) {
    if (objective.jobClass !== jobClass) continue;
    const deadline = deadlineFromObjective(objective, job);
    if (deadline !== undefined) deadlines.push(deadline);
  }
  if (deadlines.length === 0) deadlines.push(job.submittedAt + DEFAULT_DEADLINE);
  return deadlines.sort((a, b) => a - b);
}

/** The deadline that decides the position of a job. */
export interface Deadline {
  /** Milliseconds since 1970. */
  readonly dueAt: number;
  /** The deadline can no longer be met. */
  readonly isLate: boolean;
}

/**
 * The first deadline that a job can still meet if its tasks start now and run for `runtime`. If it can't meet any, the
 * last one, which it misses by the least.
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

/** A comparator for `Array.sort`: the entry to place first comes first. Job ids break ties, so the order is total. */
export function compareQueueEntries(a: QueueEntry, b: QueueEntry): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.dueAt !== b.dueAt) return a.dueAt - b.dueAt;
  return a.job.id < b.job.id ? -1 : 1;
}

/** The time since a task of the job was last placed or, if none was, since its submission. */
function timeSincePlacement(job: Job, wall: WallMs, now: SteadyMs): DurationMs {
  return job.lastPlacedAt === undefined
    ? ms(wall - job.submittedAt)
    : durationBetween(job.lastPlacedAt, now);
}

/** The queue entry of a job with waiting tasks. `wall` and `now` are the current time on the two clocks. */
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
  const { dueAt, isLate } = nextDeadline(job, objectives, wall, runtime);
  return {
    rank: PRIORITY_RANK[job.spec.priority],
    isLate,
    dueAt,
    job,
    taskCount: job.waitingTasks.size,
    mustStart,
  };
}

/** Whether jobs of this priority may preempt jobs of lower priorities. */
export const isUrgent = (priority: Priority): boolean =>
  PRIORITY_RANK[priority] <= PRIORITY_RANK.high;

/** The rank of a priority; the most urgent priority has rank 0. */
export const priorityRankOf = (priority: Priority): number => PRIORITY_RANK[priority];
