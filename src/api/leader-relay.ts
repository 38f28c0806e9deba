/** Relays users' requests from this controller to the leader, as many at a time as the leader can answer. */
import { RELAY_TIMEOUTS } from '../leader/read-leases.js';
import type { Peer } from '../peer/peer.js';
import type { PeerResponse, UserPeerRequest } from '../peer/messages.js';
import { ConcurrencyLimit } from '../relay/concurrency-limit.js';
import { ExpiringMap } from '../units/expiring-map.js';
import { durationBetween, seconds, type Clock, type SteadyMs } from '../units/index.js';
import { serviceUnavailable, type ApiResponse } from './api-response.js';

/** The result of a request to the leader. */
export type LeaderResponse =
  | { readonly kind: 'responded'; readonly response: ApiResponse }
  /** No response, or one that leaves the outcome open: the leader may still carry out the request. */
  | { readonly kind: 'noResponse' };

const NO_RESPONSE: LeaderResponse = { kind: 'noResponse' };

/** The polls of a job that have not been relayed for this long are preferred. */
const MAX_REFUSED_TIME = seconds(20);
/** Longer than the time between two polls of a job. */
const REFUSAL_TTL = seconds(60);

/**
 * Sends users' requests to the controller that is believed to be the leader. A leader that is behind handles heartbeats in
 * the order of arrival with these requests, so only as many are in flight as it answers soon. Submissions, cancellations and
 * polls that were refused for long come first.
 */
export class LeaderRelay {
  private readonly limit = new ConcurrencyLimit();
  /** Since when all polls of a job have been refused. */
  private readonly refusedSince = new ExpiringMap<string, SteadyMs>(REFUSAL_TTL);

  constructor(private readonly clock: Pick<Clock, 'steady'>) {}

  /** Sends a request. If the leader has as many as it can answer, the response is a 503 without its being sent. */
  async send(leader: Peer, request: UserPeerRequest): Promise<LeaderResponse> {
    const sentAt = this.clock.steady();
    const permit = this.limit.acquire(sentAt, this.isPreferred(request, sentAt));
    if (!permit) {
      this.recordRefusal(request, sentAt);
      return { kind: 'responded', response: serviceUnavailable('overloaded') };
    }
    if (request.type === 'readJob') this.refusedSince.delete(request.job);
    const timeout = RELAY_TIMEOUTS[request.type];
    try {
      const response = await leader.sendRequest(request, timeout);
      // A process that was suspended may see the response before its timer. The read lease has ended by then.
      const isLate = durationBetween(sentAt, this.clock.steady()) > timeout;
      return isLate ? NO_RESPONSE : toLeaderResponse(response);
    } finally {
      this.limit.release(permit, this.clock.steady());
    }
  }

  private isPreferred(request: UserPeerRequest, now: SteadyMs): boolean {
    if (request.type !== 'readJob') return true;
    const since = this.refusedSince.get(request.job);
    return since !== undefined && durationBetween(since, now) > MAX_REFUSED_TIME;
  }

  private recordRefusal(request: UserPeerRequest, now: SteadyMs): void {
    if (request.type !== 'readJob') return;
    const since = this.refusedSince.get(request.job) ?? now;
    this.refusedSince.set(request.job, since, now);
  }
}

function toLeaderResponse(peerResponse: PeerResponse | undefined): LeaderResponse {
  if (peerResponse?.type !== 'userResponse') return NO_RESPONSE;
  // A 503 only means that the presumed leader is not ready.
  if (peerResponse.status === 503) return NO_RESPONSE;
  const response: ApiResponse = {
    status: peerResponse.status,
    ...(peerResponse.body.length > 0 ? { body: peerResponse.body } : {}),
    ...(peerResponse.retryAfter > 0 ? { retryAfter: peerResponse.retryAfter } : {}),
  };
  return { kind: 'responded', response };
}
