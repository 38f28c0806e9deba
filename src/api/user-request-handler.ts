/**
 * What users ask, by path and method: submissions, questions and cancellations. They are answered by this
 * node while it leads, otherwise through the leader, otherwise from the store as far as that goes without
 * a leader.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { UserPeerRequest } from '../peer/messages.js';
import { ms, type Clock } from '../units/index.js';
import { JobHandler } from './job-handler.js';
import type { LeaderView } from './leader-view.js';
import {
  ISOLATED,
  METHOD_NOT_ALLOWED,
  NO_SUCH_PATH,
  TRY_AGAIN,
  type ApiResponse,
} from './api-response.js';
import { SubmissionHandler } from './submission-handler.js';

/** The longest a user's request is worked on before it gets its final answer. */
const MAX_REQUEST_TIME = ms(2500);

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/jobs\/([^/]+)\/abort$/;

/** What users' requests need of the rest of the node. */
export interface UserRequestDependencies {
  readonly admission: AdmissionControl;
  readonly leadership: LeaderView;
  readonly jobRecords: JobRecords;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether this node alone is cut off from the store and the other nodes. */
  readonly isIsolated: () => boolean;
}

/** Answers users, whether they ask this node or another that passes their requests on. */
export class UserRequestHandler {
  private readonly queries: JobHandler;
  private readonly submissions: SubmissionHandler;

  constructor(private readonly deps: UserRequestDependencies) {
    this.queries = new JobHandler(deps.leadership, deps.jobRecords, deps.clock);
    this.submissions = new SubmissionHandler({ ...deps, queries: this.queries });
  }

  /** A request that came over HTTP. */
  async handle(method: string, path: string, body: Buffer): Promise<ApiResponse> {
    if (this.deps.isIsolated()) return ISOLATED;
    if (path === JOBS_PATH) {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      return this.withDeadline(this.submissions.submit(body, 'relay'));
    }
    const job = JOB_PATH.exec(path)?.[1];
    if (job !== undefined) {
      if (method !== 'GET') return METHOD_NOT_ALLOWED;
      return this.withDeadline(this.queries.read(job, 'relay'));
    }
    const cancelled = CANCEL_PATH.exec(path)?.[1];
    if (cancelled !== undefined) {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      return this.withDeadline(this.queries.cancel(cancelled, 'relay'));
    }
    return NO_SUCH_PATH;
  }

  /**
   * A request that another node passed on: answered under our own authority or not at all, since it
   * must not be passed on in circles.
   */
  async handleRelayed(request: UserPeerRequest): Promise<ApiResponse> {
    if (!this.deps.leadership.authorisedTerm()?.isReady) return TRY_AGAIN;
    switch (request.type) {
      case 'submitJob':
        return this.withDeadline(this.submissions.submit(request.body, 'answerHere'));
      case 'readJob':
        return this.withDeadline(this.queries.read(request.job, 'answerHere'));
      case 'cancelJob':
        return this.withDeadline(this.queries.cancel(request.job, 'answerHere'));
    }
  }

  /** Whatever is still being worked on after a while gets its final answer: try again. */
  private withDeadline(work: Promise<ApiResponse>): Promise<ApiResponse> {
    return new Promise((resolve) => {
      const timer = this.deps.clock.after(MAX_REQUEST_TIME, () => resolve(TRY_AGAIN));
      work.then(
        (reply) => {
          timer.cancel();
          resolve(reply);
        },
        (error: unknown) => {
          timer.cancel();
          this.deps.log.error({ err: error }, 'request failed');
          resolve(TRY_AGAIN);
        },
      );
    });
  }
}
