/** Spreads work over turns of the event loop. */
import { ms, type Clock } from './index.js';

/**
 * Lets a limited number of tasks begin in each turn of the event loop; the others wait in order. Node accepts one
 * connection for each turn, so long turns keep health checks and workers waiting.
 */
export class TurnLimiter {
  private startedInTurn = 0;
  private isTurnEndScheduled = false;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly clock: Pick<Clock, 'after'>,
    private readonly maxPerTurn: number,
  ) {}

  /** Resolves once the task may begin. */
  waitForTurn(): Promise<void> {
    this.scheduleTurnEnd();
    if (this.waiting.length === 0 && this.startedInTurn < this.maxPerTurn) {
      this.startedInTurn++;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.waiting.push(resolve));
  }

  private scheduleTurnEnd(): void {
    if (this.isTurnEndScheduled) return;
    this.isTurnEndScheduled = true;
    this.clock.after(ms(0), () => this.beginTurn());
  }

  private beginTurn(): void {
    this.isTurnEndScheduled = false;
    const started = this.waiting.splice(0, this.maxPerTurn);
    this.startedInTurn = started.length;
    if (started.length > 0) this.scheduleTurnEnd();
    for (const start of started) start();
  }
}
