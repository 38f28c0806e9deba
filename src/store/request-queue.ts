/** The order in which requests to the state store are sent. */
import {
  addDuration,
  ms,
  type Clock,
  type DurationMs,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import type { RateBudget } from './rate-budget.js';

/** The largest random delay before the queue is checked again, so that controllers do not send at the same moments. */
const MAX_DRAIN_JITTER_MS = 5;

interface QueuedRequest {
  readonly writes: number;
  readonly deadline: SteadyMs;
  /** Called with true if the request may be sent, and with false if its queue timeout has passed. */
  readonly resolve: (maySend: boolean) => void;
}

/** Requests that wait, in the order of their arrival, until the rate budget has enough tokens for them. */
export class RequestQueue {
  private queue: QueuedRequest[] = [];
  private isDrainScheduled = false;

  constructor(
    private readonly budget: RateBudget,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** True once a request with `writes` writes may be sent; false, at once, if it would wait longer than `queueTimeout`. */
  waitForTurn(writes: number, queueTimeout: DurationMs): Promise<boolean> {
    if (this.queue.length === 0 && this.budget.tryTake(writes)) return Promise.resolve(true);
    const deadline = addDuration(this.clock.steady(), queueTimeout);
    if (this.expectedWait() > queueTimeout) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.queue.push({ writes, deadline, resolve });
      this.drain();
    });
  }

  private expectedWait(): DurationMs {
    return this.budget.requestBacklog(this.queue.length + 1);
  }

  /** First come, first served, except that a request that waits for write tokens does not delay reads. */
  private drain(): void {
    if (this.isDrainScheduled) return;
    const now = this.clock.steady();
    let delay = Infinity;
    const waiting: QueuedRequest[] = [];
    for (const request of this.queue) {
      // The caller has given up by now and would not use the response.
      if (now > request.deadline) request.resolve(false);
      else if (this.budget.tryTake(request.writes)) request.resolve(true);
      else {
        waiting.push(request);
        delay = Math.min(delay, this.budget.waitFor(request.writes));
      }
    }
    this.queue = waiting;
    if (waiting.length === 0) return;
    this.isDrainScheduled = true;
    this.clock.after(ms(Math.max(1, delay) + this.random() * MAX_DRAIN_JITTER_MS), () => {
      this.isDrainScheduled = false;
      this.drain();
    });
  }
}
