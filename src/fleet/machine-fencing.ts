/** What a leader has sent and still has to send to a worker so that it refuses earlier start commands. */
import type { SteadyMs } from '../units/index.js';

/** The fencing token of one machine during one term. */
export class MachineFencing {
  /** The highest token in a message to the machine; 0 while that is the epoch. */
  token = 0;
  /** When the token was last raised. */
  raisedAt: SteadyMs | undefined;
  /**
   * Whether a message may arrive late that only a higher token tells from newer ones: a direct start that its worker has
   * forgotten, as after a restart or the end of a session, or a status from before a restart.
   */
  isRaiseDue = false;

  /** Records that a message with this token is sent. */
  recordSent(token: number): void {
    this.token = Math.max(this.token, token);
  }

  /** Records that the token is raised. */
  recordRaise(token: number, now: SteadyMs): void {
    this.recordSent(token);
    this.raisedAt = now;
    this.isRaiseDue = false;
  }
}
