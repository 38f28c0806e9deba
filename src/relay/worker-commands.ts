/**
 * Commands to workers: sent by the leader itself, or by the follower that a worker reports through.
 * Either way the leader alone decides, and the worker checks token and session.
 */
import type { HttpClient, Outcome } from '../net/http.js';
import type { Peer } from '../peer/peer.js';
import type { CommandOutcome, CommandResult, SendCommandsRequest } from '../peer/messages.js';
import { Endpoint, ms } from '../units/index.js';
import { decodeHeartbeat, encodeCommandRequest } from '../wire/index.js';

/** How much longer than the call itself its result may take to return through another node. */
const RELAY_MARGIN = ms(500);

const OUTCOMES: Record<Outcome['kind'], CommandOutcome> = {
  answer: 'answered',
  undelivered: 'undelivered',
  unknown: 'unknown',
};

/** Sends commands to a worker from this node. */
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
    outcome: OUTCOMES[outcome.kind],
    reason: outcome.kind === 'answer' ? '' : outcome.reason,
    heartbeat: outcome.kind === 'answer' ? (decodeHeartbeat(outcome.body) ?? null) : null,
  };
}

/**
 * Has another node send commands to a worker. Without a response it is unknown whether they were carried out, or
 * will be: packets between nodes may be delayed and arrive much later.
 */
export async function sendCommandsViaPeer(
  peer: Peer,
  request: SendCommandsRequest,
): Promise<CommandResult> {
  const response = await peer.sendRequest(request, ms(request.timeoutMs + RELAY_MARGIN));
  if (response?.type === 'commandResult') return response;
  return {
    type: 'commandResult',
    outcome: 'unknown',
    reason: 'no response from the relay',
    heartbeat: null,
  };
}
