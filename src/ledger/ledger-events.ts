/** What the ledger reports to its owner. */
import type { FinalState, Job } from './job.js';

/** Called synchronously when the outcome of a transaction is known. Implementations must not throw. */
export interface LedgerEvents {
  /** A version of the job is in the store: what waited for it may happen. */
  onCommitted(job: Job): void;
  /** The store holds another record than expected: `job`, read from it, replaces the one of the same id. */
  onReplaced(job: Job): void;
  /** The job's final record is in the store: it is not among the live jobs any more. */
  onFinished(job: Job, final: FinalState): void;
  /** The job's creation was certainly not carried out, and its user is to repeat it: it does not exist. */
  onDropped(job: Job): void;
  /** Another leader wrote the leader key: this epoch has ended. */
  onLeadershipLost(): void;
}
