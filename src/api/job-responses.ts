/** Replies about a job, by what is known of it. */
import type { StoredJob } from '../ledger/job-records.js';
import { statusOf, type FinalState, type Job } from '../ledger/job.js';
import type { JobAnswer } from '../leader/job-requests.js';
import { ms, type DurationMs } from '../units/index.js';
import { JobStatus, encodeJobState } from '../wire/index.js';
import { NO_SUCH_JOB, TRY_AGAIN, type ApiResponse } from './api-response.js';

/** What the store said longer ago than this may not be the latest any more. */
export const STORE_RESPONSE_TTL = ms(250);

/** The job is in the store, by this submission. */
export const createdResponse = (id: string): ApiResponse => ({
  status: 201,
  body: encodeJobState({ id, status: JobStatus.pending }),
});

/** A submission can't be written soon: when to come back, in whole seconds. */
export const busyResponse = (wait: DurationMs): ApiResponse => ({
  status: 429,
  retryAfter: Math.max(1, Math.ceil(wait / 1000)),
});

/** The job as the store holds it. */
export function storedJobResponse(id: string, stored: StoredJob): ApiResponse {
  switch (stored.kind) {
    case 'live':
      return { status: 200, body: liveBody(stored.job) };
    case 'final':
      return { status: 200, body: finalBody(id, stored.final) };
    case 'absent':
      return NO_SUCH_JOB;
    case 'unknown':
      return TRY_AGAIN;
  }
}

/** The job as the leader knows it; `absent` is the reply if there is none. */
export function leaderJobResponse(id: string, answer: JobAnswer, absent: ApiResponse): ApiResponse {
  switch (answer.kind) {
    case 'live':
      // Not committed yet: the job may still come to nothing.
      return answer.job.revision > 0 ? { status: 200, body: liveBody(answer.job) } : TRY_AGAIN;
    case 'final':
      return { status: 200, body: finalBody(id, answer.final) };
    case 'absent':
      return absent;
    case 'unknown':
      return TRY_AGAIN;
  }
}

function liveBody(job: Job): object {
  // Only what is committed is shown; a cancellation that a follower wrote is.
  const cancelled =
    job.committedProgress.isCancelled || (job.isCancelled && job.committedVersion >= job.version);
  const status = statusOf({ ...job.committedProgress, isCancelled: cancelled }, job.spec.taskCount);
  return encodeJobState({
    id: job.id,
    status,
    done: job.committedProgress.doneCount,
    running: status === JobStatus.cancelled ? 0 : job.committedProgress.placedCount,
    team: job.spec.team,
  });
}

const finalBody = (id: string, final: FinalState): object =>
  encodeJobState({
    id,
    status: final.status,
    done: final.doneCount,
    running: 0,
    team: final.team,
    reason: final.reason,
  });
