/** How far a job has come, as far as the answers to its user are ordered by it. */
import { JobStatus, jobStateIn } from '../wire/index.js';
import type { ApiResponse } from './api-response.js';

/** The phases in their order. After an answer of one phase, a user must not get one of an earlier phase. */
export const JobPhase = {
  /** Nobody has been told that the job is accepted. */
  absent: 0,
  /** The job is accepted; its tasks wait or run. */
  accepted: 1,
  /** The job is done or cancelled. */
  ended: 2,
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

/** The phase that a response to a request for a job tells its user; undefined if it tells none. */
export function phaseOf({ status, body }: ApiResponse): JobPhase | undefined {
  if (status === 404) return JobPhase.absent;
  if (status !== 200 && status !== 201) return undefined;
  const state = jobStateIn(body);
  return state && phaseOfStatus(state.status);
}

const phaseOfStatus = (status: JobStatus): JobPhase =>
  status === JobStatus.done || status === JobStatus.cancelled ? JobPhase.ended : JobPhase.accepted;
