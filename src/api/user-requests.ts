/**
 * What users ask: submissions, questions and cancellations. Answered by this node while it leads,
 * otherwise through the leader, otherwise from the store as far as that goes without a leader.
 */
import type { Logger } from 'pino';
import type { AdmissionControl } from '../ledger/admission.js';
import type { StoredJob, JobRecords } from '../ledger/job-records.js';
import { statusOf, type FinalState, type Job } from '../ledger/job.js';
import type { JobAnswer, SubmitResult, Term } from '../leader/term.js';
import type { PeerRequest } from '../peer/messages.js';
import { JobId, later, ms, since, sleep, type Clock, type DurationMs } from '../units/index.js';
import {
  JOB_ID,
  JobStatus,
  encodeJobState,
  parseSubmission,
  submissionId,
  type JobSpec,
} from '../wire/index.js';
import type { Leadership } from './leadership.js';
import { ISOLATED, METHOD_NOT_ALLOWED, NO_SUCH_JOB, TRY_AGAIN, type Reply } from './reply.js';

/**
 * A node that gets no response in time takes the job in itself, and the record settles it. That costs more
 * than an answer that is late, so a leader that has much to do is waited for.
 */
const RELAY_SUBMIT_TIMEOUT = ms(1500);
const RELAY_READ_TIMEOUT = ms(1200);
const RELAY_CANCEL_TIMEOUT = ms(1500);
/** A node that could not write a submission for this long says so at once. */
const MAX_WRITE_WAIT = ms(1000);
/** What the store said longer ago than this may not be the latest any more. */
const STORE_ANSWER_TTL = ms(250);
/** How long, and how often, a cancellation asked for through the store is looked for there. */
const CANCEL_WATCH_TIME = ms(1500);
const CANCEL_POLL_INTERVAL = ms(300);
/** The longest a user's request is worked on before it gets its final answer. */
const MAX_REQUEST_TIME = ms(2500);

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/jobs\/([^/]+)\/abort$/;

/** Whether a request may be passed on to the leader: one that was passed on to us may not. */
type Relaying = 'relay' | 'answerHere';

export class UserRequests {
  constructor(
    private readonly admission: AdmissionControl,
    private readonly leadership: Leadership,
    private readonly jobRecords: JobRecords,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly isIsolated: () => boolean,
  ) {}

