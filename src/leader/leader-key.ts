/** The leader key: the record in the store that names the leading process and is bound to that process's lease. */
import * as z from 'zod';
import { LEADER_KEY } from '../ledger/store-keys.js';
import type { StoreClient } from '../store/client.js';
import { detach, type ErrorLog } from '../units/detach.js';
import { NodeId, ms, type DurationMs, type Revision } from '../units/index.js';

/** A process that can become leader. */
export interface LeaderCandidate {
  readonly controllerId: NodeId;
  /** Distinguishes the process from earlier processes of the same controller. */
  readonly processId: string;
}

const LeaderRecord = z.object({ node: z.string(), run: z.string() });

/** The state of the leader key from the point of view of one candidate. */
export type LeaderKeyState =
  /** The store did not respond. */
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'absent' }
  /** The candidate itself wrote the key, by a transaction whose response was lost. */
  | { readonly kind: 'own'; readonly revision: Revision }
  /** An earlier process of the same controller wrote the key. It has ended, since the candidate replaces it. */
  | { readonly kind: 'predecessor'; readonly revision: Revision }
  /** Another controller holds the key; `leaderId` is undefined if the record can't be parsed. */
  | {
      readonly kind: 'other';
      readonly leaderId: NodeId | undefined;
      readonly revision: Revision;
      /** The revision of the store at which the key was read; a watch of the key can start there. */
      readonly readRevision: Revision;
    };

/** The outcome of an attempt to write the leader key. */
export type LeaderKeyWrite =
  | { readonly kind: 'written'; readonly revision: Revision; readonly leaseId: number }
  /** The key has changed since it was read. */
  | { readonly kind: 'conflict' }
  /** The key was not written, or the outcome is unknown. */
  | { readonly kind: 'failed' };

/** The timeout of each request to the store that concerns the leader key. */
export const LEADER_KEY_REQUEST_TIMEOUT = ms(1500);

/** Reads and writes the leader key for one candidate. */
export class LeaderKey {
  constructor(
    private readonly store: StoreClient,
    private readonly candidate: LeaderCandidate,
    private readonly log: ErrorLog,
  ) {}

  async read(): Promise<LeaderKeyState> {
    // The key is listed rather than read, because only a list returns the revision of the store. The key's own
    // revision may be older than the history that the store keeps: the store would refuse each watch from there.
    const listed = await this.store.list(LEADER_KEY, LEADER_KEY_REQUEST_TIMEOUT, { urgent: true });
    if (!listed) return { kind: 'unreadable' };
    const item = listed.items.find(({ key }) => key === LEADER_KEY);
    if (!item) return { kind: 'absent' };
    const { revision } = item;
    const leader = LeaderRecord.safeParse(item.data);
    if (leader.success && leader.data.node === this.candidate.controllerId) {
      return {
        kind: leader.data.run === this.candidate.processId ? 'own' : 'predecessor',
        revision,
      };
    }
    const leaderId = leader.success ? NodeId(leader.data.node) : undefined;
    return { kind: 'other', leaderId, revision, readRevision: listed.revision };
  }

  /** The lease that the key is bound to; undefined if the key can't be read or no longer has that revision. */
  async leaseIdAt(revision: Revision): Promise<number | undefined> {
    const read = await this.store.get(LEADER_KEY, LEADER_KEY_REQUEST_TIMEOUT, { urgent: true });
    return read.kind === 'found' && read.revision === revision ? read.leaseId : undefined;
  }

  /** Writes the key with a new lease, provided that its revision is still `replaced` (0: the key is absent). */
  async write(replaced: Revision, leaseDuration: DurationMs): Promise<LeaderKeyWrite> {
    const leaseId = await this.store.createLease(leaseDuration, LEADER_KEY_REQUEST_TIMEOUT);
    if (leaseId === undefined) return { kind: 'failed' };
    const { controllerId, processId } = this.candidate;
    const result = await this.store.transact(
      [{ key: LEADER_KEY, revision: replaced }],
      [{ put: LEADER_KEY, data: { node: controllerId, run: processId }, leaseId }],
      LEADER_KEY_REQUEST_TIMEOUT,
      { urgent: true },
    );
    if (result.kind === 'committed') return { kind: 'written', revision: result.revision, leaseId };
    // After an unknown outcome the lease must not be revoked: the key may be bound to it.
    if (result.kind !== 'unknown') {
      detach(
        this.store.revokeLease(leaseId, LEADER_KEY_REQUEST_TIMEOUT),
        this.log,
        'revoking the unused lease of a leader key',
      );
    }
    return { kind: result.kind === 'conflict' ? 'conflict' : 'failed' };
  }
}
