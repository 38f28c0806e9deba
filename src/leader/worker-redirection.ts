/** When a leader sends the workers that report to it to the other nodes. */
import type { DurationMs } from '../units/index.js';

/**
 * About what a heartbeat that comes straight from its worker costs a leader, in processor time, all in
 * all: the request, the commands that answer it, and the work that it brings.
 */
const HEARTBEAT_COST_MS = 1;
/** Of a node's processor time, what heartbeats may take before the other nodes carry them. */
const START_SHARE = 0.5;
/** Below this share it stops again; lower than the other, so that workers are not sent to and fro. */
const STOP_SHARE = 0.35;

/** What decides how much processor time heartbeats take. */
export interface HeartbeatLoad {
  readonly machines: number;
  readonly heartbeatInterval: DurationMs;
  /** The share of a processor that a node has. */
  readonly cpu: number;
}

/**
 * Whether workers are to be redirected, given whether they are now. Requests of hundreds of workers, each
 * on a connection of its own, cost a small leader more than what they say: then the other nodes take them,
 * and pass them on in batches over the one connection that each has to the leader.
 */
export function shouldRedirectWorkers(
  isRedirecting: boolean,
  { machines, heartbeatInterval, cpu }: HeartbeatLoad,
): boolean {
  const share = (machines * HEARTBEAT_COST_MS) / heartbeatInterval / cpu;
  return share > (isRedirecting ? STOP_SHARE : START_SHARE);
}
