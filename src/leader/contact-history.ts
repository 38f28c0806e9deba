/**
 * When this leader may conclude something from the silence of machines: since when it answers heartbeats
 * without a break, and which followers, through which machines report, did not respond.
 */
import type { Peer } from '../peer/peer.js';
import type { NodeId, SteadyMs } from '../units/index.js';

/** Kept up to date by the periodic work of a term, read by capacity planning. */
export class ContactHistory {
  /** When each other node was last known not to respond to us. */
  readonly unreachableAt = new Map<NodeId, SteadyMs>();
  private hadAuthority = true;
  private unbrokenSince: SteadyMs;

  constructor(
    private readonly peers: ReadonlyMap<NodeId, Pick<Peer, 'isResponsive'>>,
    startedAt: SteadyMs,
  ) {
    this.unbrokenSince = startedAt;
  }

  /** Since when heartbeats are answered without a break. */
  get answeringSince(): SteadyMs {
    return this.unbrokenSince;
  }

  /**
   * Nothing follows from silence while authority has lapsed, since no heartbeat is answered then. Nor does
   * it while this process stands still or is far behind: what was reported may still wait to be read.
   */
  noteAuthority(hasAuthority: boolean, isStalled: boolean, now: SteadyMs): void {
    if (hasAuthority && (!this.hadAuthority || isStalled)) this.unbrokenSince = now;
    this.hadAuthority = hasAuthority;
  }

  /** Remembers which other nodes do not respond at this moment. */
  noteUnreachablePeers(now: SteadyMs): void {
    for (const [node, peer] of this.peers) {
      if (!peer.isResponsive) this.unreachableAt.set(node, now);
    }
  }
}
