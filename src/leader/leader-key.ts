/** The leader key: the record of the store that names the leading process, and hangs on its lease. */
import * as z from 'zod';
import { LEADER_KEY } from '../ledger/store-keys.js';
import type { StoreClient } from '../store/client.js';
import { detach, type ErrorLog } from '../units/detach.js';
import { NodeId, ms, type DurationMs, type Revision } from '../units/index.js';

/** A process that can lead. */
export interface LeaderCandidate {
  readonly controllerId: NodeId;
  /** Tells the process from its predecessors on the same node. */
  readonly processId: string;
}

const LeaderRecord = z.object({ node: z.string(), run: z.string() });

/** What the leader key says, from the point of view of one candidate. */
export type LeaderKeyState =
  /** The store did not answer. */
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'absent' }
  /** The candidate itself wrote it: a transaction whose answer was lost. */
  | { readonly kind: 'own'; readonly revision: Revision }
  /** A process of the same node wrote it. It is dead, since the candidate runs in its place. */
  | { readonly kind: 'predecessor'; readonly revision: Revision }
  /** Another node holds it; `node` is undefined if the record can't be read. */
  | {
      readonly kind: 'other';
      readonly leaderId: NodeId | undefined;
      readonly revision: Revision;
      /** The revision of the store at which the key was read, from which it can be watched. */
      readonly readRevision: Revision;
    };

/** How an attempt to write the leader key ended. */
export type LeaderKeyWrite =
  | { readonly kind: 'written'; readonly revision: Revision; readonly leaseId: number }
  /** The key is not as it was read. */
  | { readonly kind: 'conflict' }
  /** Not written, or not known to be. */
  | { readonly kind: 'failed' };

/** The longest that one call of the election may take. */
export const LEADER_KEY_REQUEST_TIMEOUT = ms(1500);

/** The leader key, as one candidate reads and writes it. */
export class LeaderKey {
  constructor(
    private readonly store: StoreClient,
    private readonly candidate: LeaderCandidate,
    private readonly log: ErrorLog,
  ) {}

  /** Reads the key. */
  async read(): Promise<LeaderKeyState> {
    // Listed rather than read, since a list says at which revision: the key's own may be older than
    // what the store keeps of its history, and a watch from there would be refused at once, for ever.
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

  /** The lease that the key hangs on; undefined if the key was not read as it was at that revision. */
  async leaseIdAt(revision: Revision): Promise<number | undefined> {
    const read = await this.store.get(LEADER_KEY, LEADER_KEY_REQUEST_TIMEOUT, { urgent: true });
    return read.kind === 'found' && read.revision === revision ? read.leaseId : undefined;
  }

  /** Writes the key, on a new lease, in place of what was read at that revision (0: absent). */
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
    // After an unknown outcome the lease must stand: the key may hang on it.
    if (result.kind !== 'unknown') {
      detach(
        this.store.revokeLease(leaseId, LEADER_KEY_REQUEST_TIMEOUT),
        this.log,
        'revoking a lease',
      );
    }
    return { kind: result.kind === 'conflict' ? 'conflict' : 'failed' };
  }
}
