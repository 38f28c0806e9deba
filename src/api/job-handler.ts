/** Reads and cancellations of a job: handled by the leader, or from the store if no leader is reachable. */
import { STORE_READ_TTL, type JobRecords, type StoredJob } from '../ledger/job-records.js';
import type { JobLookupResult } from '../leader/job-requests.js';
import type { Term } from '../leader/term.js';
import {
  JobId,
  addDuration,
  durationBetween,
  latest,
  ms,
  sleep,
  type Clock,
  type SteadyMs,
} from '../units/index.js';
import { JOB_ID_PATTERN } from '../wire/index.js';
import type { ConfirmationGate } from './confirmation-gate.js';
import { JobPhase, phaseOf } from './job-phase.js';
import { createdResponse, leaderJobResponse, storedJobResponse } from './job-responses.js';
import type { LeaderRelay } from './leader-relay.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import type { PendingAnswers } from './pending-answers.js';
import { MAX_READ_LEASE, STORE_READ_LEASE } from './read-leases.js';
import { NO_SUCH_JOB, serviceUnavailable, type ApiResponse } from './api-response.js';

/** How long, and at which interval, the store is polled for the result of a cancellation requested through it. */
const CANCEL_WATCH_TIME = ms(1500);
const CANCEL_POLL_INTERVAL = ms(300);
/** How long a user waits for the answer to a poll. */
const POLL_PATIENCE = ms(2000);
/** A user's request that takes longer than this gets its final response, a 503. */
export const MAX_REQUEST_TIME = ms(2500);
/** A relayed poll whose answer has to be held back for longer is refused: slow responses count as a sign of overload. */
const MAX_RELAYED_POLL_WAIT = STORE_READ_LEASE;

/** The parts of the controller that reading and cancelling jobs depends on. */
export interface JobHandlerDependencies {
  readonly leaderView: LeaderView;
  readonly jobRecords: JobRecords;
  readonly leaderRelay: LeaderRelay;
  readonly gate: ConfirmationGate;
  readonly pendingAnswers: PendingAnswers;
  readonly clock: Clock;
}

/** What this controller's term knows of a job that a user asks about. */
export interface TermAnswer {
  readonly term: Term;
  readonly id: string;
  readonly result: JobLookupResult;
  /** The response if the job does not exist. */
  readonly absent: ApiResponse;
  /** After this time the answer is of no use. */
  readonly usefulUntil: SteadyMs;
}

/** Reads and cancels existing jobs. */
export class JobHandler {
  constructor(private readonly deps: JobHandlerDependencies) {}

