/** Messages between controllers and the state service, a consistent key-value store. */
import * as z from 'zod';

/** A key with its value. */
export interface StoredValue {
  readonly key: string;
  readonly data: unknown;
  /** The revision of the key's last change. */
  readonly revision: number;
  /** The lease at whose end the key is deleted, if it is attached to one. */
  readonly leaseId?: number | undefined;
}

const ValueMessage = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: z.number(),
  tenure: z.number().nullish(),
});

/** The answer to a read; undefined if the message is none. */
export function decodeStoredValue(value: unknown): StoredValue | undefined {
  const parsed = ValueMessage.safeParse(value);
  return parsed.success ? toStoredValue(parsed.data) : undefined;
}

const toStoredValue = (message: z.infer<typeof ValueMessage>): StoredValue => ({
  key: message.key,
  data: message.data,
  revision: message.stamp,
  leaseId: message.tenure ?? undefined,
});

const PageMessage = z.object({
  items: z.array(ValueMessage),
  has_next: z.boolean(),
  ledger_rev: z.number(),
});

/** One page of a list of keys. */
export interface ValuePage {
  readonly values: readonly StoredValue[];
  readonly hasNext: boolean;
  /** The store's revision when the page was read. */
  readonly revision: number;
}

/** One page of a list; undefined if the message is none. */
export function decodeValuePage(value: unknown): ValuePage | undefined {
  const parsed = PageMessage.safeParse(value);
  if (!parsed.success) return undefined;
  const { items, has_next: hasNext, ledger_rev: revision } = parsed.data;
  return { values: items.map(toStoredValue), hasNext, revision };
}

/** A condition of a compare-and-swap: the key has this revision; with 0, it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** A change of a compare-and-swap. A put attaches its key to the lease, if it names one. */
export type StoreWrite =
  | { readonly put: string; readonly data: unknown; readonly leaseId?: number }
  | { readonly delete: string };

/** A compare-and-swap: all writes are applied if all conditions hold, otherwise none. */
export const encodeTransaction = (
  conditions: readonly StoreCondition[],
  writes: readonly StoreWrite[],
): object => ({
  if: conditions.map(({ key, revision }) => ({ key, stamp: revision })),
  writes: writes.map(encodeWrite),
});

function encodeWrite(write: StoreWrite): object {
  if ('delete' in write || write.leaseId === undefined) return write;
  const { put, data, leaseId } = write;
  return { put, data, tenure: leaseId };
}

const CommittedMessage = z.object({ ledger_rev: z.number() });

/** The revision of a transaction that was carried out; undefined if the message does not state one. */
export function decodeCommitRevision(value: unknown): number | undefined {
  const parsed = CommittedMessage.safeParse(value);
  return parsed.success ? parsed.data.ledger_rev : undefined;
}

const ConflictMessage = z.object({ failed: z.array(z.string()), ledger_rev: z.number() });

/** The keys whose conditions did not hold; undefined if the message does not state them. */
export function decodeConflictingKeys(value: unknown): string[] | undefined {
  const parsed = ConflictMessage.safeParse(value);
  return parsed.success ? parsed.data.failed : undefined;
}

const LeaseMessage = z.object({ tenure: z.number() });

/** A request for a lease of so many milliseconds. */
export const encodeLeaseRequest = (ttlMs: number): object => ({ ttl_ms: ttlMs });

/** The id of a new lease; undefined if the message does not state one. */
export function decodeLeaseId(value: unknown): number | undefined {
  const parsed = LeaseMessage.safeParse(value);
  return parsed.success ? parsed.data.tenure : undefined;
}

const WatchMessage = z.object({
  ledger_rev: z.number(),
  log: z.array(
    z.object({
      put: z.string().optional(),
      delete: z.string().optional(),
      data: z.unknown(),
      stamp: z.number(),
    }),
  ),
});

/** What changed under a prefix while it was watched. */
export interface WatchedChanges {
  /** The revision from which to go on watching. */
  readonly revision: number;
  /** The keys that were put or deleted, in order. */
  readonly keys: readonly string[];
}

/** The answer to a watch; undefined if the message is none. */
export function decodeWatchedChanges(value: unknown): WatchedChanges | undefined {
  const parsed = WatchMessage.safeParse(value);
  if (!parsed.success) return undefined;
  const keys = parsed.data.log.map((change) => change.put ?? change.delete ?? '');
  return { revision: parsed.data.ledger_rev, keys };
}
