/**
 * Decides from observations of the store and the peers whether this controller can serve users, and whether another
 * controller could serve them better.
 */
import { durationBetween, seconds, type ControllerId, type SteadyMs } from '../units/index.js';
import type { PeerStatus } from './messages.js';

/** The store, a peer or the leader counts as silent once it has not responded for this long. */
export const SILENCE_TIMEOUT = seconds(5);
/**
 * How long a controller may be without the store and the leader while a peer reaches the store. Within this time a
 * failed leader is replaced, and the peers say by whom.
 */
const FAILOVER_TIMEOUT = seconds(10);
/** How long the last status of a silent peer may explain why the store refuses requests. */
const LAST_STATUS_TTL = seconds(30);

/** The latest status of a peer, and when it arrived. */
export interface ReceivedStatus {
  readonly receivedAt: SteadyMs;
  readonly status: PeerStatus;
}

/** The times of the store's responses to this controller. */
export interface StoreContact {
  /** When the store last sent a response other than 503 (unavailable). */
  readonly lastResponseAt: SteadyMs;
  /** When the store last sent any response. */
  readonly lastContactAt: SteadyMs;
}

/** What a controller has observed up to a moment. */
export interface Observations {
  readonly now: SteadyMs;
  /** Since when this process has been running without having been suspended. */
  readonly observingSince: SteadyMs;
  readonly store: StoreContact;
  /** When a peer that led and reached the store last responded. */
  readonly lastLeaderResponseAt: SteadyMs | undefined;
  /** All peers; undefined for one that has never responded. */
  readonly peers: ReadonlyMap<ControllerId, ReceivedStatus | undefined>;
}

/** Whether a controller can serve users and, if not, why. */
export type Reachability =
  /** The store or the leader responds, or too little has been observed to tell. */
  | 'connected'
  /** No controller that responds reaches the store. */
  | 'storeOutage'
  /** The store refuses requests and the peers are silent; the last that they said is that it refused theirs too. */
  | 'presumedOutage'
  /** Another controller may reach the store or the leader, and this one reaches neither. */
  | 'isolated';

/** Whether a response at that time is recent enough for its sender to count as reachable. */
export const isRecentResponse = (at: SteadyMs, now: SteadyMs): boolean =>
  durationBetween(at, now) < SILENCE_TIMEOUT;

/** Decides whether a controller can serve users. */
export function assessReachability(observations: Observations): Reachability {
  const { now, observingSince, peers, store } = observations;
  const servedAt = lastServedAt(observations);
  const isServed = isRecentResponse(servedAt, now) || isRecentResponse(observingSince, now);
  if (peers.size === 0 || isServed) return 'connected';
  const recentStatuses = statusesOf(observations).filter(({ receivedAt }) =>
    isRecentResponse(receivedAt, now),
  );
  if (recentStatuses.some(({ status }) => status.storeReachable)) {
    return durationBetween(servedAt, now) < FAILOVER_TIMEOUT ? 'connected' : 'isolated';
  }
  if (recentStatuses.length === peers.size) return 'storeOutage';
  // In an outage the store responds with 503. Without any response this controller is cut off from it, alone or
  // together with the peers that respond, and a silent peer may reach it.
  if (!isRecentResponse(store.lastContactAt, now)) return 'isolated';
  if (recentStatuses.length > 0) return 'storeOutage';
  return isOutageLastStatus(observations) ? 'presumedOutage' : 'isolated';
}

/** When the store, or a leader that reached it, last responded to this controller. */
function lastServedAt({ lastLeaderResponseAt, store }: Observations): SteadyMs {
  return lastLeaderResponseAt !== undefined && lastLeaderResponseAt > store.lastResponseAt
    ? lastLeaderResponseAt
    : store.lastResponseAt;
}

/** Whether the newest status of any peer says that the store is unavailable, and is not too old to count. */
function isOutageLastStatus(observations: Observations): boolean {
  const { now, store } = observations;
  const [newest] = statusesOf(observations).sort((a, b) => b.receivedAt - a.receivedAt);
  return (
    newest !== undefined &&
    !newest.status.storeReachable &&
    newest.receivedAt > store.lastResponseAt &&
    durationBetween(newest.receivedAt, now) < LAST_STATUS_TTL
  );
}

function statusesOf({ peers }: Observations): ReceivedStatus[] {
  return [...peers.values()].filter((received) => received !== undefined);
}
