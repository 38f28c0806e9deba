/** When a leader sends the workers that report to it to the other nodes. */
import type { DurationMs } from '../units/index.js';

/**
 * About what a report that comes straight from its worker costs a leader, in processor time, all in
 * all: the request, the orders that answer it, and the work that it brings.
 */
const HEARTBEAT_COST_MS = 1;
/** Of its share of a processor, what reports may take before the other nodes carry them, and until. */
const START_SHARE = 0.5;
const STOP_SHARE = 0.35;

export interface HeartbeatLoad {
  readonly machines: number;
  readonly heartbeatInterval: DurationMs;
  /** The share of a processor that a node has. */
  readonly cpu: number;
}

/**
 * Requests of hundreds of workers, each on a connection of its own, cost a small leader more than what
 * they say: then the other nodes take them, and pass them on in batches over the one connection that
 * each has to the leader.
 */
export function shouldRedirectWorkers(
  now: boolean,
  { machines, heartbeatInterval: report, cpu }: HeartbeatLoad,
): boolean {
  const share = (machines * HEARTBEAT_COST_MS) / report / cpu;
  return share > (now ? STOP_SHARE : START_SHARE);
}
