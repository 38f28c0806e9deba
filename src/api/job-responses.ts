/** Responses about a job, depending on what is known of it. */
import type { StoredJob } from '../ledger/job-records.js';
import { jobStatusOf, type FinalState, type Job } from '../ledger/job.js';
import type { JobLookupResult } from '../leader/job-requests.js';
import type { DurationMs } from '../units/index.js';
import { JobStatus, encodeJobState } from '../wire/index.js';
import {
  LEADER_STORE_LATE,
  NO_SUCH_JOB,
  serviceUnavailable,
  type ApiResponse,
} from './api-response.js';

/** This submission has written the job to the store. */
export const createdResponse = (id: string): ApiResponse => ({
  status: 201,
  body: encodeJobState({ id, status: JobStatus.pending }),
});

/** A submission can't be written soon: tells the client when to retry, in whole seconds. */
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
      return serviceUnavailable('storeUnavailable');
  }
}

/** The job as the leader knows it; `absent` is the response if the job does not exist. */
export function leaderJobResponse(
  id: string,
  result: JobLookupResult,
  absent: ApiResponse,
): ApiResponse {
  switch (result.kind) {
    case 'live':
      // Revision 0 is not committed yet, so the submission may still fail.
      if (result.job.revision === 0) return serviceUnavailable('notCommitted');
      // Other controllers may already read that the job has ended.
      if (result.job.hasTerminalWriteInFlight) return serviceUnavailable('stateUncertain');
      return { status: 200, body: liveBody(result.job) };
    case 'final':
      return { status: 200, body: finalBody(id, result.final) };
    case 'absent':
      return absent;
    case 'absentBefore':
      return LEADER_STORE_LATE;
    case 'unknown':
      return serviceUnavailable('stateUncertain');
  }
}

function liveBody(job: Job): object {
  // Users only see committed state, which includes a cancellation that a follower wrote.
  const isCancellationCommitted =
    job.committedProgress.isCancelled || (job.isCancelled && job.committedVersion >= job.version);
  const status = jobStatusOf(
    { ...job.committedProgress, isCancelled: isCancellationCommitted },
    job.spec.taskCount,
  );
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
