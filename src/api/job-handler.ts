/** Reads and cancellations of a job: handled by the leader, or from the store if no leader is reachable. */
import { JobPhase } from '../ledger/job-phase.js';
import { STORE_READ_TTL, type JobRecords, type StoredJob } from '../ledger/job-records.js';
import type { JobLookupResult } from '../leader/job-requests.js';
import { MAX_READ_LEASE, STORE_READ_LEASE } from '../leader/read-leases.js';
import type { Term } from '../leader/term.js';
import {
  JobId,
  addDuration,
  durationBetween,
  ms,
  sleep,
  type Clock,
  type DurationMs,
  type SteadyMs,
} from '../units/index.js';
import { JOB_ID_PATTERN } from '../wire/index.js';
import { phaseOf } from './job-phase.js';
import { leaderJobResponse, storedJobResponse } from './job-responses.js';
import type { LeaderRelay } from './leader-relay.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import type { PendingAnswers } from './pending-answers.js';
import { NO_SUCH_JOB, serviceUnavailable, type ApiResponse } from './api-response.js';

/** How long, and at which interval, the store is polled for the result of a cancellation requested through it. */
const CANCEL_WATCH_TIME = ms(1500);
const CANCEL_POLL_INTERVAL = ms(300);

/** The parts of the controller that reading and cancelling jobs depends on. */
export interface JobHandlerDependencies {
  readonly leaderView: LeaderView;
  readonly jobRecords: JobRecords;
  readonly leaderRelay: LeaderRelay;
  readonly pendingAnswers: PendingAnswers;
  readonly clock: Clock;
}

/** A result of looking a job up in the store. */
interface StoreAnswer {
  readonly stored: StoredJob;
  readonly requestedAt: SteadyMs;
  /** For how long after a job has ended in the store other controllers may tell that it has not. */
  readonly earlierAnswersFor: DurationMs;
}

/** Reads and cancels existing jobs. */
export class JobHandler {
  constructor(private readonly deps: JobHandlerDependencies) {}