  async handle(method: string, path: string, body: Buffer): Promise<Reply> {
    if (this.isIsolated()) return ISOLATED;
    if (path === JOBS_PATH) {
      return method === 'POST' ? this.bounded(this.submit(body, 'relay')) : METHOD_NOT_ALLOWED;
    }
    const job = JOB_PATH.exec(path)?.[1];
    if (job !== undefined) {
      return method === 'GET' ? this.bounded(this.read(job, 'relay')) : METHOD_NOT_ALLOWED;
    }
    const cancelled = CANCEL_PATH.exec(path)?.[1];
    if (cancelled !== undefined) {
      return method === 'POST' ? this.bounded(this.cancel(cancelled, 'relay')) : METHOD_NOT_ALLOWED;
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  /**
   * A request that another node passed on: answered under our own authority or not at all, since it
   * must not be passed on in circles.
   */
  async handleRelayed(
    request: PeerRequest & { type: 'submitJob' | 'readJob' | 'cancelJob' },
  ): Promise<Reply> {
    if (!this.leadership.authorisedTerm()?.isReady) return TRY_AGAIN;
    switch (request.type) {
      case 'submitJob':
        return this.bounded(this.submit(request.body, 'answerHere'));
      case 'readJob':
        return this.bounded(this.read(request.job, 'answerHere'));
      case 'cancelJob':
        return this.bounded(this.cancel(request.job, 'answerHere'));
    }
  }

  /** Whatever is still being worked on after a while gets its final answer: try again. */
  private bounded(work: Promise<Reply>): Promise<Reply> {
    return new Promise((resolve) => {
      const timer = this.clock.after(MAX_REQUEST_TIME, () => resolve(TRY_AGAIN));
      work.then(
        (reply) => {
          timer.cancel();
          resolve(reply);
        },
        (e: unknown) => {
          timer.cancel();
          this.log.error({ err: e }, 'request failed');
          resolve(TRY_AGAIN);
        },
      );
    });
  }

  /** The leader's answer; undefined if it gave none that settles the request. */
  private async askLeader(request: PeerRequest, timeout: DurationMs): Promise<Reply | undefined> {
    const response = await this.leadership.leaderPeer()?.request(request, timeout);
    if (response?.type !== 'userResponse') return undefined;
    // A 503 of the node we took for the leader says no more than that it is not ready.
    if (response.status === 503) return undefined;
    return {
      status: response.status,
      ...(response.body.length > 0 ? { body: response.body } : {}),
      ...(response.retryAfter > 0 ? { retryAfter: response.retryAfter } : {}),
    };
  }

  // --- submissions ------------------------------------------------------------------------------

  private async submit(body: Buffer, relaying: Relaying): Promise<Reply> {
    const parsed = parseSubmission(body);
    const verdict = parsed.ok ? this.admission.judge(parsed.value) : undefined;
    if (!parsed.ok)
      return this.refuse(body, { status: 400, body: { error: parsed.reason } }, relaying);
    if (verdict?.kind === 'impossible') {
      return this.refuse(body, { status: 422, body: { error: verdict.reason } }, relaying);
    }
    const spec = parsed.value;
    const term = this.leadership.authorisedTerm();
    if (term?.isReady) {
      if (verdict?.kind !== 'undecided') return this.submitToTerm(spec, term);
      return this.answer(spec.id, await term.findJob(JobId(spec.id)), TRY_AGAIN, term);
    }
    if (relaying === 'relay' && !term) {
      const reply = await this.askLeader({ type: 'submitJob', body }, RELAY_SUBMIT_TIMEOUT);
      if (reply) return reply;
    }
    return verdict?.kind === 'undecided' ? TRY_AGAIN : this.createRecord(spec, relaying);
  }

  /** A repeat of a job that was accepted is answered with its state, whatever it says now. */
  private async refuse(body: Buffer, refusal: Reply, relaying: Relaying): Promise<Reply> {
    const id = submissionId(body);
    if (id === undefined) return refusal;
    const known = await this.read(id, relaying);
    return known.status === 404 ? refusal : known;
  }

  private async submitToTerm(spec: JobSpec, term: Term): Promise<Reply> {
    const outcome: SubmitResult = await term.submitJob(spec);
    if (outcome.kind === 'created') return created(spec);
    if (outcome.kind === 'busy') {
      return { status: 429, retryAfter: Math.max(1, Math.ceil(outcome.after / 1000)) };
    }
    return this.answer(spec.id, outcome, TRY_AGAIN, term);
  }

  /** No leader can be reached: the record is made by this node, if there is none. */
  private async createRecord(spec: JobSpec, relaying: Relaying): Promise<Reply> {
    const wait = this.jobRecords.createWait();
    if (wait > MAX_WRITE_WAIT) return { status: 429, retryAfter: Math.ceil(wait / 1000) };
    const asked = this.clock.steady();
    const made = await this.jobRecords.create(spec);
    if (made === 'created') {
      this.notifyLeader(spec.id);
      // The store's word came late: the user may have been told since that the job is cancelled.
      if (since(asked, this.clock.steady()) > STORE_ANSWER_TTL) {
        return this.read(spec.id, relaying);
      }
      return created(spec);
    }
    if (made !== 'exists') return TRY_AGAIN;
    const known = await this.read(spec.id, relaying);
    return known.status === 404 ? TRY_AGAIN : known;
  }

  /** Tells the leader of a job that we took in, to save time: it also watches the notices. */
  private notifyLeader(id: string): void {
    const term = this.leadership.authorisedTerm();
    if (term) {
      if (term.isReady) void term.findJob(JobId(id)).catch(() => undefined);
      return;
    }
    void this.leadership
      .leaderPeer()
      ?.request({ type: 'jobNotice', job: id }, RELAY_READ_TIMEOUT)
      .catch(() => undefined);
  }

  // --- questions and cancellations --------------------------------------------------------------

  private async read(id: string, relaying: Relaying): Promise<Reply> {
    if (!JOB_ID.test(id)) return NO_SUCH_JOB;
    const term = this.leadership.authorisedTerm();
    if (term?.isReady) return this.answer(id, await term.findJob(JobId(id)), NO_SUCH_JOB, term);
    if (relaying === 'relay' && !term) {
      const reply = await this.askLeader({ type: 'readJob', job: id }, RELAY_READ_TIMEOUT);
      if (reply) return reply;
    }
    const asked = this.clock.steady();
    const held = await this.jobRecords.lookup(JobId(id));
    // The store's word came late: what is not final may have changed, and its user been told so, since.
    const late = since(asked, this.clock.steady()) > STORE_ANSWER_TTL;
    return late && held.kind !== 'final' ? TRY_AGAIN : this.stored(id, held);
  }

  private async cancel(id: string, relaying: Relaying): Promise<Reply> {
    if (!JOB_ID.test(id)) return NO_SUCH_JOB;
    const term = this.leadership.authorisedTerm();
    if (term?.isReady) return this.answer(id, await term.cancelJob(JobId(id)), NO_SUCH_JOB, term);
    if (relaying === 'relay' && !term) {
      const reply = await this.askLeader({ type: 'cancelJob', job: id }, RELAY_CANCEL_TIMEOUT);
      if (reply) return reply;
    }
    const held = await this.jobRecords.cancel(JobId(id));
    if (held.kind !== 'unknown') return this.stored(id, held);
    // There is a leader that we can't reach: it is asked through the store, where it will be answered.
    if (relaying === 'answerHere' || !(await this.jobRecords.requestCancellation(JobId(id))))
      return TRY_AGAIN;
    return this.awaitCancellation(id);
  }

  private async awaitCancellation(id: string): Promise<Reply> {
    const until = later(this.clock.steady(), CANCEL_WATCH_TIME);
    while (this.clock.steady() < until) {
      await sleep(this.clock, CANCEL_POLL_INTERVAL);
      const held = await this.jobRecords.lookup(JobId(id));
      if (held.kind === 'final' || (held.kind === 'live' && held.job.cancelled)) {
        return this.stored(id, held);
      }
    }
    return TRY_AGAIN;
  }

  private stored(id: string, held: StoredJob): Reply {
    switch (held.kind) {
      case 'live':
        return { status: 200, body: jobBody(held.job) };
      case 'final':
        return { status: 200, body: finalBody(id, held.final) };
      case 'absent':
        return NO_SUCH_JOB;
      case 'unknown':
        return TRY_AGAIN;
    }
  }

  private answer(id: string, answer: JobAnswer, absent: Reply, term: Term): Reply {
    // While we waited, or stood still, another may have come to lead and told users more than we know.
    if (answer.kind !== 'final' && this.leadership.authorisedTerm() !== term) return TRY_AGAIN;
    switch (answer.kind) {
      case 'job':
        // Not committed yet: nobody may be told of it.
        return answer.job.revision > 0 ? { status: 200, body: jobBody(answer.job) } : TRY_AGAIN;
      case 'final':
        return { status: 200, body: finalBody(id, answer.final) };
      case 'absent':
        return absent;
      case 'unknown':
        return TRY_AGAIN;
    }
  }
}

const created = (spec: JobSpec): Reply => ({
  status: 201,
  body: encodeJobState({ id: spec.id, status: JobStatus.pending }),
});

function jobBody(job: Job): object {
  // Only what is committed is shown; a cancellation that a follower wrote is.
  const aborted =
    job.committedProgress.cancelled || (job.cancelled && job.committedVersion >= job.version);
  const status = statusOf({ ...job.committedProgress, cancelled: aborted }, job.spec.taskCount);
  return encodeJobState({
    id: job.id,
    status,
    done: job.committedProgress.done,
    running: status === JobStatus.cancelled ? 0 : job.committedProgress.running,
    team: job.spec.team,
  });
}

const finalBody = (id: string, final: FinalState): object =>
  encodeJobState({
    id,
    status: final.status,
    done: final.done,
    running: 0,
    team: final.team,
    reason: final.reason,
  });
