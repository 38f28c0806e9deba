/**
 * Routes users' requests by path and method: submissions, reads and cancellations. This controller handles them
 * itself while it leads. Otherwise it relays them to the leader or, without a reachable leader, uses the store
 * as far as that is possible.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission-control.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { UserPeerRequest } from '../peer/messages.js';
import type { Reachability } from '../peer/reachability.js';
import type { Clock, SteadyMs } from '../units/index.js';
import { jobStateIn } from '../wire/index.js';
import { ConfirmationGate } from './confirmation-gate.js';
import { JobHandler, MAX_REQUEST_TIME } from './job-handler.js';
import { JobPhase, phaseOf } from './job-phase.js';
import { LeaderRelay, RELAY_TIMEOUTS } from './leader-relay.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import {
  CONTROLLER_ISOLATED,
  METHOD_NOT_ALLOWED,
  NO_SUCH_PATH,
  serviceUnavailable,
  type ApiResponse,
} from './api-response.js';
import { PendingAnswers } from './pending-answers.js';
import { ReadLeases } from './read-leases.js';
import { SubmissionHandler } from './submission-handler.js';
import { UnansweredJobs } from './unanswered-jobs.js';

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/jobs\/([^/]+)\/abort$/;

/** The parts of the controller that handling users' requests depends on. */
export interface UserRequestDependencies {
  readonly admission: AdmissionControl;
  readonly leaderView: LeaderView;
  readonly jobRecords: JobRecords;
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
  private readonly readLeases = new ReadLeases();
  /** The jobs whose polls this controller refuses, direct and relayed ones. */
  readonly unansweredJobs: UnansweredJobs;

  constructor(private readonly deps: UserRequestDependencies) {
    const { pendingAnswers, readLeases } = this;
    const { clock, leaderView } = deps;
    const { peers } = leaderView;
    const leaderRelay = new LeaderRelay(clock);
    const gate = new ConfirmationGate({ clock, peers, readLeases, pendingAnswers });
    this.jobHandler = new JobHandler({ ...deps, leaderRelay, gate, pendingAnswers });
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
      return this.withDeadline(this.jobHandler.cancel(cancelledJobId, 'relay'));
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
    if (phase !== undefined && job !== undefined)
      this.readLeases.grant(job, phase, receivedAt, RELAY_TIMEOUTS[request.type]);
    return response;
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
        return this.withDeadline(this.jobHandler.cancel(request.job, 'handleLocally'));
    }
  }

  private async read(job: string, policy: RelayPolicy): Promise<ApiResponse> {
    const response = await this.withDeadline(this.jobHandler.read(job, policy));
    const term = this.deps.leaderView.authorisedTerm();
    this.unansweredJobs.record(job, response, term?.isReady ? term.epoch : undefined);
    return response;
  }

  /** Responds with a 503 if the work takes longer than `MAX_REQUEST_TIME` or fails. */
  private withDeadline(work: Promise<ApiResponse>): Promise<ApiResponse> {
    return new Promise((resolve) => {
      const timer = this.deps.clock.after(MAX_REQUEST_TIME, () =>
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
