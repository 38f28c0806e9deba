/** Forwards a user's request from this controller to the leader. */
import type { Peer } from '../peer/peer.js';
import type { UserPeerRequest } from '../peer/messages.js';
import type { DurationMs } from '../units/index.js';
import type { ApiResponse } from './api-response.js';

/** The result of a request to the leader. */
export type LeaderResponse =
  | { readonly kind: 'responded'; readonly response: ApiResponse }
  /** No response, or one that leaves the outcome open: the leader may still carry out the request. */
  | { readonly kind: 'noResponse' };

const NO_RESPONSE: LeaderResponse = { kind: 'noResponse' };

/** Sends a request to the controller that is believed to be the leader. */
export async function sendToLeader(
  leader: Peer,
  request: UserPeerRequest,
  timeout: DurationMs,
): Promise<LeaderResponse> {
  const peerResponse = await leader.sendRequest(request, timeout);
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
