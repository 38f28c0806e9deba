import type { Job } from './job.js';
import type { Objective } from '../config/settings.js';
import { seconds, type DurationMs, type WallMs } from '../units/index.js';
import type { Urgency } from '../wire/index.js';

/** The order in which jobs are served: urgency, then those that can still be in time, earliest due first. */
const RANK: Record<Urgency, number> = { prod: 0, high: 1, normal: 2, low: 3 };
const UNHURRIED = seconds(600);

export interface Place {
  readonly rank: number;
  readonly late: boolean;
  readonly due: number;
  readonly job: Job;
}

/** The time by which a job should be done, by its own deadline or by what is expected of its class. */
export function dueBy(job: Job, objectives: readonly Objective[], now: WallMs): number {
  if (job.spec.due_s !== null) return job.submitted + job.spec.due_s * 1000;
  let due: number | undefined;
  let last: number | undefined;
  for (const o of objectives) {
    if (o.kind !== 'finished' || o.docket !== job.spec.docket || o.within === undefined) continue;
    const at = job.submitted + o.within;
    if (last === undefined || at > last) last = at;
    if (at > now && (due === undefined || at < due)) due = at;
  }
  return due ?? last ?? job.submitted + UNHURRIED;
}

export function compare(a: Place, b: Place): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.late !== b.late) return a.late ? 1 : -1;
  if (a.due !== b.due) return a.due - b.due;
  return a.job.id < b.job.id ? -1 : 1;
}

export function placeInQueue(
  job: Job,
  objectives: readonly Objective[],
  now: WallMs,
  run: DurationMs,
): Place {
  const due = dueBy(job, objectives, now);
  return { rank: RANK[job.spec.urgency], late: now + run > due, due, job };
}

export const rankOf = (u: Urgency): number => RANK[u];
