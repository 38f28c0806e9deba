/**
 * Handles submissions in four steps: parse, admit, commit, respond. Each step passes a typed result to the next.
 * The leader commits; a controller that can't reach a leader writes the record itself, if none exists.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission-control.js';
import { STORE_READ_TTL, type JobRecords } from '../ledger/job-records.js';
import type { SubmitOutcome } from '../leader/job-requests.js';
import type { Term } from '../leader/term.js';
import { runInBackground } from '../units/run-in-background.js';
import { JobId, ms, durationBetween, type Clock, type DurationMs } from '../units/index.js';
import {
  parseSubmission,
  decodeSubmissionId,
  type JobSpec,
  type ParseResult,
} from '../wire/index.js';
import type { JobHandler } from './job-handler.js';
import { busyResponse, createdResponse } from './job-responses.js';
import type { LeaderRelay } from './leader-relay.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import type { PendingAnswers } from './pending-answers.js';
import { serviceUnavailable, type ApiResponse } from './api-response.js';

const LEADER_NOTIFICATION_TIMEOUT = ms(1200);
/** If the store would delay a write for longer than this, the submission is rejected at once with a 429. */
const MAX_WRITE_WAIT = ms(1000);

/** The parts of the controller that handling submissions depends on. */
export interface SubmissionDependencies {
  readonly admission: AdmissionControl;
  readonly leaderView: LeaderView;
  readonly jobRecords: JobRecords;
  readonly jobHandler: Pick<JobHandler, 'read' | 'respondFromTerm'>;
  readonly pendingAnswers: PendingAnswers;
  readonly leaderRelay: LeaderRelay;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Whether a submission may become a job. */
type Admission =
  | { readonly kind: 'admitted'; readonly spec: JobSpec }
  /** The machine types are not known yet: a repeated submission gets a response, but a new job can't be checked. */
  | { readonly kind: 'undecided'; readonly spec: JobSpec }
  | { readonly kind: 'refused'; readonly refusal: ApiResponse };

/** The outcome of committing a submission. */
type CommitOutcome =
  /** This controller's term accepted the job, already had it, or could not tell. */
  | { readonly kind: 'term'; readonly term: Term; readonly outcome: SubmitOutcome }
  /** The leader responded to the relayed submission. */
  | { readonly kind: 'responded'; readonly response: ApiResponse }
  /** This controller wrote the record; `isLate` tells whether the confirmation took long. */
  | { readonly kind: 'written'; readonly isLate: boolean }
  /** A record of the job already exists. */
  | { readonly kind: 'exists' }
  /** The record can't be written soon. */
  | { readonly kind: 'busy'; readonly wait: DurationMs }
  | { readonly kind: 'unknown' };

const UNKNOWN: CommitOutcome = { kind: 'unknown' };

/** Accepts or rejects submitted jobs. */
export class SubmissionHandler {
  constructor(private readonly deps: SubmissionDependencies) {}

  /** Responds with 201 only once the job is in the store. */
  async submit(body: Buffer, policy: RelayPolicy): Promise<ApiResponse> {
    const admission = this.admit(parseSubmission(body));
    if (admission.kind === 'refused') return this.refuse(body, admission.refusal, policy);
    const { id } = admission.spec;
    return this.deps.pendingAnswers.determine(id, async () =>
      this.respond(id, await this.commit(admission, body, policy), policy),
    );
  }

  private admit(parsed: ParseResult<JobSpec>): Admission {
    if (!parsed.ok) {
      return { kind: 'refused', refusal: { status: 400, body: { error: parsed.reason } } };
    }
    const verdict = this.deps.admission.check(parsed.value);
    switch (verdict.kind) {
      case 'infeasible':
        return { kind: 'refused', refusal: { status: 422, body: { error: verdict.reason } } };
      case 'undecided':
        return { kind: 'undecided', spec: parsed.value };
      case 'feasible':
        return { kind: 'admitted', spec: parsed.value };
    }
  }

