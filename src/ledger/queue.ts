import type { Job } from './job.js';
import type { Objective } from '../config/settings.js';
import { ms, seconds, since, type DurationMs, type SteadyMs, type WallMs } from '../units/index.js';
import type { Priority } from '../wire/index.js';

/**
 * The order in which jobs are served: urgency, then those that can still be in time, earliest due
 * first. A job that has been passed over for long comes before all of them, with a few tasks.
 */
const PRIORITY_RANK: Record<Priority, number> = { prod: 0, high: 1, normal: 2, low: 3 };
const DEFAULT_DEADLINE = seconds(600);
/** The longest that a job with waiting tasks is passed over: its users see it begin within minutes. */
const STARVATION_THRESHOLD = seconds(120);
/** A job none of whose tasks is anywhere may begin after this time wherever there is room. */
const MUST_START_AFTER = seconds(60);
/** What of a job that was passed over comes first then. */
const STARVED_TASK_SHARE = 0.1;

export interface QueueEntry {
  readonly rank: number;
  readonly isLate: boolean;
  readonly dueAt: number;
  readonly job: Job;
  /** How many of its waiting tasks are to be placed at this rank. */
  readonly taskCount: number;
  /** It has waited so long that no room may be kept from its beginning. */
  readonly mustStart: boolean;
}

/** When a job should be done, and by when it is still of use: all times that users set, earliest first. */
function deadlinesOf(job: Job, objectives: readonly Objective[]): number[] {
  const { deadlineSeconds: due, jobClass: docket } = job.spec;
  const out: number[] = due === null ? [] : [job.submittedAt + due * 1000];
  for (const o of objectives) {
    if (o.jobClass !== docket) continue;
    if (o.kind === 'wait' && o.within !== undefined && due === null && job.isGang) {
      out.push(job.submittedAt + o.within + job.spec.expectedRuntimeSeconds * 1000);
    } else if (o.kind === 'finished' && o.within !== undefined && due === null) {
      out.push(job.submittedAt + o.within);
    } else if (o.kind === 'deadline' && due !== null && o.times > 1) {
      out.push(job.submittedAt + due * 1000 * o.times);
    }
  }
  if (out.length === 0) out.push(job.submittedAt + DEFAULT_DEADLINE);
  return out.sort((a, b) => a - b);
}

/** The next time that matters for a job: the first that it can still meet, else the last of all. */
export function nextDeadline(
  job: Job,
  objectives: readonly Objective[],
  now: WallMs,
  run: DurationMs,
): { due: number; late: boolean } {
  const times = deadlinesOf(job, objectives);
  const next = times.find((t) => now + run <= t);
  return next === undefined ? { due: times.at(-1) ?? now, late: true } : { due: next, late: false };
}

export function compareQueueEntries(a: QueueEntry, b: QueueEntry): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  if (a.dueAt !== b.dueAt) return a.dueAt - b.dueAt;
  return a.job.id < b.job.id ? -1 : 1;
}

/** For how long a job with waiting tasks has seen none of them placed. */
function timeSincePlacement(job: Job, wall: WallMs, now: SteadyMs): DurationMs {
  return job.lastPlacedAt === undefined ? ms(wall - job.submittedAt) : since(job.lastPlacedAt, now);
}

export function queueEntryFor(
  job: Job,
  objectives: readonly Objective[],
  wall: WallMs,
  now: SteadyMs,
): QueueEntry {
  const waited = timeSincePlacement(job, wall, now);
  const mustBegin = job.placements.size === 0 && waited > MUST_START_AFTER;
  if (waited > STARVATION_THRESHOLD) {
    const tasks = Math.min(job.waiting.size, Math.ceil(job.spec.taskCount * STARVED_TASK_SHARE));
    return {
      rank: -1,
      isLate: false,
      dueAt: job.submittedAt,
      job,
      taskCount: tasks,
      mustStart: mustBegin,
    };
  }
  const { due, late } = nextDeadline(
    job,
    objectives,
    wall,
    ms(job.spec.expectedRuntimeSeconds * 1000),
  );
  return {
    rank: PRIORITY_RANK[job.spec.priority],
    isLate: late,
    dueAt: due,
    job,
    taskCount: job.waiting.size,
    mustStart: mustBegin,
  };
}

/** Whether work of this urgency may take the place of ordinary work. */
export const isUrgent = (u: Priority): boolean => PRIORITY_RANK[u] <= PRIORITY_RANK.high;

export const rankOf = (u: Priority): number => PRIORITY_RANK[u];
