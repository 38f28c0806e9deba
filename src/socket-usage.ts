/** Counts the sockets of this process by their use, and logs when a connection fails for want of one. */
import type { Logger } from 'pino';
import type { ApiConnections } from './api/api-connections.js';
import type { PooledHttpClient } from './net/pooled-http-client.js';
import { durationBetween, seconds, type Clock, type SteadyMs } from './units/index.js';

/** Node's names of connected sockets, and of those that are being connected. */
const SOCKET_RESOURCES: ReadonlySet<string> = new Set([
  'TCPSocketWrap',
  'TCPWRAP',
  'TCPConnectWrap',
]);
const LOG_INTERVAL = seconds(1);

/** What `SocketUsage` observes. */
export interface SocketUsageDependencies {
  readonly clock: Pick<Clock, 'steady'>;
  readonly log: Pick<Logger, 'warn'>;
  readonly connections: Pick<ApiConnections, 'openCount'>;
  readonly http: Pick<PooledHttpClient, 'workerSocketCounts'>;
}

/** The sockets of a controller process. */
export class SocketUsage {
  private loggedAt: SteadyMs | undefined;
  private failedCount = 0;

  constructor(private readonly deps: SocketUsageDependencies) {}

  /** The open sockets: those of clients, those to workers, and all of the process. */
  report(): object {
    const { connections, http } = this.deps;
    return { api: connections.openCount, workers: http.workerSocketCounts(), all: countSockets() };
  }

  /** Records that the platform refused a socket for an outgoing connection. */
  recordFailure(): void {
    this.failedCount++;
    const now = this.deps.clock.steady();
    if (this.loggedAt !== undefined && durationBetween(this.loggedAt, now) < LOG_INTERVAL) return;
    this.loggedAt = now;
    this.deps.log.warn(
      { sockets: this.report(), failed: this.failedCount },
      'the platform refused a socket for an outgoing connection',
    );
    this.failedCount = 0;
  }
}

function countSockets(): number {
  return process.getActiveResourcesInfo().filter((name) => SOCKET_RESOURCES.has(name)).length;
}
