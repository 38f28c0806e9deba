/** A user's request that this node passes on to the leader. */
import type { Peer } from '../peer/peer.js';
import type { UserPeerRequest } from '../peer/messages.js';
import type { DurationMs } from '../units/index.js';
import type { ApiResponse } from './api-response.js';

/** How a request to the leader ended. */
export type LeaderResponse =
  | { readonly kind: 'answered'; readonly reply: ApiResponse }
  /** No response, or one that settles nothing: the request may still be carried out. */
  | { readonly kind: 'unanswered' };

const UNANSWERED: LeaderResponse = { kind: 'unanswered' };

/** Asks a node that is taken for the leader. */
export async function sendToLeader(
  leader: Peer,
  request: UserPeerRequest,
  timeout: DurationMs,
): Promise<LeaderResponse> {
  const response = await leader.sendRequest(request, timeout);
  if (response?.type !== 'userResponse') return UNANSWERED;
  // A 503 of the node we took for the leader says no more than that it is not ready.
  if (response.status === 503) return UNANSWERED;
  const reply: ApiResponse = {
    status: response.status,
    ...(response.body.length > 0 ? { body: response.body } : {}),
    ...(response.retryAfter > 0 ? { retryAfter: response.retryAfter } : {}),
  };
  return { kind: 'answered', reply };
}
