/**
 * Submissions, in four steps: parse, admit, commit, answer. Each step hands a typed result to the next.
 * The leader commits; a node that can't reach one writes the record itself, if there is none.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission.js';
import type { JobRecords } from '../ledger/job-records.js';
import type { SubmitOutcome } from '../leader/job-requests.js';
import type { Term } from '../leader/term.js';
import { detach } from '../units/detach.js';
import { JobId, ms, durationBetween, type Clock, type DurationMs } from '../units/index.js';
import { parseSubmission, submissionId, type JobSpec, type Parsed } from '../wire/index.js';
import type { JobHandler } from './job-handler.js';
import { STORE_RESPONSE_TTL, busyResponse, createdResponse } from './job-responses.js';
import { sendToLeader } from './leader-request.js';
import type { LeaderView, RelayPolicy } from './leader-view.js';
import { TRY_AGAIN, type ApiResponse } from './api-response.js';

/**
 * A node that gets no response in time writes the record itself, if there is none. That costs more than an
 * answer that is late, so a leader that has much to do is waited for.
 */
const SUBMIT_TIMEOUT = ms(1500);
const NOTICE_TIMEOUT = ms(1200);
/** A node that could not write a submission for this long says so at once. */
const MAX_WRITE_WAIT = ms(1000);

/** What a submission needs of the rest of the node. */
export interface SubmissionDependencies {
  readonly admission: AdmissionControl;
  readonly leadership: LeaderView;
  readonly jobRecords: JobRecords;
  readonly queries: Pick<JobHandler, 'read' | 'responseIfAuthorised'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Whether a submission may become a job. */
type Admission =
  | { readonly kind: 'admitted'; readonly spec: JobSpec }
  /** The machine types are not known yet: a repeat can be answered, a new job can't be judged. */
  | { readonly kind: 'undecided'; readonly spec: JobSpec }
  | { readonly kind: 'refused'; readonly refusal: ApiResponse };

/** What became of a submission. */
type CommitOutcome =
  /** Our term took it in, or knew it already, or could not tell. */
  | { readonly kind: 'term'; readonly term: Term; readonly outcome: SubmitOutcome }
  /** The leader answered for us. */
  | { readonly kind: 'answered'; readonly reply: ApiResponse }
  /** We wrote the record, and know so at once (`isLate` false) or after some time. */
  | { readonly kind: 'written'; readonly isLate: boolean }
  /** A record holds the job already. */
  | { readonly kind: 'exists' }
  /** It can't be written soon. */
  | { readonly kind: 'busy'; readonly wait: DurationMs }
  | { readonly kind: 'unknown' };

const UNKNOWN: CommitOutcome = { kind: 'unknown' };

/** Takes jobs in. */
export class SubmissionHandler {
  constructor(private readonly deps: SubmissionDependencies) {}

  /** Answers 201 only once the job is in the store. */
  async submit(body: Buffer, relaying: RelayPolicy): Promise<ApiResponse> {
    const admission = this.admit(parseSubmission(body));
    if (admission.kind === 'refused') return this.refuse(body, admission.refusal, relaying);
    const outcome = await this.commit(admission, body, relaying);
    return this.answer(admission.spec.id, outcome, relaying);
  }

  private admit(parsed: Parsed<JobSpec>): Admission {
    if (!parsed.ok) {
      return { kind: 'refused', refusal: { status: 400, body: { error: parsed.reason } } };
    }
    const verdict = this.deps.admission.judge(parsed.value);
    switch (verdict.kind) {
      case 'impossible':
        return { kind: 'refused', refusal: { status: 422, body: { error: verdict.reason } } };
      case 'undecided':
        return { kind: 'undecided', spec: parsed.value };
      case 'runnable':
        return { kind: 'admitted', spec: parsed.value };
    }
  }

  /** A repeat of a job that was accepted is answered with its state, whatever it says now. */
  private async refuse(
    body: Buffer,
    refusal: ApiResponse,
    relaying: RelayPolicy,
  ): Promise<ApiResponse> {
    const id = submissionId(body);
    if (id === undefined) return refusal;
    const known = await this.deps.queries.read(id, relaying);
    return known.status === 404 ? refusal : known;
  }

  private async commit(
    { kind, spec }: Admission & { readonly spec: JobSpec },
    body: Buffer,
    relaying: RelayPolicy,
  ): Promise<CommitOutcome> {
    const isUndecided = kind === 'undecided';
    const responder = this.deps.leadership.routeFor(relaying);
    if (responder.kind === 'term') {
      const { term } = responder;
      const outcome = isUndecided ? await term.findJob(JobId(spec.id)) : await term.submitJob(spec);
      return { kind: 'term', term, outcome };
    }
    if (responder.kind === 'leader') {
      const request = { type: 'submitJob', body } as const;
      const response = await sendToLeader(responder.peer, request, SUBMIT_TIMEOUT);
      if (response.kind === 'answered') return response;
    }
    return isUndecided ? UNKNOWN : this.writeRecord(spec);
  }

  /** No leader can be reached: the record is written by this node, if there is none. */
  private async writeRecord(spec: JobSpec): Promise<CommitOutcome> {
    const { clock, jobRecords } = this.deps;
    const wait = jobRecords.createWait();
    if (wait > MAX_WRITE_WAIT) return { kind: 'busy', wait };
    const askedAt = clock.steady();
    const result = await jobRecords.create(spec);
    switch (result) {
      case 'created':
        this.notifyLeader(JobId(spec.id));
        return {
          kind: 'written',
          isLate: durationBetween(askedAt, clock.steady()) > STORE_RESPONSE_TTL,
        };
      case 'exists':
      case 'unknown':
        return { kind: result };
    }
  }

  /** Tells the leader of a job that we wrote, to save time: it also watches the notices. */
  private notifyLeader(id: JobId): void {
    const { leadership, log } = this.deps;
    const term = leadership.authorisedTerm();
    if (term) {
      if (term.isReady) detach(term.findJob(id), log, 'reading a job that this node wrote');
      return;
    }
    const notice = leadership
      .leaderPeer()
      ?.sendRequest({ type: 'jobNotice', job: id }, NOTICE_TIMEOUT);
    if (notice) detach(notice, log, 'notice of a job to the leader');
  }

  private async answer(
    id: string,
    outcome: CommitOutcome,
    relaying: RelayPolicy,
  ): Promise<ApiResponse> {
    const { queries } = this.deps;
    switch (outcome.kind) {
      case 'term':
        return this.answerFromTerm(outcome.term, id, outcome.outcome);
      case 'answered':
        return outcome.reply;
      case 'written':
        // The store answered late: the job may be cancelled since, and its user may know that.
        return outcome.isLate ? queries.read(id, relaying) : createdResponse(id);
      case 'exists': {
        const known = await queries.read(id, relaying);
        return known.status === 404 ? TRY_AGAIN : known;
      }
      case 'busy':
        return busyResponse(outcome.wait);
      case 'unknown':
        return TRY_AGAIN;
    }
  }

  private answerFromTerm(term: Term, id: string, outcome: SubmitOutcome): ApiResponse {
    switch (outcome.kind) {
      case 'created':
        return createdResponse(id);
      case 'busy':
        return busyResponse(outcome.wait);
      default:
        return this.deps.queries.responseIfAuthorised(term, id, outcome, TRY_AGAIN);
    }
  }
}
