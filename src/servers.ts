/** The sockets that a controller listens on: one for users and workers, one for the other controllers. */
import http from 'node:http';
import type { Logger } from 'pino';
import { createApp, type RequestHandlers } from './api/app.js';
import type { ApiConnections } from './api/api-connections.js';
import type { Settings } from './config/settings.js';
import type { PeerHandler } from './peer/peer.js';
import { createPeerServer } from './peer/peer-server.js';
import type { Endpoint } from './units/index.js';

/**
 * Idle connections of workers and users are closed after this many heartbeat intervals, but not before the minimum
 * time. This removes connections that a network failure has ended silently.
 */
const IDLE_TIMEOUT_HEARTBEATS = 6;
const MIN_IDLE_TIMEOUT_MS = 20_000;
const HEADERS_TIMEOUT_MS = 8000;
const REQUEST_TIMEOUT_MS = 10_000;
const CONNECTION_CHECK_INTERVAL_MS = 5000;
const LISTEN_RETRY_DELAY_MS = 500;

/** A server, the address it listens on, and who sends requests to it. */
interface Listener {
  readonly server: http.Server | ReturnType<typeof createPeerServer>;
  readonly endpoint: Endpoint;
  readonly clients: string;
}

/** What the servers use of a controller. */
export interface ServedController extends RequestHandlers {
  readonly peerRequestHandler: { readonly handle: PeerHandler };
}

/** The running servers of a controller. */
export interface RunningServers {
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Listens for requests to the controller. Retries without limit if a socket cannot be opened. */
export function startServers(
  controller: ServedController,
  settings: Settings,
  connections: ApiConnections,
  log: Logger,
): RunningServers {
  const api = createApiServer(controller, connections, settings, log);
  connections.observe(api);
  const peers = createPeerServer((request) => controller.peerRequestHandler.handle(request), log);
  listenWithRetries(
    [
      { server: api, endpoint: settings.apiEndpoint, clients: 'users and workers' },
      { server: peers, endpoint: settings.peerEndpoint, clients: 'the other controllers' },
    ],
    log,
  );
  return {
    close: () => {
      api.close();
      api.closeAllConnections();
      peers.close();
    },
  };
}

function createApiServer(
  controller: RequestHandlers,
  connections: ApiConnections,
  { workers }: Settings,
  log: Logger,
): http.Server {
  const idleTimeout = Math.max(
    MIN_IDLE_TIMEOUT_MS,
    workers.heartbeatInterval * IDLE_TIMEOUT_HEARTBEATS,
  );
  return http.createServer(
    {
      keepAliveTimeout: idleTimeout,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    // koa handles all errors of its requests itself.
    createApp(controller, connections, log).callback() as http.RequestListener,
  );
}

function listenWithRetries(listeners: readonly Listener[], log: Logger): void {
  const open = (): void => {
    for (const { server, endpoint } of listeners) if (!server.listening) listenOn(server, endpoint);
  };
  for (const { server, clients } of listeners) {
    server.on('error', (error: Error) => {
      log.error({ err: error }, `server for ${clients} failed; it listens again shortly`);
      setTimeout(open, LISTEN_RETRY_DELAY_MS);
    });
  }
  open();
}

function listenOn(server: Listener['server'], endpoint: Endpoint): void {
  const separator = endpoint.lastIndexOf(':');
  server.listen(Number(endpoint.slice(separator + 1)), endpoint.slice(0, separator));
}
