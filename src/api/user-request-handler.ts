/**
 * Routes users' requests by path and method: submissions, reads and cancellations. This controller handles them
 * itself while it leads. Otherwise it relays them to the leader or, without a reachable leader, uses the store
 * as far as that is possible.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission-control.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { UserPeerRequest } from '../peer/messages.js';
import { JobPhase } from '../ledger/job-phase.js';
import { STORE_READ_LEASE, type ReadLeases } from '../leader/read-leases.js';
import type { Reachability } from '../peer/reachability.js';
import { JobId, ms, type Clock, type DurationMs, type SteadyMs } from '../units/index.js';
import { jobStateIn } from '../wire/index.js';
import { JobHandler } from './job-handler.js';
import { phaseOf } from './job-phase.js';
import { LeaderRelay } from './leader-relay.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import {
  CONTROLLER_ISOLATED,
  METHOD_NOT_ALLOWED,
  NO_SUCH_PATH,
  serviceUnavailable,
  type ApiResponse,
} from './api-response.js';
import { PendingAnswers } from './pending-answers.js';
import { SubmissionHandler } from './submission-handler.js';
import { UnansweredJobs } from './unanswered-jobs.js';

/** A user's request that takes longer than this gets its final response, a 503. */
const MAX_REQUEST_TIME = ms(2500);
/** A cancellation is confirmed `STORE_READ_LEASE` after it is in the store, and its user waits longer than for a poll. */
const MAX_CANCELLATION_TIME = ms(MAX_REQUEST_TIME + STORE_READ_LEASE);

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/jobs\/([^/]+)\/abort$/;

/** The parts of the controller that handling users' requests depends on. */
export interface UserRequestDependencies {
  readonly admission: AdmissionControl;
  readonly leaderView: LeaderView;
  readonly jobRecords: JobRecords;
  readonly readLeases: ReadLeases;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether this controller can serve users. */
  readonly reachability: () => Reachability;
}

/** Handles users' requests, both direct ones and those that a peer relays. */
export class UserRequestHandler {
  private readonly jobHandler: JobHandler;
  private readonly submissionHandler: SubmissionHandler;
  private readonly pendingAnswers = new PendingAnswers();
  /** The jobs whose polls this controller refuses, direct and relayed ones. */
  readonly unansweredJobs: UnansweredJobs;

  constructor(private readonly deps: UserRequestDependencies) {
    const { pendingAnswers } = this;
    const leaderRelay = new LeaderRelay(deps.clock);
    this.jobHandler = new JobHandler({ ...deps, leaderRelay, pendingAnswers });
    this.unansweredJobs = new UnansweredJobs(deps.clock, deps.log);
    this.submissionHandler = new SubmissionHandler({
      ...deps,
      jobHandler: this.jobHandler,
      leaderRelay,
      pendingAnswers,
    });
  }

  /** Handles a request that a user sent to this controller over HTTP. */
  async handle(method: string, path: string, body: Buffer): Promise<ApiResponse> {
    const reachability = this.deps.reachability();
    if (reachability === 'isolated') return CONTROLLER_ISOLATED;
    const response = await this.dispatch(method, path, body);
    // The presumption may be wrong, and the next connection may reach a controller that is not cut off.
    const shouldTryAnother = reachability === 'presumedOutage' && response.status === 503;
    return shouldTryAnother ? { ...response, shouldCloseConnection: true } : response;
  }

  private async dispatch(method: string, path: string, body: Buffer): Promise<ApiResponse> {
    if (path === JOBS_PATH) {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      return this.withDeadline(this.submissionHandler.submit(body, 'relay'));
    }
    const jobId = JOB_PATH.exec(path)?.[1];
    if (jobId !== undefined) {
      if (method !== 'GET') return METHOD_NOT_ALLOWED;
      return this.read(jobId, 'relay');
    }
    const cancelledJobId = CANCEL_PATH.exec(path)?.[1];
    if (cancelledJobId !== undefined) {
      if (method !== 'POST') return METHOD_NOT_ALLOWED;
      const cancellation = this.jobHandler.cancel(cancelledJobId, 'relay');
      return this.withDeadline(cancellation, MAX_CANCELLATION_TIME);
    }
    return NO_SUCH_PATH;
  }

  /**
   * Handles a request that a peer relayed and that arrived at `receivedAt`, but only while this controller leads: relaying
   * it again could send it round in a loop. Grants the peer a read lease on the answer.
   */
  async handleRelayed(request: UserPeerRequest, receivedAt: SteadyMs): Promise<ApiResponse> {
    const response = await this.dispatchRelayed(request);
    const phase = phaseOf(response);
    const job = request.type === 'submitJob' ? jobStateIn(response.body)?.id : request.job;
    if (phase === undefined || phase === JobPhase.ended || job === undefined) return response;
    this.deps.readLeases.grant(job, phase, request.type, receivedAt);
    // A record that contradicts the answer may have been sent after the answer was determined and before the lease.
    const term = this.deps.leaderView.authorisedTerm();
    const isCurrent = term === undefined || term.isCurrentPhase(JobId(job), phase);
    return isCurrent ? response : serviceUnavailable('stateUncertain');
  }

  /** Gives up the read leases on a job: what this controller is about to tell about it may be outdated. */
  revokePendingAnswers(job: string): void {
    this.pendingAnswers.revokeBefore(JobPhase.ended, job);
  }

  private async dispatchRelayed(request: UserPeerRequest): Promise<ApiResponse> {
    if (!this.deps.leaderView.authorisedTerm()?.isReady) return serviceUnavailable('notReady');
    switch (request.type) {
      case 'submitJob':
        return this.withDeadline(this.submissionHandler.submit(request.body, 'handleLocally'));
      case 'readJob':
        return this.read(request.job, 'handleLocally');
      case 'cancelJob':
        return this.withDeadline(
          this.jobHandler.cancel(request.job, 'handleLocally'),
          MAX_CANCELLATION_TIME,
        );
    }
  }

  private async read(job: string, policy: RelayPolicy): Promise<ApiResponse> {
    const response = await this.withDeadline(this.jobHandler.read(job, policy));
    const term = this.deps.leaderView.authorisedTerm();
    this.unansweredJobs.record(job, response, term?.isReady ? term.epoch : undefined);
    return response;
  }

  /** Responds with a 503 if the work takes longer than `maxTime` or fails. */
  private withDeadline(
    work: Promise<ApiResponse>,
    maxTime: DurationMs = MAX_REQUEST_TIME,
  ): Promise<ApiResponse> {
    return new Promise((resolve) => {
      const timer = this.deps.clock.after(maxTime, () =>
        resolve(serviceUnavailable('deadlineExceeded')),
      );
      work.then(
        (response) => {
          timer.cancel();
          resolve(response);
        },
        (error: unknown) => {
          timer.cancel();
          this.deps.log.error(
            { err: error },
            "handling a user's request failed; the user is told to retry",
          );
          resolve(serviceUnavailable('internalError'));
        },
      );
    });
  }
}
