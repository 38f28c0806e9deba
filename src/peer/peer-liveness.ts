/** Heartbeats between controllers: who leads, which peers respond, and whether this controller is isolated. */
import type { Logger } from 'pino';
import { runInBackground } from '../units/run-in-background.js';
import {
  ms,
  durationBetween,
  seconds,
  type Clock,
  type ControllerId,
  type SteadyMs,
} from '../units/index.js';
import type { Peer } from './peer.js';
import type { PeerStatus } from './messages.js';

const HEARTBEAT_INTERVAL = ms(1000);
const HEARTBEAT_TIMEOUT = ms(800);
/** A controller without any response from the store or a peer for this long counts as isolated. */
const ISOLATION_TIMEOUT = seconds(5);
/** How long a peer's statement that the store does not respond to it either remains valid. */
const OUTAGE_REPORT_TTL = seconds(30);

/** The latest status of a peer, and when it arrived. */
export interface ReceivedStatus {
  readonly receivedAt: SteadyMs;
  readonly status: PeerStatus;
}

/**
 * Whether a controller can't serve users because it alone is cut off: neither the store nor any peer responds to it.
 * If the store is unavailable to all controllers, the peers report that, and no controller counts as isolated.
 */
export function isIsolated(
  now: SteadyMs,
  lastStoreResponseAt: SteadyMs,
  peers: readonly (ReceivedStatus | undefined)[],
): boolean {
  if (peers.length === 0 || durationBetween(lastStoreResponseAt, now) < ISOLATION_TIMEOUT)
    return false;
  for (const peer of peers) {
    if (!peer) continue;
    const age = durationBetween(peer.receivedAt, now);
    if (age < ISOLATION_TIMEOUT) return false;
    const isStoreOutage = !peer.status.storeReachable && peer.receivedAt > lastStoreResponseAt;
    if (isStoreOutage && age < OUTAGE_REPORT_TTL) return false;
  }
  return true;
}

/** Whether a response at that time is recent enough for its sender to count as reachable. */
export const isRecentResponse = (at: SteadyMs, now: SteadyMs): boolean =>
  durationBetween(at, now) < ISOLATION_TIMEOUT;

/** The times of the store's responses to this controller. */
export interface StoreContact {
  /** When the store last sent a response other than 503 (unavailable). */
  readonly lastResponseAt: SteadyMs;
  /** When the store last sent any response. */
  readonly lastContactAt: SteadyMs;
}

/** What `PeerLiveness` learns from the rest of the controller, and reports to it. */
export interface StatusExchange {
  /** The status of this controller at this moment. */
  ownStatus(): PeerStatus;
  storeContact(): StoreContact;
  /** Called with each status that a peer sends. */
  onPeerStatus(status: PeerStatus): void;
}

/**
 * Sends heartbeats to the peers, so that an unresponsive peer is known before a user's request depends on it, and so
 * that a controller without access to the store still learns who leads.
 */
export class PeerLiveness {
  private readonly latestStatuses = new Map<ControllerId, ReceivedStatus>();
  private isStopped = false;
  private wasIsolated = false;

  constructor(
    private readonly peers: ReadonlyMap<ControllerId, Peer>,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly exchange: StatusExchange,
  ) {}

  start(): void {
    for (const [controllerId, peer] of this.peers) this.sendHeartbeat(controllerId, peer);
  }

  stop(): void {
    this.isStopped = true;
  }

  private sendHeartbeat(controllerId: ControllerId, peer: Peer): void {
    if (this.isStopped) return;
    this.logIsolationChange();
    const status = this.exchange.ownStatus();
    const exchanged = peer
      .sendRequest({ type: 'peerHeartbeat', status }, HEARTBEAT_TIMEOUT)
      .then((response) => {
        if (response?.type !== 'peerStatus') return;
        this.latestStatuses.set(controllerId, {
          receivedAt: this.clock.steady(),
          status: response.status,
        });
        this.exchange.onPeerStatus(response.status);
      })
      .finally(() =>
        this.clock.after(HEARTBEAT_INTERVAL, () => this.sendHeartbeat(controllerId, peer)),
      );
    runInBackground(exchanged, this.log, 'sending a heartbeat to a peer');
  }

  /** Processes a peer's heartbeat and returns the status to respond with. */
  handleHeartbeat(status: PeerStatus): PeerStatus {
    this.exchange.onPeerStatus(status);
    return this.exchange.ownStatus();
  }

  /** Whether this controller counts as isolated. */
  isIsolated(): boolean {
    const { lastResponseAt } = this.exchange.storeContact();
    const statuses = [...this.peers.keys()].map((controllerId) =>
      this.latestStatuses.get(controllerId),
    );
    return isIsolated(this.clock.steady(), lastResponseAt, statuses);
  }

  private logIsolationChange(): void {
    const isNowIsolated = this.isIsolated();
    if (isNowIsolated === this.wasIsolated) return;
    this.wasIsolated = isNowIsolated;
    const message = isNowIsolated
      ? 'this controller counts as isolated; it fails its health checks'
      : 'this controller no longer counts as isolated';
    this.log.warn(this.evidence(), message);
  }

  /** What is known of the store and the peers, with the age of each observation. */
  private evidence(): object {
    const now = this.clock.steady();
    const { lastResponseAt, lastContactAt } = this.exchange.storeContact();
    const peers = [...this.latestStatuses].map(([controllerId, { receivedAt, status }]) => ({
      controllerId,
      ageMs: Math.round(durationBetween(receivedAt, now)),
      storeReachable: status.storeReachable,
    }));
    return {
      storeResponseAgeMs: Math.round(durationBetween(lastResponseAt, now)),
      storeContactAgeMs: Math.round(durationBetween(lastContactAt, now)),
      peers,
    };
  }
}
