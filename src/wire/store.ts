/** Messages between controllers and the state store, a consistent key-value store. */
import * as z from 'zod';

/** A key with its value. */
export interface StoredValue {
  readonly key: string;
  readonly data: unknown;
  /** The revision of the key's last change. */
  readonly revision: number;
  /** The lease that the key is attached to, if any. The key is deleted when the lease ends. */
  readonly leaseId?: number | undefined;
}

const ValueMessage = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: z.number(),
  tenure: z.number().nullish(),
});

/** Decodes the response to a read; undefined if the message is not one. */
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

/** Decodes one page of a list of keys; undefined if the message is not one. */
export function decodeValuePage(value: unknown): ValuePage | undefined {
  const parsed = PageMessage.safeParse(value);
  if (!parsed.success) return undefined;
  const { items, has_next: hasNext, ledger_rev: revision } = parsed.data;
  return { values: items.map(toStoredValue), hasNext, revision };
}

/** A condition of a compare-and-swap transaction: the key has this revision; 0 means that it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** A change in a compare-and-swap transaction. A put with a lease id attaches its key to that lease. */
export type StoreWrite =
  | { readonly put: string; readonly data: unknown; readonly leaseId?: number }
  | { readonly delete: string };

/** Encodes a compare-and-swap transaction: all writes are applied if all conditions hold, otherwise none. */
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

const RevisionMessage = z.object({ ledger_rev: z.number() });

/** The store's revision, which most of its responses contain; undefined in others. */
export function decodeRevision(body: unknown): number | undefined {
  const parsed = RevisionMessage.safeParse(body);
  return parsed.success ? parsed.data.ledger_rev : undefined;
}

const ConflictMessage = z.object({ failed: z.array(z.string()), ledger_rev: z.number() });

/** Decodes the keys whose conditions did not hold; undefined if the message does not contain them. */
export function decodeConflictingKeys(value: unknown): string[] | undefined {
  const parsed = ConflictMessage.safeParse(value);
  return parsed.success ? parsed.data.failed : undefined;
}

const LeaseMessage = z.object({ tenure: z.number() });

/** Encodes a request for a lease of the given duration. */
export const encodeLeaseRequest = (ttlMs: number): object => ({ ttl_ms: ttlMs });

/** Decodes the id of a new lease; undefined if the message does not contain one. */
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

/** The changes to keys with a given prefix during a watch. */
export interface WatchedChanges {
  /** The revision from which to continue watching. */
  readonly revision: number;
  /** The keys that were put or deleted, in order. */
  readonly keys: readonly string[];
}

/** Decodes the response to a watch; undefined if the message is not one. */
export function decodeWatchedChanges(value: unknown): WatchedChanges | undefined {
  const parsed = WatchMessage.safeParse(value);
  if (!parsed.success) return undefined;
  const keys = parsed.data.log.map((change) => change.put ?? change.delete ?? '');
  return { revision: parsed.data.ledger_rev, keys };
}
