/** Counts the requests of a controller to the state store by their outcome, for the periodic log line. */
import type { HttpOutcome } from '../net/http.js';

/** The number of requests by kind and outcome: `get 200`, `transact 409`, `list unknown`. */
export type StoreReport = Record<string, number>;

/** Counts requests between two reports. */
export class StoreMetrics {
  private counts: StoreReport = {};

  /** Counts a request that was sent. */
  record(request: string, outcome: HttpOutcome): void {
    this.increment(`${request} ${outcome.kind === 'response' ? outcome.status : outcome.kind}`);
  }

  /** Counts a request that was not sent, because it would have waited too long for the rate budget. */
  recordRefusal(request: string): void {
    this.increment(`${request} over budget`);
  }

  /** The counts since the previous report. */
  takeReport(): StoreReport {
    const { counts } = this;
    this.counts = {};
    return counts;
  }

  private increment(key: string): void {
    this.counts[key] = (this.counts[key] ?? 0) + 1;
  }
}
