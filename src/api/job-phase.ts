/** The phase of a job that a response tells its user. */
import { phaseOfStatus, JobPhase } from '../ledger/job-phase.js';
import { jobStateIn } from '../wire/index.js';
import type { ApiResponse } from './api-response.js';

/** The phase that a response to a request for a job tells its user; undefined if it tells none. */
export function phaseOf({ status, body }: ApiResponse): JobPhase | undefined {
  if (status === 404) return JobPhase.absent;
  if (status !== 200 && status !== 201) return undefined;
  const state = jobStateIn(body);
  return state && phaseOfStatus(state.status);
}
