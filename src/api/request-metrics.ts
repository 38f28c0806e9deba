/** Counts the responses of a controller, and why requests were refused, for the periodic log line. */
import type { DurationMs } from '../units/index.js';
import type { ApiResponse } from './api-response.js';

/** The kinds of requests that are counted separately. */
export type RequestKind = 'health' | 'heartbeat' | 'read' | 'submit' | 'cancel' | 'relayed';

/** The requests of one kind since the last report. */
export interface RequestCounts {
  /** The number of responses by HTTP status. */
  readonly statuses: Record<string, number>;
  /** The number of refused requests by reason. */
  readonly refusals: Record<string, number>;
  /** The longest time from a request to its response. */
  maxMs: number;
}

/** What a report contains: the counts of each kind of which there were requests. */
export type RequestReport = Partial<Record<RequestKind, RequestCounts>>;

const increment = (counts: Record<string, number>, key: string): void => {
  counts[key] = (counts[key] ?? 0) + 1;
};

/** Counts responses between two reports. */
export class RequestMetrics {
  private counts: RequestReport = {};

  /** Counts a response that took `duration`. */
  record(kind: RequestKind, response: ApiResponse, duration: DurationMs): void {
    const counts = (this.counts[kind] ??= { statuses: {}, refusals: {}, maxMs: 0 });
    increment(counts.statuses, String(response.status));
    if (response.refusal !== undefined) increment(counts.refusals, response.refusal);
    counts.maxMs = Math.max(counts.maxMs, Math.round(duration));
  }

  /** The counts since the previous report. */
  takeReport(): RequestReport {
    const { counts } = this;
    this.counts = {};
    return counts;
  }
}
