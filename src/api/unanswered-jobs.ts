/**
 * Watches for jobs about which this controller, as the leader, answers no question: the protocol counts such a job as
 * forgotten. A ready leader knows every job, so this must never last.
 */
import type { Logger } from 'pino';
import {
  durationBetween,
  seconds,
  type Clock,
  type DurationMs,
  type Epoch,
  type SteadyMs,
} from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import type { ApiResponse } from './api-response.js';

/** A leader that refuses all questions about a job for this long violates the invariant. */
const MAX_UNANSWERED_TIME = seconds(60);
/** Users poll more often than this: if no question was refused for this long, none is open. */
const REFUSAL_TTL = seconds(20);

/** The refused questions about one job, without an answer in between. */
interface RefusedQuestions {
  readonly epoch: Epoch;
  readonly since: SteadyMs;
  lastAt: SteadyMs;
  isReported: boolean;
}

/** Tracks the questions that a ready leader refuses, by job. */
export class UnansweredJobs {
  private readonly refused = new ExpiringMap<string, RefusedQuestions>(REFUSAL_TTL);

  constructor(
    private readonly clock: Pick<Clock, 'steady'>,
    private readonly log: Pick<Logger, 'error'>,
  ) {}

  /** Records the response to a question; `epoch` is that of this controller's ready term, if it has authority. */
  record(job: string, response: ApiResponse, epoch: Epoch | undefined): void {
    const previous = this.refused.get(job);
    if (response.status !== 503 || epoch === undefined) {
      if (previous) this.refused.delete(job);
      return;
    }
    const now = this.clock.steady();
    const continues =
      previous?.epoch === epoch && durationBetween(previous.lastAt, now) <= REFUSAL_TTL;
    const current = continues ? previous : { epoch, since: now, lastAt: now, isReported: false };
    current.lastAt = now;
    this.refused.set(job, current, now);
    const duration = durationBetween(current.since, now);
    if (duration > MAX_UNANSWERED_TIME && !current.isReported) {
      current.isReported = true;
      this.report(job, response, epoch, duration);
    }
  }

  private report(job: string, { refusal }: ApiResponse, epoch: Epoch, duration: DurationMs): void {
    this.log.error(
      { job, epoch, reason: refusal, seconds: Math.round(duration / 1000) },
      'invariant violated: the leader answers no question about a job',
    );
  }
}