  /** Returns the state of a job, or a 503 if the state is not certain. */
  async read(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID_PATTERN.test(id)) return NO_SUCH_JOB;
    const usefulUntil = addDuration(this.deps.clock.steady(), POLL_PATIENCE);
    return this.deps.pendingAnswers.determine(id, () => this.determine(id, policy, usefulUntil));
  }

  private async determine(
    id: string,
    policy: RelayPolicy,
    pollUsefulUntil: SteadyMs,
  ): Promise<ApiResponse> {
    const { clock, leaderRelay, leaderView } = this.deps;
    const route = leaderView.routeFor(policy);
    if (route.kind === 'term') {
      const { term } = route;
      const result = await term.findJob(JobId(id));
      const isRelayed = policy === 'handleLocally';
      const usefulUntil = isRelayed
        ? addDuration(clock.steady(), MAX_RELAYED_POLL_WAIT)
        : pollUsefulUntil;
      return this.respondFromTerm({ term, id, result, absent: NO_SUCH_JOB, usefulUntil });
    }
    if (route.kind === 'leader') {
      const response = await leaderRelay.send(route.peer, { type: 'readJob', job: id });
      if (response.kind === 'responded') return response.response;
    }
    return this.readFromStore(id, pollUsefulUntil);
  }

  private async readFromStore(id: string, usefulUntil: SteadyMs): Promise<ApiResponse> {
    const requestedAt = this.deps.clock.steady();
    const stored = await this.deps.jobRecords.lookUp(JobId(id));
    return this.respondFromStore(id, stored, requestedAt, usefulUntil);
  }

  /** Cancels a job and returns its state once that is committed, or a 503 if the outcome is unknown. */
  async cancel(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID_PATTERN.test(id)) return NO_SUCH_JOB;
    const usefulUntil = addDuration(this.deps.clock.steady(), MAX_REQUEST_TIME);
    return this.deps.pendingAnswers.determine(id, () =>
      this.requestCancellation(id, policy, usefulUntil),
    );
  }

  private async requestCancellation(
    id: string,
    policy: RelayPolicy,
    usefulUntil: SteadyMs,
  ): Promise<ApiResponse> {
    const { leaderRelay, leaderView } = this.deps;
    const route = leaderView.routeFor(policy);
    if (route.kind === 'term') {
      const { term } = route;
      const result = await term.cancelJob(JobId(id));
      return this.respondFromTerm({ term, id, result, absent: NO_SUCH_JOB, usefulUntil });
    }
    if (route.kind === 'leader') {
      const response = await leaderRelay.send(route.peer, { type: 'cancelJob', job: id });
      if (response.kind === 'responded') return response.response;
    }
    return this.cancelInStore(id, policy, usefulUntil);
  }

  private async cancelInStore(
    id: string,
    policy: RelayPolicy,
    usefulUntil: SteadyMs,
  ): Promise<ApiResponse> {
    const { clock, jobRecords } = this.deps;
    const requestedAt = clock.steady();
    const stored = await jobRecords.cancel(JobId(id));
    if (stored.kind !== 'unknown')
      return this.respondFromStore(id, stored, requestedAt, usefulUntil);
    // A leader exists but can't be reached: the cancellation is requested through the store, where the
    // leader records the result.
    if (policy === 'handleLocally' || !(await jobRecords.requestCancellation(JobId(id)))) {
      return serviceUnavailable('storeUnavailable');
    }
    return this.awaitCancellation(id, usefulUntil);
  }

  private async awaitCancellation(id: string, usefulUntil: SteadyMs): Promise<ApiResponse> {
    const { clock, jobRecords } = this.deps;
    const until = addDuration(clock.steady(), CANCEL_WATCH_TIME);
    while (clock.steady() < until) {
      await sleep(clock, CANCEL_POLL_INTERVAL);
      const requestedAt = clock.steady();
      const stored = await jobRecords.lookUp(JobId(id));
      if (stored.kind === 'final' || (stored.kind === 'live' && stored.job.isCancelled)) {
        return this.respondFromStore(id, stored, requestedAt, usefulUntil);
      }
    }
    return serviceUnavailable('deadlineExceeded');
  }

  /** The response for what this controller read in the store, unless another one may know or tell something else. */
  private async respondFromStore(
    id: string,
    stored: StoredJob,
    requestedAt: SteadyMs,
    usefulUntil: SteadyMs,
  ): Promise<ApiResponse> {
    const { clock, gate } = this.deps;
    const response = storedJobResponse(id, stored);
    const phase = phaseOf(response);
    if (phase === undefined) return response;
    const now = clock.steady();
    if (phase !== JobPhase.ended) {
      // The job may have changed while a late response was in transit, and the user may already know.
      const isLate = durationBetween(requestedAt, now) > STORE_READ_TTL;
      return isLate ? serviceUnavailable('storeLate') : response;
    }
    // Only the leader knows its read leases.
    const storedBy = stored.kind === 'final' ? stored.storedBy : now;
    const earlierUntil = addDuration(storedBy, MAX_READ_LEASE);
    const confirmation = { job: id, phase, earlierUntil, usefulUntil, asksPeers: false };
    return (await gate.pass(confirmation)) === 'tooLate'
      ? serviceUnavailable('outdated')
      : response;
  }

  /**
   * The response for a result of this controller's term, if the term still has authority, and no other controller can
   * tell an earlier phase of the job any more.
   */
  async respondFromTerm(answer: TermAnswer): Promise<ApiResponse> {
    const { term, id, result, absent } = answer;
    const response = leaderJobResponse(id, result, absent);
    const phase = phaseOf(response);
    if (phase !== undefined) {
      const passed = await this.passGate(answer, phase);
      if (passed === 'tooLate') return serviceUnavailable('outdated');
      // The job may have ended meanwhile.
      if (passed === 'afterWait' && phase !== JobPhase.ended) return this.respondAgain(answer);
    }
    // While this process waited or was suspended, a peer may have become the leader and have shown users a
    // later state than the one known here. A final state does not change.
    const isAuthorised = result.kind === 'final' || this.deps.leaderView.authorisedTerm() === term;
    return isAuthorised ? response : serviceUnavailable('authorityLost');
  }

  /** The response to a submission that created the job. */
  async respondCreated(term: Term, id: string): Promise<ApiResponse> {
    const usefulUntil = addDuration(this.deps.clock.steady(), MAX_REQUEST_TIME);
    const result: JobLookupResult = { kind: 'unknown' };
    const answer: TermAnswer = { term, id, result, absent: NO_SUCH_JOB, usefulUntil };
    switch (await this.passGate(answer, JobPhase.accepted)) {
      case 'atOnce':
        return createdResponse(id);
      case 'afterWait':
        return this.respondAgain(answer);
      case 'tooLate':
        return serviceUnavailable('outdated');
    }
  }

  private passGate({ term, id, result, usefulUntil }: TermAnswer, phase: JobPhase) {
    const earlierUntil =
      phase === JobPhase.ended ? this.earlierUntil(term, result) : term.startedAt;
    return this.deps.gate.pass({ job: id, phase, earlierUntil, usefulUntil, asksPeers: true });
  }

  /** Until when others may tell that a job has not ended: under leases of an earlier leader, or from the store. */
  private earlierUntil(term: Term, result: JobLookupResult): SteadyMs {
    const storedBy = result.kind === 'final' ? result.storedBy : this.deps.clock.steady();
    return latest(
      addDuration(term.startedAt, MAX_READ_LEASE),
      addDuration(storedBy, STORE_READ_LEASE),
    );
  }

  private async respondAgain(answer: TermAnswer): Promise<ApiResponse> {
    const result = await answer.term.findJob(JobId(answer.id));
    return this.respondFromTerm({ ...answer, result });
  }
}
