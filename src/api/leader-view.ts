/** Which controller leads, from the point of view of a request: this one, a reachable peer, or none. */
import type { Election } from '../leader/election.js';
import type { Term } from '../leader/term.js';
import type { Peer } from '../peer/peer.js';
import type { ControllerId } from '../units/index.js';

/** Whether a request may be relayed to the leader; one that a peer has already relayed may not. */
export type RelayPolicy = 'relay' | 'handleLocally';

/** Where a user's request is handled. */
export type RequestRoute =
  /** This controller leads and has read the records. */
  | { readonly kind: 'term'; readonly term: Term }
  /** A peer leads and is responsive. */
  | { readonly kind: 'leader'; readonly peer: Peer }
  /** Only the store can be used: no leader is reachable, or this controller leads but still reads the records. */
  | { readonly kind: 'store' };

/** This controller's own term, and its connection to the leader if that is a peer. */
export class LeaderView {
  /** The term that this controller leads, even if it has no authority at this moment. */
  term: Term | undefined;

  constructor(
    private readonly election: Pick<Election, 'authority' | 'leader'>,
    /** The other controllers. */
    readonly peers: ReadonlyMap<ControllerId, Peer>,
  ) {}

  /** The term under whose authority this controller may respond at this moment. */
  authorisedTerm(): Term | undefined {
    const epoch = this.election.authority();
    const { term } = this;
    return epoch !== undefined && term?.epoch === epoch && !term.isClosed ? term : undefined;
  }

  /** Where a user's request is to be handled at this moment. */
  routeFor(policy: RelayPolicy): RequestRoute {
    const term = this.authorisedTerm();
    if (term?.isReady) return { kind: 'term', term };
    // A leader that is still reading the records has no other leader to relay to, and a relayed request must
    // not be relayed again, which could create a loop.
    const peer = term || policy === 'handleLocally' ? undefined : this.leaderPeer();
    return peer ? { kind: 'leader', peer } : { kind: 'store' };
  }

  /** The controller that holds the leader key, as far as this controller knows. */
  leaderId(): ControllerId | undefined {
    return this.election.leader();
  }

  /** The peer that leads, if it is responsive. */
  leaderPeer(): Peer | undefined {
    const controllerId = this.leaderId();
    const peer = controllerId === undefined ? undefined : this.peers.get(controllerId);
    return peer?.isResponsive ? peer : undefined;
  }

  /** The ids of the responsive peers. */
  responsivePeerIds(): ControllerId[] {
    return [...this.peers]
      .filter(([, peer]) => peer.isResponsive)
      .map(([controllerId]) => controllerId);
  }
}
