/** Callbacks through which the ledger informs its owner. */
import type { FinalState, Job } from './job.js';

/** Callbacks that run synchronously when the outcome of a transaction is known. They must not throw. */
export interface LedgerEvents {
  /** A version of the job is in the store: actions that depend on that version may now proceed. */
  onCommitted(job: Job): void;
  /** The store holds a different record than expected: `job`, read from that record, replaces the job with its id. */
  onReplaced(job: Job): void;
  /** The job's final record is in the store: the job is no longer live. */
  onFinished(job: Job, final: FinalState): void;
  /** The creation of the job was definitely not applied, so the job does not exist: the user must submit it again. */
  onDropped(job: Job): void;
  /** Another controller wrote the leader key: this leader's term has ended. */
  onLeaderKeyLost(): void;
}