  /** A repeated submission of an accepted job gets the job's state, even if its content is now invalid. */
  private async refuse(
    body: Buffer,
    refusal: ApiResponse,
    policy: RelayPolicy,
  ): Promise<ApiResponse> {
    const id = decodeSubmissionId(body);
    if (id === undefined) return refusal;
    const known = await this.deps.jobHandler.read(id, policy);
    return known.status === 404 ? refusal : known;
  }

  private async commit(
    { kind, spec }: Admission & { readonly spec: JobSpec },
    body: Buffer,
    policy: RelayPolicy,
  ): Promise<CommitOutcome> {
    const isUndecided = kind === 'undecided';
    const route = this.deps.leaderView.routeFor(policy);
    if (route.kind === 'term') {
      const { term } = route;
      const outcome = isUndecided ? await term.findJob(JobId(spec.id)) : await term.submitJob(spec);
      return { kind: 'term', term, outcome };
    }
    if (route.kind === 'leader') {
      const request = { type: 'submitJob', body } as const;
      const response = await this.deps.leaderRelay.send(route.peer, request);
      if (response.kind === 'responded') return response;
    }
    return isUndecided ? UNKNOWN : this.writeRecord(spec);
  }

  /** Without a reachable leader, this controller writes the record, if none exists. */
  private async writeRecord(spec: JobSpec): Promise<CommitOutcome> {
    const { clock, jobRecords } = this.deps;
    const wait = jobRecords.creationWait();
    if (wait > MAX_WRITE_WAIT) return { kind: 'busy', wait };
    const requestedAt = clock.steady();
    const result = await jobRecords.create(spec);
    switch (result) {
      case 'created':
        this.notifyLeader(JobId(spec.id));
        return {
          kind: 'written',
          isLate: durationBetween(requestedAt, clock.steady()) > STORE_READ_TTL,
        };
      case 'exists':
      case 'unknown':
        return { kind: result };
    }
  }

  /** Tells the leader of a job that this controller wrote. This only saves time: it also watches the inbox entries. */
  private notifyLeader(id: JobId): void {
    const { leaderView, log } = this.deps;
    const term = leaderView.authorisedTerm();
    if (term) {
      if (term.isReady)
        runInBackground(
          term.findJob(id),
          log,
          'reading a job that this controller wrote to the store',
        );
      return;
    }
    const notification = leaderView
      .leaderPeer()
      ?.sendRequest({ type: 'jobNotice', job: id }, LEADER_NOTIFICATION_TIMEOUT);
    if (notification)
      runInBackground(notification, log, 'notifying the leader of a job written to the store');
  }

  private async respond(
    id: string,
    outcome: CommitOutcome,
    policy: RelayPolicy,
  ): Promise<ApiResponse> {
    const { jobHandler } = this.deps;
    switch (outcome.kind) {
      case 'term':
        return this.respondFromTerm(outcome.term, id, outcome.outcome);
      case 'responded':
        return outcome.response;
      case 'written':
        // The store responded late: the job may have been cancelled since, and the user may already know.
        return outcome.isLate ? jobHandler.read(id, policy) : createdResponse(id);
      case 'exists': {
        const known = await jobHandler.read(id, policy);
        return known.status === 404 ? serviceUnavailable('storeLate') : known;
      }
      case 'busy':
        return busyResponse(outcome.wait);
      case 'unknown':
        return serviceUnavailable('storeUnavailable');
    }
  }

  private async respondFromTerm(
    term: Term,
    id: string,
    outcome: SubmitOutcome,
  ): Promise<ApiResponse> {
    switch (outcome.kind) {
      case 'created':
        return createdResponse(id);
      case 'busy':
        return busyResponse(outcome.wait);
      default:
        return this.deps.jobHandler.respondFromTerm(
          term,
          id,
          outcome,
          serviceUnavailable('notCommitted'),
        );
    }
  }
}
