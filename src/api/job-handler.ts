/** Questions about a job, and cancellations: answered by the leader, or else by what the store holds. */
import type { JobRecords } from '../ledger/job-records.js';
import type { JobAnswer } from '../leader/job-requests.js';
import type { Term } from '../leader/term.js';
import { JobId, later, ms, durationBetween, sleep, type Clock } from '../units/index.js';
import { JOB_ID } from '../wire/index.js';
import { STORE_RESPONSE_TTL, leaderJobResponse, storedJobResponse } from './job-responses.js';
import { sendToLeader } from './leader-request.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import { NO_SUCH_JOB, TRY_AGAIN, type ApiResponse } from './api-response.js';

const READ_TIMEOUT = ms(1200);
const CANCEL_TIMEOUT = ms(1500);
/** How long, and how often, a cancellation asked for through the store is looked for there. */
const CANCEL_WATCH_TIME = ms(1500);
const CANCEL_POLL_INTERVAL = ms(300);

/** Reads and cancels jobs that exist. */
export class JobHandler {
  constructor(
    private readonly leadership: LeaderView,
    private readonly jobRecords: JobRecords,
    private readonly clock: Clock,
  ) {}

  /** The state of a job; `TRY_AGAIN` if that is not certain. */
  async read(id: string, relaying: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID.test(id)) return NO_SUCH_JOB;
    const responder = this.leadership.routeFor(relaying);
    if (responder.kind === 'term') {
      const { term } = responder;
      return this.responseIfAuthorised(term, id, await term.findJob(JobId(id)), NO_SUCH_JOB);
    }
    if (responder.kind === 'leader') {
      const response = await sendToLeader(
        responder.peer,
        { type: 'readJob', job: id },
        READ_TIMEOUT,
      );
      if (response.kind === 'answered') return response.reply;
    }
    return this.readFromStore(id);
  }

  private async readFromStore(id: string): Promise<ApiResponse> {
    const askedAt = this.clock.steady();
    const stored = await this.jobRecords.lookup(JobId(id));
    // What is not final may have changed while a late answer was under way, and its user may know that.
    const isLate = durationBetween(askedAt, this.clock.steady()) > STORE_RESPONSE_TTL;
    return isLate && stored.kind !== 'final' ? TRY_AGAIN : storedJobResponse(id, stored);
  }

  /** Cancels a job and answers with its state once that is committed; `TRY_AGAIN` if that is not known. */
  async cancel(id: string, relaying: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID.test(id)) return NO_SUCH_JOB;
    const responder = this.leadership.routeFor(relaying);
    if (responder.kind === 'term') {
      const { term } = responder;
      return this.responseIfAuthorised(term, id, await term.cancelJob(JobId(id)), NO_SUCH_JOB);
    }
    if (responder.kind === 'leader') {
      const request = { type: 'cancelJob', job: id } as const;
      const response = await sendToLeader(responder.peer, request, CANCEL_TIMEOUT);
      if (response.kind === 'answered') return response.reply;
    }
    return this.cancelInStore(id, relaying);
  }

  private async cancelInStore(id: string, relaying: RelayPolicy): Promise<ApiResponse> {
    const stored = await this.jobRecords.cancel(JobId(id));
    if (stored.kind !== 'unknown') return storedJobResponse(id, stored);
    // There is a leader that we can't reach: it is asked through the store, where it will answer.
    if (relaying === 'answerHere' || !(await this.jobRecords.requestCancellation(JobId(id)))) {
      return TRY_AGAIN;
    }
    return this.awaitCancellation(id);
  }

  private async awaitCancellation(id: string): Promise<ApiResponse> {
    const until = later(this.clock.steady(), CANCEL_WATCH_TIME);
    while (this.clock.steady() < until) {
      await sleep(this.clock, CANCEL_POLL_INTERVAL);
      const stored = await this.jobRecords.lookup(JobId(id));
      if (stored.kind === 'final' || (stored.kind === 'live' && stored.job.isCancelled)) {
        return storedJobResponse(id, stored);
      }
    }
    return TRY_AGAIN;
  }

  /** The reply that an answer of our term allows; `absent` is the reply if there is no such job. */
  responseIfAuthorised(
    term: Term,
    id: string,
    answer: JobAnswer,
    absent: ApiResponse,
  ): ApiResponse {
    // While this process waited, or stood still, another node may have begun to lead and have answered
    // users with a later state than the one known here. What is final stays as it is.
    const isAuthorised = answer.kind === 'final' || this.leadership.authorisedTerm() === term;
    return isAuthorised ? leaderJobResponse(id, answer, absent) : TRY_AGAIN;
  }
}
