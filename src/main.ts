#!/usr/bin/env node
import { randomUUID, randomInt } from 'node:crypto';
import http from 'node:http';
import { destination, pino, stdTimeFunctions } from 'pino';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createApp } from './api/app.js';
import { parseCommandLine } from './cli/cli.js';
import { maxLeaderLease, type OperatorSettings } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { LANE_SOCKETS, NodeHttpClient } from './net/client.js';
import { Controller } from './controller.js';
import { PeerLink } from './peer/link.js';
import { servePeers } from './peer/server.js';
import { systemClock } from './units/system.js';
import type { Endpoint, NodeId } from './units/index.js';

/** Connections of workers and users that ended silently, behind a cut, are dropped after so many reports. */
const IDLE_REPORTS = 6;
const LEAST_IDLE_MS = 20_000;
/** The share of a node's sockets that its own calls to workers may take, those that are kept included. */
const COMMAND_SHARE = 0.12;
/** For each other node, one each way and one that is being dialled anew. */
const PEER_SOCKETS = 3;
/** The two that listen, and what the process itself holds. */
const SPARE_SOCKETS = 12;

function listenOn(server: { listen(port: number, host: string): unknown }, at: Endpoint): void {
  const cut = at.lastIndexOf(':');
  server.listen(Number(at.slice(cut + 1)), at.slice(0, cut));
}

function run(settings: Settings, operator: OperatorSettings): void {
  const levels = ['error', 'warn', 'info', 'debug'];
  const level = process.env.LOG_LEVEL ?? 'info';
  const log = pino(
    {
      level: levels.includes(level) ? level : 'info',
      base: { node: settings.node },
      formatters: { level: (label) => ({ level: label }) },
      timestamp: stdTimeFunctions.isoTime,
    },
    // Synchronous: what a killed process was about to say is then already written.
    destination({ dest: 2, sync: true }),
  );
  // An error that nothing caught must not end the service; its state is rebuilt from records.
  process.on('uncaughtException', (e) => log.error({ err: e }, 'uncaught error'));
  process.on('unhandledRejection', (e) => log.error({ err: e }, 'unhandled rejection'));

  const { maxConnections } = settings.limits;
  const commands = Math.max(4, Math.floor(maxConnections * COMMAND_SHARE));
  const own = commands + LANE_SOCKETS + PEER_SOCKETS * settings.others.length + SPARE_SOCKETS;
  const generator = xoroshiro128plus(randomInt(0x7fffffff));
  const random = (): number => uniformFloat64(generator);
  const links = new Map<NodeId, PeerLink>(
    settings.others.map((o) => [o.node, new PeerLink(o.endpoint, systemClock, log)]),
  );
  const controller = new Controller(settings, operator, {
    clock: systemClock,
    random,
    http: new NodeHttpClient(commands, 2, 1),
    log,
    peers: links,
    processId: randomUUID(),
  });

  const keepAlive = Math.max(LEAST_IDLE_MS, settings.workers.heartbeatInterval * IDLE_REPORTS);
  const api = http.createServer(
    {
      keepAliveTimeout: keepAlive,
      headersTimeout: 8000,
      requestTimeout: 10_000,
      connectionsCheckingInterval: 5000,
    },
    // koa answers all its errors itself.
    createApp(controller, log).callback() as http.RequestListener,
  );
  api.maxConnections = Math.max(16, maxConnections - own);
  const peers = servePeers((request) => controller.peerRequests.handle(request), log);
  const failed = (what: string) => (e: Error) => {
    log.error({ err: e }, `${what} failed`);
    setTimeout(() => open(), 500);
  };
  const open = (): void => {
    if (!api.listening) listenOn(api, settings.apiEndpoint);
    if (!peers.listening) listenOn(peers, settings.clusterEndpoint);
  };
  api.on('error', failed('listening for users and workers'));
  peers.on('error', failed('listening for the other nodes'));
  open();
  controller.start();
  if (operator.lease > maxLeaderLease(settings.workers)) {
    log.warn('cancel_s leaves no time for a change of leader beside lease_s: tasks may outlast it');
  }
  log.info({ area: settings.zone }, 'started');
}

// No await at the top: the bundle that is deployed has none.
void parseCommandLine(process.argv.slice(2)).then((start) => {
  if (start.kind === 'exit') {
    if (start.out) process.stdout.write(start.out);
    if (start.err) process.stderr.write(start.err);
    process.exitCode = start.code;
  } else run(start.settings, start.operator);
});
