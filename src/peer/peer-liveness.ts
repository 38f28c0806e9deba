/** Heartbeats between controllers: who leads, who answers, and whether this node is cut off. */
import type { Logger } from 'pino';
import { detach } from '../units/detach.js';
import {
  ms,
  durationBetween,
  seconds,
  type Clock,
  type NodeId,
  type SteadyMs,
} from '../units/index.js';
import type { Peer } from './peer.js';
import type { PeerStatus } from './messages.js';

const HEARTBEAT_INTERVAL = ms(1000);
const HEARTBEAT_TIMEOUT = ms(800);
/** A node that has had no answer from any other for this long counts as isolated. */
const ISOLATED_AFTER = seconds(5);
/** For this long another node's statement counts that the state service does not answer it either. */
const OUTAGE_REPORT_TTL = seconds(30);

/** The latest status of another node, and when it arrived. */
export interface ReceivedStatus {
  readonly receivedAt: SteadyMs;
  readonly status: PeerStatus;
}

/**
 * Whether a node is of no use to users because it is cut off itself: neither the state service nor any other node
 * answers it. In an outage of the state service for all, the other nodes say so, and none counts as isolated.
 */
export function isIsolated(
  now: SteadyMs,
  storeServedAt: SteadyMs,
  peers: readonly (ReceivedStatus | undefined)[],
): boolean {
  if (peers.length === 0 || durationBetween(storeServedAt, now) < ISOLATED_AFTER) return false;
  for (const peer of peers) {
    if (!peer) continue;
    const age = durationBetween(peer.receivedAt, now);
    if (age < ISOLATED_AFTER) return false;
    const isOutageForAll = !peer.status.storeReachable && peer.receivedAt > storeServedAt;
    if (isOutageForAll && age < OUTAGE_REPORT_TTL) return false;
  }
  return true;
}

/** Whether an answer at that time is recent enough for its sender to count as reachable. */
export const isRecentResponse = (at: SteadyMs, now: SteadyMs): boolean =>
  durationBetween(at, now) < ISOLATED_AFTER;

/** What heartbeats carry, for `PeerLiveness`. */
export interface StatusExchange {
  /** This node's status at this moment. */
  ownStatus(): PeerStatus;
  /** Called with each status that another node sends. */
  onPeerStatus(status: PeerStatus): void;
}

/**
 * Sends heartbeats to the other nodes, so that one that has stopped answering is known before a user's request
 * depends on it, and so that a node that the state service does not serve still learns who leads.
 */
export class PeerLiveness {
  private readonly latest = new Map<NodeId, ReceivedStatus>();
  private isStopped = false;

  constructor(
    private readonly peers: ReadonlyMap<NodeId, Peer>,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly exchange: StatusExchange,
  ) {}

  start(): void {
    for (const [node, peer] of this.peers) this.sendHeartbeat(node, peer);
  }

  stop(): void {
    this.isStopped = true;
  }

  private sendHeartbeat(node: NodeId, peer: Peer): void {
    if (this.isStopped) return;
    const status = this.exchange.ownStatus();
    const exchanged = peer
      .sendRequest({ type: 'peerHeartbeat', status }, HEARTBEAT_TIMEOUT)
      .then((response) => {
        if (response?.type !== 'peerStatus') return;
        this.latest.set(node, { receivedAt: this.clock.steady(), status: response.status });
        this.exchange.onPeerStatus(response.status);
      })
      .finally(() => this.clock.after(HEARTBEAT_INTERVAL, () => this.sendHeartbeat(node, peer)));
    detach(exchanged, this.log, 'heartbeat to a peer');
  }

  /** Takes another node's heartbeat and returns the status to respond with. */
  handleHeartbeat(status: PeerStatus): PeerStatus {
    this.exchange.onPeerStatus(status);
    return this.exchange.ownStatus();
  }

  /** Whether this node counts as isolated, given when the state service last answered it. */
  isIsolated(storeServedAt: SteadyMs): boolean {
    const statuses = [...this.peers.keys()].map((node) => this.latest.get(node));
    return isIsolated(this.clock.steady(), storeServedAt, statuses);
  }
}
