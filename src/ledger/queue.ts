import type { Job } from './job.js';
import type { Objective } from '../config/settings.js';
import { ms, seconds, since, type DurationMs, type SteadyMs, type WallMs } from '../units/index.js';
import type { Priority } from '../wire/index.js';

/**
 * The order in which jobs are served: urgency, then those that can still be in time, earliest due
 * first. A job that has been passed over for long comes before all of them, with a few tasks.
 */
const RANK: Record<Priority, number> = { prod: 0, high: 1, normal: 2, low: 3 };
const UNHURRIED = seconds(600);
/** The longest that a job with waiting tasks is passed over: its users see it begin within minutes. */
const PASSED_OVER = seconds(120);
/** A job none of whose tasks is anywhere may begin after this time wherever there is room. */
const MUST_BEGIN = seconds(60);
/** What of a job that was passed over comes first then. */
const FIRST_SHARE = 0.1;

export interface Place {
  readonly rank: number;
  readonly late: boolean;
  readonly due: number;
  readonly job: Job;
  /** How many of its waiting tasks are to be placed at this rank. */
  readonly tasks: number;
  /** It has waited so long that no room may be kept from its beginning. */
  readonly mustBegin: boolean;
}

/** When a job should be done, and by when it is still of use: all times that users set, earliest first. */
function dueTimes(job: Job, objectives: readonly Objective[]): number[] {
  const { deadlineSeconds: due, jobClass: docket } = job.spec;
  const out: number[] = due === null ? [] : [job.submitted + due * 1000];
  for (const o of objectives) {
    if (o.docket !== docket) continue;
    if (o.kind === 'wait' && o.within !== undefined && due === null && job.isGang) {
      out.push(job.submitted + o.within + job.spec.expectedRuntimeSeconds * 1000);
    } else if (o.kind === 'finished' && o.within !== undefined && due === null) {
      out.push(job.submitted + o.within);
    } else if (o.kind === 'deadline' && due !== null && o.times > 1) {
      out.push(job.submitted + due * 1000 * o.times);
    }
  }
  if (out.length === 0) out.push(job.submitted + UNHURRIED);
  return out.sort((a, b) => a - b);
}

/** The next time that matters for a job: the first that it can still meet, else the last of all. */
export function dueBy(
  job: Job,
  objectives: readonly Objective[],
  now: WallMs,
  run: DurationMs,
): { due: number; late: boolean } {
  const times = dueTimes(job, objectives);
  const next = times.find((t) => now + run <= t);
  return next === undefined ? { due: times.at(-1) ?? now, late: true } : { due: next, late: false };
}

export function compare(a: Place, b: Place): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.late !== b.late) return a.late ? 1 : -1;
  if (a.due !== b.due) return a.due - b.due;
  return a.job.id < b.job.id ? -1 : 1;
}

/** For how long a job with waiting tasks has seen none of them placed. */
function passedOver(job: Job, wall: WallMs, now: SteadyMs): DurationMs {
  return job.lastPlaced === undefined ? ms(wall - job.submitted) : since(job.lastPlaced, now);
}

export function placeInQueue(
  job: Job,
  objectives: readonly Objective[],
  wall: WallMs,
  now: SteadyMs,
): Place {
  const waited = passedOver(job, wall, now);
  const mustBegin = job.placed.size === 0 && waited > MUST_BEGIN;
  if (waited > PASSED_OVER) {
    const tasks = Math.min(job.waiting.size, Math.ceil(job.spec.taskCount * FIRST_SHARE));
    return { rank: -1, late: false, due: job.submitted, job, tasks, mustBegin };
  }
  const { due, late } = dueBy(job, objectives, wall, ms(job.spec.expectedRuntimeSeconds * 1000));
  return { rank: RANK[job.spec.priority], late, due, job, tasks: job.waiting.size, mustBegin };
}

/** Whether work of this urgency may take the place of ordinary work. */
export const isUrgent = (u: Priority): boolean => RANK[u] <= RANK.high;

export const rankOf = (u: Priority): number => RANK[u];
