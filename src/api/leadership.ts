/** Who leads, as far as a request is concerned: this node, another that can be reached, or nobody. */
import type { Election } from '../leader/election.js';
import type { Term } from '../leader/term.js';
import type { Peer } from '../peer/channel.js';
import type { NodeId } from '../units/index.js';

export class Leadership {
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

  /** Who holds the leader key, as far as this node knows. */
  leaderNode(): NodeId | undefined {
    return this.election.leader();
  }

  /** The way to another node that leads, if that node answers. */
  leaderPeer(): Peer | undefined {
    const node = this.leaderNode();
    const peer = node === undefined ? undefined : this.peers.get(node);
    return peer?.responsive ? peer : undefined;
  }

  /** The other nodes that answer. */
  responsivePeers(): NodeId[] {
    return [...this.peers].filter(([, peer]) => peer.responsive).map(([node]) => node);
  }
}
