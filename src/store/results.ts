/** The results of requests to the state store. */
import type { Revision } from '../units/index.js';

/** The result of reading one key. `failed`: nothing is known about the key. */
export type ReadResult =
  | {
      readonly kind: 'found';
      readonly data: unknown;
      /** The revision of the key's last change. */
      readonly revision: Revision;
      /** The lease that the key is attached to. */
      readonly leaseId: number | undefined;
    }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed'; readonly reason: string };

/** The result of a compare-and-swap transaction. */
export type CommitResult =
  | { readonly kind: 'committed'; readonly revision: Revision }
  /** Not executed: the conditions on the keys in `failed` did not hold. */
  | { readonly kind: 'conflict'; readonly failed: readonly string[] }
  /** Not executed: the lease that a write names no longer exists. */
  | { readonly kind: 'leaseExpired' }
  /** Not executed, and a retry cannot succeed: the transaction exceeds the limits of the state store. */
  | { readonly kind: 'tooLarge' }
  /** Certainly not executed; it may be retried. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may have been executed, or may still be: the keys must be read to find out. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** A key in a list. */
export interface ListItem {
  readonly key: string;
  readonly data: unknown;
  /** The revision of the key's last change. */
  readonly revision: Revision;
}

/** A part of the keys under a prefix, in the order of the keys. `failed`: nothing was read. */
export type PageResult =
  | {
      readonly kind: 'page';
      readonly items: readonly ListItem[];
      /** The store's revision when the page was read. */
      readonly revision: Revision;
      /** The key after which the next page starts; undefined after the last page. */
      readonly next: string | undefined;
    }
  | { readonly kind: 'failed'; readonly reason: string };

/** Every key under a prefix. */
export interface ListResult {
  readonly items: readonly ListItem[];
  /** The store's revision when the last page was read. */
  readonly revision: Revision;
}

/** The result of renewing a lease. `gone`: it has expired. `failed`: its state is unknown. */
export type RenewalResult = 'renewed' | 'gone' | 'failed';

/**
 * The result of a watch. `changed`: the wait ended, with or without a change. `stale`: the revision is too
 * old to watch from, and the keys must be read again.
 */
export type WatchResult = 'changed' | 'stale' | 'failed';
