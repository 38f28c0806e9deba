/** The order in which calls to the state service leave. */
import {
  addDuration,
  ms,
  type Clock,
  type DurationMs,
  type Random,
  type SteadyMs,
} from '../units/index.js';
import type { RateBudget } from './rate-budget.js';

/** The most that a retry of the queue is delayed at random, so that nodes do not call in step. */
const MAX_RETRY_JITTER_MS = 5;

interface QueuedCall {
  readonly writes: number;
  readonly deadline: SteadyMs;
  /** True: the call may leave. False: its patience has ended. */
  readonly resolve: (mayLeave: boolean) => void;
}

/** Calls that wait until the budget has what they need, in the order in which they were made. */
export class RequestQueue {
  private queue: QueuedCall[] = [];
  private isRetryScheduled = false;

  constructor(
    private readonly budget: RateBudget,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** True once a call of so many writes may leave; false, at once, if it would have to wait for longer than `patience`. */
  waitForTurn(writes: number, patience: DurationMs): Promise<boolean> {
    if (this.queue.length === 0 && this.budget.tryTake(writes)) return Promise.resolve(true);
    const deadline = addDuration(this.clock.steady(), patience);
    if (this.expectedWait() > patience) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.queue.push({ writes, deadline, resolve });
      this.drain();
    });
  }

  private expectedWait(): DurationMs {
    return this.budget.requestBacklog(this.queue.length + 1);
  }

  /** First come, first served, except that a call that waits for writes does not delay those that only read. */
  private drain(): void {
    if (this.isRetryScheduled) return;
    const now = this.clock.steady();
    let pause = Infinity;
    const waiting: QueuedCall[] = [];
    for (const call of this.queue) {
      // Its caller has given up by now, and would not use the answer.
      if (now > call.deadline) call.resolve(false);
      else if (this.budget.tryTake(call.writes)) call.resolve(true);
      else {
        waiting.push(call);
        pause = Math.min(pause, this.budget.waitFor(call.writes));
      }
    }
    this.queue = waiting;
    if (waiting.length === 0) return;
    this.isRetryScheduled = true;
    this.clock.after(ms(Math.max(1, pause) + this.random() * MAX_RETRY_JITTER_MS), () => {
      this.isRetryScheduled = false;
      this.drain();
    });
  }
}
