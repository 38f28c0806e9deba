/** The outcomes of calls to the state service. */
import type { Revision } from '../units/index.js';

/** The outcome of a read of one key. `failed`: nothing is known of the key. */
export type ReadResult =
  | {
      readonly kind: 'found';
      readonly data: unknown;
      /** Of the key's last change. */
      readonly revision: Revision;
      /** The lease that the key is attached to. */
      readonly leaseId: number | undefined;
    }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed'; readonly reason: string };

/** The outcome of a compare-and-swap. */
export type CommitResult =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** Not carried out: the conditions on the keys in `failed` did not hold. */
  | { readonly kind: 'conflict'; readonly failed: readonly string[] }
  /** Not carried out: the lease that a write names does not exist any more. */
  | { readonly kind: 'leaseExpired' }
  /** Not carried out, and never will be as it is: it exceeds the limits of the state service. */
  | { readonly kind: 'tooLarge' }
  /** Certainly not carried out; it may be sent again. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may have been carried out, or may yet be: the keys must be read before anything is concluded. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Every key under a prefix. */
export interface ListResult {
  readonly items: readonly {
    readonly key: string;
    readonly data: unknown;
    readonly revision: Revision;
  }[];
  /** The store's revision when the last page was read. */
  readonly revision: Revision;
}

/** The outcome of a lease's renewal. `gone`: it has expired. `failed`: nothing is known of it. */
export type RenewalResult = 'renewed' | 'gone' | 'failed';

/**
 * The outcome of a watch. `changed`: the wait ended, with or without a change. `stale`: the revision is too
 * old to watch from, and the keys must be read again.
 */
export type WatchResult = 'changed' | 'stale' | 'failed';
