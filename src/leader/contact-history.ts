/**
 * Records what this leader needs to know before it treats a silent machine as lost: since when it has responded to
 * heartbeats without interruption, and when each follower that relays heartbeats was last unreachable.
 */
import type { Peer } from '../peer/peer.js';
import type { NodeId, SteadyMs } from '../units/index.js';

/** Updated by the periodic work of a term and read by the autoscaler. */
export class ContactHistory {
  /** When each peer was last known not to respond to this controller. */
  readonly unreachableAt = new Map<NodeId, SteadyMs>();
  private hadAuthority = true;
  private uninterruptedSince: SteadyMs;

  constructor(
    private readonly peers: ReadonlyMap<NodeId, Pick<Peer, 'isResponsive'>>,
    startedAt: SteadyMs,
  ) {
    this.uninterruptedSince = startedAt;
  }

  /** Since when this leader has responded to heartbeats without interruption. */
  get respondingSince(): SteadyMs {
    return this.uninterruptedSince;
  }

  /**
   * Records whether the leader can handle heartbeats now. The silence of a machine means nothing while authority
   * has lapsed, since no heartbeat gets a response then. Neither does it while the process has stalled or is far
   * behind, since heartbeats may have arrived that the process has not read yet.
   */
  recordAuthority(hasAuthority: boolean, isStalled: boolean, now: SteadyMs): void {
    if (hasAuthority && (!this.hadAuthority || isStalled)) this.uninterruptedSince = now;
    this.hadAuthority = hasAuthority;
  }

  /** Records which peers do not respond at the moment. */
  recordUnreachablePeers(now: SteadyMs): void {
    for (const [peerId, peer] of this.peers) {
      if (!peer.isResponsive) this.unreachableAt.set(peerId, now);
    }
  }
}
