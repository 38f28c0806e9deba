/**
 * Spreads the handling of requests over turns of the event loop. Node accepts one connection for each turn, so that a turn in
 * which all requests that have arrived are handled keeps new connections waiting until their clients give up.
 */
import { durationBetween, ms, type Clock, type DurationMs, type SteadyMs } from './index.js';

/** How long requests are handled in one turn while no connection waits to be accepted. */
const TIME_PER_TURN = ms(20);
/** The same while connections are being accepted. */
const TIME_PER_TURN_WHILE_ACCEPTING = ms(2);
/** Requests get at least this share of the time, however long other work makes each turn. */
const MIN_TIME_SHARE = 0.3;

/**
 * A request is handled by functions that await each other; each needs microtasks to go on. A poll that is answered from
 * memory has to be finished within these, or its work counts for no turn.
 */
export const MICROTASKS_PER_REQUEST = 24;

/** Lets work that has just been resumed run, as far as it does not wait for I/O. */
async function microtasks(): Promise<void> {
  for (let i = 0; i < MICROTASKS_PER_REQUEST; i++) await Promise.resolve();
}

/** Lets callers begin their work in the order of their calls, for a limited time in each turn of the event loop. */
export class TurnBudget {
  private readonly waiting: (() => void)[] = [];
  private isTurnOpen = false;
  private isResuming = false;
  private startedAt: SteadyMs;
  private timePerTurn: DurationMs = TIME_PER_TURN_WHILE_ACCEPTING;
  private acceptedBefore = 0;

  /** `acceptedCount` returns how many connections this process has accepted; without it some always count as waiting. */
  constructor(
    private readonly clock: Pick<Clock, 'steady' | 'nextTurn'>,
    private readonly acceptedCount?: () => number,
  ) {
    this.startedAt = clock.steady();
  }

  /** Resolves when the caller may do its work: at once while this turn has time left, otherwise in a later turn. */
  begin(): Promise<void> {
    if (!this.isTurnOpen) this.openTurn();
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      if (!this.isResuming) void this.resumeWaiting();
    });
  }

  /** `lastTurnTime` is how long the turn before took, if work was left over from it. */
  private openTurn(lastTurnTime = ms(0)): void {
    this.isTurnOpen = true;
    this.startedAt = this.clock.steady();
    const usual = this.isAccepting() ? TIME_PER_TURN_WHILE_ACCEPTING : TIME_PER_TURN;
    this.timePerTurn = ms(Math.max(usual, lastTurnTime * MIN_TIME_SHARE));
    this.clock.nextTurn(() => {
      this.isTurnOpen = false;
      if (this.waiting.length === 0) return;
      this.openTurn(durationBetween(this.startedAt, this.clock.steady()));
      if (!this.isResuming) void this.resumeWaiting();
    });
  }

  /** Whether a connection was accepted since the previous turn, so that others may wait. */
  private isAccepting(): boolean {
    if (!this.acceptedCount) return true;
    const accepted = this.acceptedCount();
    const isAccepting = accepted !== this.acceptedBefore;
    this.acceptedBefore = accepted;
    return isAccepting;
  }

  private hasTimeLeft(): boolean {
    return durationBetween(this.startedAt, this.clock.steady()) < this.timePerTurn;
  }

  /** Resumes callers one after the other while this turn has time left. */
  private async resumeWaiting(): Promise<void> {
    this.isResuming = true;
    while (this.waiting.length > 0 && this.hasTimeLeft()) {
      this.waiting.shift()?.();
      await microtasks();
    }
    this.isResuming = false;
  }
}
