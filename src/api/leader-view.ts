/** Who leads, as far as a request is concerned: this node, another that can be reached, or none. */
import type { Election } from '../leader/election.js';
import type { Term } from '../leader/term.js';
import type { Peer } from '../peer/peer.js';
import type { NodeId } from '../units/index.js';

/** Whether a request may be passed on to the leader: one that another node passed on to us may not. */
export type RelayPolicy = 'relay' | 'answerHere';

/** What a user's request is answered by. */
export type RequestRoute =
  /** This node leads and knows the records. */
  | { readonly kind: 'term'; readonly term: Term }
  /** Another node leads and answers us. */
  | { readonly kind: 'leader'; readonly peer: Peer }
  /** No leader can be asked, or this node leads and still reads the records: the store is all there is. */
  | { readonly kind: 'store' };

/** The node's own term, and its way to the leader if that is another node. */
export class LeaderView {
  /** The term that this node leads, whether or not its authority stands at this moment. */
  term: Term | undefined;

  constructor(
    private readonly election: Pick<Election, 'authority' | 'leader'>,
    private readonly peers: ReadonlyMap<NodeId, Peer>,
  ) {}

  /** The term under whose authority this node may answer at this moment. */
  authorisedTerm(): Term | undefined {
    const epoch = this.election.authority();
    const { term } = this;
    return epoch !== undefined && term?.epoch === epoch && !term.isClosed ? term : undefined;
  }

  /** What a user's request is answered by at this moment. */
  routeFor(relaying: RelayPolicy): RequestRoute {
    const term = this.authorisedTerm();
    if (term?.isReady) return { kind: 'term', term };
    // A leader that still reads the records has no other to ask, and requests must not go in circles.
    const peer = term || relaying === 'answerHere' ? undefined : this.leaderPeer();
    return peer ? { kind: 'leader', peer } : { kind: 'store' };
  }

  /** Who holds the leader key, as far as this node knows. */
  leaderId(): NodeId | undefined {
    return this.election.leader();
  }

  /** The way to another node that leads, if that node answers. */
  leaderPeer(): Peer | undefined {
    const node = this.leaderId();
    const peer = node === undefined ? undefined : this.peers.get(node);
    return peer?.isResponsive ? peer : undefined;
  }

  /** The other nodes that answer. */
  responsivePeerIds(): NodeId[] {
    return [...this.peers].filter(([, peer]) => peer.isResponsive).map(([node]) => node);
  }
}
