/** Decides when the leader redirects the workers that send it heartbeats to the followers. */
import type { DurationMs } from '../units/index.js';

/**
 * Approximate CPU time, in milliseconds, that the leader spends on a heartbeat which it receives directly from a
 * worker. It includes the HTTP request, the commands in the response, and the work that the heartbeat triggers.
 */
const HEARTBEAT_CPU_MS = 1;
/** Redirection starts when heartbeats take more than this share of the leader's CPU time. */
const REDIRECT_START_CPU_SHARE = 0.5;
/** Redirection stops at or below this share, which is lower so that workers aren't moved back and forth. */
const REDIRECT_STOP_CPU_SHARE = 0.35;

/** Determines the share of the leader's CPU time that heartbeats take. */
export interface HeartbeatLoad {
  readonly machineCount: number;
  readonly heartbeatInterval: DurationMs;
  /** CPUs available to one controller; usually a fraction. */
  readonly cpusPerController: number;
}

/**
 * Whether workers should be redirected, given whether they currently are. When hundreds of workers each send requests
 * over their own connection, handling the requests costs a small leader more than processing their content. Followers
 * then receive the heartbeats and forward them in batches, each over its single connection to the leader.
 */
export function shouldRedirectWorkers(
  isRedirecting: boolean,
  { machineCount, heartbeatInterval, cpusPerController }: HeartbeatLoad,
): boolean {
  const cpuShare = (machineCount * HEARTBEAT_CPU_MS) / heartbeatInterval / cpusPerController;
  return cpuShare > (isRedirecting ? REDIRECT_STOP_CPU_SHARE : REDIRECT_START_CPU_SHARE);
}
