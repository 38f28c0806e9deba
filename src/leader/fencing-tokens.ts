/** The fencing tokens that messages to machines carry during one term. */
import type { Machine } from '../fleet/machine.js';
import type { Ledger } from '../ledger/ledger.js';
import type { Epoch, SteadyMs } from '../units/index.js';

/**
 * Chooses the token in messages to each machine: the epoch at first. Raising a machine's token makes its worker refuse
 * all commands that were sent before, however late they arrive.
 *
 * A token is at most the revision of the latest transaction that the term has committed. Each transaction is
 * conditional on the leader key, so at that revision the key was still this leader's, and the epoch of every later
 * leader is higher.
 */
export class FencingTokens {
  constructor(
    private readonly epoch: Epoch,
    private readonly ledger: Pick<Ledger, 'lastCommittedRevision'>,
  ) {}

  /** The highest token that the term may use now. A worker that has seen a higher one has had a later leader. */
  get highest(): number {
    return this.ledger.lastCommittedRevision;
  }

  /** Whether a worker that reports this token as its highest one has seen no token of this term. */
  isFromEarlierTerm(fencingToken: number): boolean {
    return fencingToken < this.epoch;
  }

  /** The token for the next message to a machine: never lower than that of an earlier one in this term. */
  tokenFor({ fencing, status }: Machine): number {
    const reported = status?.fencingToken ?? 0;
    return Math.max(this.epoch, fencing.token, reported <= this.highest ? reported : 0);
  }

  /** Raises a machine's token. Returns false if that requires a further commit. */
  raise(machine: Machine, now: SteadyMs): boolean {
    const raised = this.tokenFor(machine) + 1;
    if (raised > this.highest) return false;
    machine.fencing.recordRaise(raised, now);
    return true;
  }

  /** Records that a message to a machine carries a token that was raised for another one. */
  recordSent(machine: Machine, fencingToken: number): void {
    machine.fencing.recordSent(fencingToken);
  }
}
