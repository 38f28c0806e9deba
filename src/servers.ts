/** The sockets that a node listens on: one for users and workers, one for the other controllers. */
import http from 'node:http';
import type { Logger } from 'pino';
import { createApp } from './api/app.js';
import type { Settings } from './config/settings.js';
import type { Controller } from './controller.js';
import { createPeerServer } from './peer/peer-server.js';
import type { Endpoint } from './units/index.js';

/**
 * Connections of workers and users that ended silently, because the network was cut, are dropped after so
 * many heartbeats, and no sooner than after the least time, in milliseconds.
 */
const IDLE_HEARTBEATS = 6;
const MIN_IDLE_MS = 20_000;
const HEADERS_TIMEOUT_MS = 8000;
const REQUEST_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 5000;
const RETRY_MS = 500;

/** What answers the requests, and who listens for them. */
interface Listener {
  readonly server: http.Server | ReturnType<typeof createPeerServer>;
  readonly endpoint: Endpoint;
  readonly purpose: string;
}

/** Listens for requests to the controller. A socket that can't be opened is tried again, without end. */
export function startServers(
  controller: Controller,
  settings: Settings,
  maxApiConnections: number,
  log: Logger,
): void {
  const api = createApiServer(controller, settings, log);
  api.maxConnections = maxApiConnections;
  const peers = createPeerServer((request) => controller.peerRequests.handle(request), log);
  listenPersistently(
    [
      { server: api, endpoint: settings.apiEndpoint, purpose: 'users and workers' },
      { server: peers, endpoint: settings.clusterEndpoint, purpose: 'the other nodes' },
    ],
    log,
  );
}

function createApiServer(controller: Controller, { workers }: Settings, log: Logger): http.Server {
  const idleTime = Math.max(MIN_IDLE_MS, workers.heartbeatInterval * IDLE_HEARTBEATS);
  return http.createServer(
    {
      keepAliveTimeout: idleTime,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    // koa answers all its errors itself.
    createApp(controller, log).callback() as http.RequestListener,
  );
}

function listenPersistently(listeners: readonly Listener[], log: Logger): void {
  const open = (): void => {
    for (const { server, endpoint } of listeners) if (!server.listening) listenOn(server, endpoint);
  };
  for (const { server, purpose } of listeners) {
    server.on('error', (error: Error) => {
      log.error({ err: error }, `listening for ${purpose} failed`);
      setTimeout(open, RETRY_MS);
    });
  }
  open();
}

function listenOn(server: Listener['server'], endpoint: Endpoint): void {
  const separator = endpoint.lastIndexOf(':');
  server.listen(Number(endpoint.slice(separator + 1)), endpoint.slice(0, separator));
}
