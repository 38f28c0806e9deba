/** Heartbeats between controllers: who leads, who answers, and whether this node is cut off. */
import { ms, since, seconds, type Clock, type NodeId, type SteadyMs } from '../units/index.js';
import type { Peer } from './channel.js';
import type { PeerStatus } from './messages.js';

const HEARTBEAT_INTERVAL = ms(1000);
const HEARTBEAT_TIMEOUT = ms(800);
/** Without an answer from anybody for this long, a node counts itself as isolated. */
const ISOLATED_AFTER = seconds(5);
/** For so long another node's word is believed that the state service is out for it too. */
const OUTAGE_REPORT_TTL = seconds(30);

/** What another node said last, and when. */
export interface ReceivedStatus {
  readonly at: SteadyMs;
  readonly status: PeerStatus;
}

/**
 * Whether a node can serve nobody because it is cut off itself: neither the state service nor any other
 * node answers it. When the state service is out for all, the others say so, and all go on.
 */
export function isIsolated(
  now: SteadyMs,
  storeAnswered: SteadyMs,
  peers: readonly (ReceivedStatus | undefined)[],
): boolean {
  if (peers.length === 0 || since(storeAnswered, now) < ISOLATED_AFTER) return false;
  for (const peer of peers) {
    if (!peer) continue;
    const age = since(peer.at, now);
    if (age < ISOLATED_AFTER) return false;
    const outForAll = !peer.status.storeReachable && peer.at > storeAnswered;
    if (outForAll && age < OUTAGE_REPORT_TTL) return false;
  }
  return true;
}

/** Whether what was heard at that time is recent enough to count as reachable. */
export const isRecent = (at: SteadyMs, now: SteadyMs): boolean => since(at, now) < ISOLATED_AFTER;

/**
 * Sends heartbeats to the other nodes, so that one that fell silent is known before a user's request
 * depends on it, and so that a node that the state service does not serve still learns who leads.
 */
export class PeerLiveness {
  private readonly heard = new Map<NodeId, ReceivedStatus>();
  private stopped = false;

  constructor(
    private readonly peers: ReadonlyMap<NodeId, Peer>,
    private readonly clock: Clock,
    private readonly ownStatus: () => PeerStatus,
    private readonly onStatus: (status: PeerStatus) => void,
  ) {}

  start(): void {
    for (const [node, peer] of this.peers) this.sendHeartbeat(node, peer);
  }

  stop(): void {
    this.stopped = true;
  }

  private sendHeartbeat(node: NodeId, peer: Peer): void {
    if (this.stopped) return;
    void peer
      .request({ type: 'peerHeartbeat', status: this.ownStatus() }, HEARTBEAT_TIMEOUT)
      .then((response) => {
        if (response?.type !== 'peerStatus') return;
        this.heard.set(node, { at: this.clock.steady(), status: response.status });
        this.onStatus(response.status);
      })
      .finally(() => this.clock.after(HEARTBEAT_INTERVAL, () => this.sendHeartbeat(node, peer)));
  }

  /** The response to another node's heartbeat. */
  respond(status: PeerStatus): PeerStatus {
    this.onStatus(status);
    return this.ownStatus();
  }

  isIsolated(storeAnswered: SteadyMs): boolean {
    const statuses = [...this.peers.keys()].map((node) => this.heard.get(node));
    return isIsolated(this.clock.steady(), storeAnswered, statuses);
  }
}
