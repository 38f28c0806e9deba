/** Heartbeats between controllers: who leads, which peers respond, and whether this controller is isolated. */
import type { Logger } from 'pino';
import { runInBackground } from '../units/run-in-background.js';
import {
  type ControllerId,
  ms,
  durationBetween,
  seconds,
  type Clock,
  type SteadyMs,
} from '../units/index.js';
import type { Peer } from './peer.js';
import type { PeerStatus } from './messages.js';
import {
  assessReachability,
  type Reachability,
  type ReceivedStatus,
  type StoreContact,
} from './reachability.js';

const HEARTBEAT_INTERVAL = ms(1000);
const HEARTBEAT_TIMEOUT = ms(800);
/** Without any heartbeat to a peer for this long, the process was suspended: its observations tell nothing. */
const SUSPENSION_THRESHOLD = seconds(3);

/** What `PeerLiveness` learns from the rest of the controller, and reports to it. */
export interface StatusExchange {
  /** The status of this controller at this moment. */
  ownStatus(): PeerStatus;
  storeContact(): StoreContact;
  /** Called with each status that a peer sends. */
  onPeerStatus(status: PeerStatus): void;
  /** The controller that leads, as far as this controller knows. */
  leader(): ControllerId | undefined;
}

/**
 * Sends heartbeats to the peers, so that an unresponsive peer is known before a user's request depends on it, and so
 * that a controller without access to the store still learns who leads.
 */
export class PeerLiveness {
  private readonly latestStatuses = new Map<ControllerId, ReceivedStatus | undefined>();
  private lastLeaderResponseAt: SteadyMs | undefined;
  /** Since when this process has been running without having been suspended. */
  private observingSince: SteadyMs;
  private lastActiveAt: SteadyMs;
  private loggedReachability: Reachability = 'connected';
  private isStopped = false;

  constructor(
    private readonly peers: ReadonlyMap<ControllerId, Peer>,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly exchange: StatusExchange,
  ) {
    for (const controllerId of peers.keys()) this.latestStatuses.set(controllerId, undefined);
    this.observingSince = clock.steady();
    this.lastActiveAt = this.observingSince;
  }

  start(): void {
    for (const [controllerId, peer] of this.peers) this.sendHeartbeat(controllerId, peer);
  }

  stop(): void {
    this.isStopped = true;
  }

  private sendHeartbeat(controllerId: ControllerId, peer: Peer): void {
    if (this.isStopped) return;
    this.logReachabilityChange();
    const status = this.exchange.ownStatus();
    const exchanged = peer
      .sendRequest({ type: 'peerHeartbeat', status }, HEARTBEAT_TIMEOUT)
      .then((response) => {
        if (response?.type === 'peerStatus') this.recordStatus(controllerId, response.status);
      })
      .finally(() =>
        this.clock.after(HEARTBEAT_INTERVAL, () => this.sendHeartbeat(controllerId, peer)),
      );
    runInBackground(exchanged, this.log, 'sending a heartbeat to a peer');
  }

  private recordStatus(controllerId: ControllerId, status: PeerStatus): void {
    const receivedAt = this.clock.steady();
    this.latestStatuses.set(controllerId, { receivedAt, status });
    this.exchange.onPeerStatus(status);
    const isLeader = this.exchange.leader() === controllerId;
    if (isLeader && status.storeReachable) this.lastLeaderResponseAt = receivedAt;
  }

  /** Processes a peer's heartbeat and returns the status to respond with. */
  handleHeartbeat(status: PeerStatus): PeerStatus {
    this.exchange.onPeerStatus(status);
    return this.exchange.ownStatus();
  }

  /** Whether this controller can serve users at this moment. */
  reachability(): Reachability {
    const now = this.clock.steady();
    if (durationBetween(this.lastActiveAt, now) > SUSPENSION_THRESHOLD) this.observingSince = now;
    this.lastActiveAt = now;
    return assessReachability({
      now,
      observingSince: this.observingSince,
      store: this.exchange.storeContact(),
      lastLeaderResponseAt: this.lastLeaderResponseAt,
      peers: this.latestStatuses,
    });
  }

  private logReachabilityChange(): void {
    const reachability = this.reachability();
    if (reachability === this.loggedReachability) return;
    this.loggedReachability = reachability;
    this.log.warn({ reachability, ...this.evidence() }, 'reachability of this controller changed');
  }

  /** What is known of the store and the peers, with the age of each observation. */
  private evidence(): object {
    const now = this.clock.steady();
    const ageMs = (at: SteadyMs): number => Math.round(durationBetween(at, now));
    const { lastResponseAt, lastContactAt } = this.exchange.storeContact();
    const peers = [...this.latestStatuses].map(([controllerId, latest]) => ({
      controllerId,
      ageMs: latest && ageMs(latest.receivedAt),
      storeReachable: latest?.status.storeReachable,
    }));
    return {
      leader: this.exchange.leader(),
      storeResponseAgeMs: ageMs(lastResponseAt),
      storeContactAgeMs: ageMs(lastContactAt),
      peers,
    };
  }
}