  /** Returns the state of a job, or a 503 if the state is not certain. */
  read(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID_PATTERN.test(id)) return Promise.resolve(NO_SUCH_JOB);
    return this.deps.pendingAnswers.determine(id, () => this.determine(id, policy));
  }

  private async determine(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    const { leaderRelay, leaderView } = this.deps;
    const route = leaderView.routeFor(policy);
    if (route.kind === 'term') {
      const { term } = route;
      return this.respondFromTerm(term, id, await term.findJob(JobId(id)), NO_SUCH_JOB);
    }
    if (route.kind === 'leader') {
      const response = await leaderRelay.send(route.peer, { type: 'readJob', job: id });
      if (response.kind === 'responded') return response.response;
    }
    return this.readFromStore(id);
  }

  private async readFromStore(id: string): Promise<ApiResponse> {
    const { clock, jobRecords } = this.deps;
    const requestedAt = clock.steady();
    const stored = await jobRecords.lookUp(JobId(id));
    return this.respondFromStore(id, { stored, requestedAt, earlierAnswersFor: STORE_READ_LEASE });
  }

  /** Cancels a job and returns its state once that is committed, or a 503 if the outcome is unknown. */
  async cancel(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    if (!JOB_ID_PATTERN.test(id)) return NO_SUCH_JOB;
    return this.deps.pendingAnswers.determine(id, () => this.requestCancellation(id, policy));
  }

  private async requestCancellation(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    const { leaderRelay, leaderView } = this.deps;
    const route = leaderView.routeFor(policy);
    if (route.kind === 'term') {
      const { term } = route;
      return this.respondFromTerm(term, id, await term.cancelJob(JobId(id)), NO_SUCH_JOB);
    }
    if (route.kind === 'leader') {
      const response = await leaderRelay.send(route.peer, { type: 'cancelJob', job: id });
      if (response.kind === 'responded') return response.response;
    }
    return this.cancelInStore(id, policy);
  }

  private async cancelInStore(id: string, policy: RelayPolicy): Promise<ApiResponse> {
    const { clock, jobRecords } = this.deps;
    const requestedAt = clock.steady();
    const stored = await jobRecords.cancel(JobId(id));
    // This controller does not know the read leases of the leader that was there before.
    if (stored.kind !== 'unknown')
      return this.respondFromStore(id, { stored, requestedAt, earlierAnswersFor: MAX_READ_LEASE });
    // A leader exists but can't be reached: the cancellation is requested through the store, where the
    // leader records the result.
    if (policy === 'handleLocally' || !(await jobRecords.requestCancellation(JobId(id)))) {
      return serviceUnavailable('storeUnavailable');
    }
    return this.awaitCancellation(id);
  }

  private async awaitCancellation(id: string): Promise<ApiResponse> {
    const { clock, jobRecords } = this.deps;
    const until = addDuration(clock.steady(), CANCEL_WATCH_TIME);
    while (clock.steady() < until) {
      await sleep(clock, CANCEL_POLL_INTERVAL);
      const requestedAt = clock.steady();
      const stored = await jobRecords.lookUp(JobId(id));
      if (stored.kind === 'final' || (stored.kind === 'live' && stored.job.isCancelled)) {
        const earlierAnswersFor = STORE_READ_LEASE;
        return this.respondFromStore(id, { stored, requestedAt, earlierAnswersFor });
      }
    }
    return serviceUnavailable('deadlineExceeded');
  }

  /** The response for what this controller read in the store, unless another one may have told something newer. */
  private async respondFromStore(id: string, answer: StoreAnswer): Promise<ApiResponse> {
    const { stored, requestedAt, earlierAnswersFor } = answer;
    const response = storedJobResponse(id, stored);
    const phase = phaseOf(response);
    if (phase === JobPhase.ended) {
      const storedBy = this.endStoredBy(stored);
      await this.awaitEarlierAnswers(id, addDuration(storedBy, earlierAnswersFor));
      return response;
    }
    // The job may have changed while a late response was in transit, and the user may already know.
    const isLate =
      phase !== undefined &&
      durationBetween(requestedAt, this.deps.clock.steady()) > STORE_READ_TTL;
    return isLate ? serviceUnavailable('storeLate') : response;
  }

  /** A time by which the end of a job was in the store. */
  private endStoredBy(stored: StoredJob): SteadyMs {
    if (stored.kind === 'final') return stored.storedBy;
    return stored.kind === 'live'
      ? this.deps.jobRecords.reachedBy(stored.job.revision)
      : this.deps.clock.steady();
  }

  /**
   * The response for a result of this controller's term, if the term still has authority. `absent` is the
   * response if the job does not exist.
   */
  async respondFromTerm(
    term: Term,
    id: string,
    result: JobLookupResult,
    absent: ApiResponse,
  ): Promise<ApiResponse> {
    const response = leaderJobResponse(id, result, absent);
    if (phaseOf(response) === JobPhase.ended) {
      const storedBy =
        result.kind === 'final' ? result.storedBy : cancellationStoredBy(result, term);
      await this.awaitEarlierAnswers(id, addDuration(storedBy, STORE_READ_LEASE));
    }
    // While this process waited or was suspended, a peer may have become the leader and have shown users a
    // later state than the one known here. A final state does not change.
    const isAuthorised = result.kind === 'final' || this.deps.leaderView.authorisedTerm() === term;
    return isAuthorised ? response : serviceUnavailable('authorityLost');
  }

  /** Resolves when no controller can tell any more that the job has not ended, which is at `until` for the others. */
  private async awaitEarlierAnswers(id: string, until: SteadyMs): Promise<void> {
    const { clock, pendingAnswers } = this.deps;
    pendingAnswers.revokeBefore(JobPhase.ended, id);
    const remaining = durationBetween(clock.steady(), until);
    if (remaining > 0) await sleep(clock, remaining);
  }
}

/** A time by which the cancellation of a live job was in the store. */
const cancellationStoredBy = (result: JobLookupResult, term: Term): SteadyMs =>
  (result.kind === 'live' ? result.job.cancellationStoredAt : undefined) ?? term.startedAt;
