/**
 * Watches for jobs about which this controller answers no question: the protocol counts a job that nobody answers for as
 * forgotten. A ready leader knows every job, so this must never last there.
 */
import type { Logger } from 'pino';
import { durationBetween, seconds, type Clock, type Epoch, type SteadyMs } from '../units/index.js';
import { ExpiringMap } from '../units/expiring-map.js';
import type { ApiResponse } from './api-response.js';

/** A leader that refuses all questions about a job for this long violates the invariant. */
const MAX_UNANSWERED_TIME = seconds(60);
/** Users poll more often than this: if no question was refused for this long, none is open. */
const REFUSAL_TTL = seconds(20);

/** The refused questions about one job, without an answer in between. */
interface RefusedQuestions {
  readonly since: SteadyMs;
  lastAt: SteadyMs;
  /** The term of this controller that refused the last question; undefined if it had no authority. */
  epoch: Epoch | undefined;
  /** Since when that term has refused them. */
  epochSince: SteadyMs;
  isReported: boolean;
}

/** The jobs about which this controller has answered no question for some time. */
export interface UnansweredReport {
  /** How many jobs there are. */
  readonly jobs: number;
  /** The longest time since the first refused question about one of them. */
  readonly longestMs: number;
}

/** Tracks the questions that a controller refuses, by job. */
export class UnansweredJobs {
  private readonly refused = new ExpiringMap<string, RefusedQuestions>(REFUSAL_TTL);

  constructor(
    private readonly clock: Pick<Clock, 'steady'>,
    private readonly log: Pick<Logger, 'error'>,
  ) {}

  /** Records the response to a question; `epoch` is that of this controller's ready term, if it has authority. */
  record(job: string, response: ApiResponse, epoch: Epoch | undefined): void {
    const previous = this.refused.get(job);
    if (response.status !== 503) {
      if (previous) this.refused.delete(job);
      return;
    }
    const now = this.clock.steady();
    const current = continuedOrNew(previous, now);
    current.lastAt = now;
    if (current.epoch !== epoch) {
      current.epoch = epoch;
      current.epochSince = now;
      current.isReported = false;
    }
    this.refused.set(job, current, now);
    if (epoch !== undefined) this.checkInvariant(job, current, response);
  }

  /** The jobs about which no question has been answered since an earlier one was refused. */
  report(): UnansweredReport {
    const now = this.clock.steady();
    let jobs = 0;
    let longestMs = 0;
    for (const { since } of this.refused.current(now)) {
      jobs++;
      longestMs = Math.max(longestMs, Math.round(durationBetween(since, now)));
    }
    return { jobs, longestMs };
  }

  private checkInvariant(job: string, refused: RefusedQuestions, { refusal }: ApiResponse): void {
    const { epoch, epochSince, isReported, lastAt } = refused;
    const duration = durationBetween(epochSince, lastAt);
    if (duration <= MAX_UNANSWERED_TIME || isReported) return;
    refused.isReported = true;
    this.log.error(
      { job, epoch, reason: refusal, seconds: Math.round(duration / 1000) },
      'invariant violated: the leader answers no question about a job',
    );
  }
}

function continuedOrNew(previous: RefusedQuestions | undefined, now: SteadyMs): RefusedQuestions {
  if (previous && durationBetween(previous.lastAt, now) <= REFUSAL_TTL) return previous;
  return { since: now, lastAt: now, epoch: undefined, epochSince: now, isReported: false };
}
