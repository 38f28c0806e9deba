/**
 * Sends commands to workers, either directly from the leader or through the follower that relays a worker's
 * heartbeats. In both cases only the leader decides, and the worker checks fencing token and session.
 */
import type { HttpClient, Outcome } from '../net/http.js';
import type { Peer } from '../peer/peer.js';
import type { CommandOutcome, CommandResult, SendCommandsRequest } from '../peer/messages.js';
import { Endpoint, ms } from '../units/index.js';
import { decodeHeartbeat, encodeCommandRequest } from '../wire/index.js';

/** Extra time for the result of a request to a worker to return through a peer. */
const RELAY_TIMEOUT_MARGIN = ms(500);

const COMMAND_OUTCOMES: Record<Outcome['kind'], CommandOutcome> = {
  answer: 'answered',
  undelivered: 'undelivered',
  unknown: 'unknown',
};

/** Sends commands to a worker directly from this controller. */
export async function sendCommandsToWorker(
  http: HttpClient,
  { address, fencingToken, session, timeoutMs, commands }: SendCommandsRequest,
): Promise<CommandResult> {
  const outcome = await http.send({
    lane: 'worker',
    endpoint: Endpoint(address),
    method: 'POST',
    path: '/commands',
    body: encodeCommandRequest({ fencingToken, session, commands }),
    timeout: ms(timeoutMs),
  });
  return {
    type: 'commandResult',
    outcome: COMMAND_OUTCOMES[outcome.kind],
    reason: outcome.kind === 'answer' ? '' : outcome.reason,
    heartbeat: outcome.kind === 'answer' ? (decodeHeartbeat(outcome.body) ?? null) : null,
  };
}

/**
 * Sends commands to a worker through a peer. Without a response it is unknown whether the commands were or will be
 * carried out, since packets between controllers may be delayed and arrive much later.
 */
export async function sendCommandsViaPeer(
  peer: Peer,
  request: SendCommandsRequest,
): Promise<CommandResult> {
  const response = await peer.sendRequest(request, ms(request.timeoutMs + RELAY_TIMEOUT_MARGIN));
  if (response?.type === 'commandResult') return response;
  return {
    type: 'commandResult',
    outcome: 'unknown',
    reason: 'no response from the peer that relays the commands',
    heartbeat: null,
  };
}
