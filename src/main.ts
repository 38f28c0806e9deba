#!/usr/bin/env node
/** The program: reads the command line and the settings, and runs one controller. */
import { randomInt, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parseCommandLine } from './cli/command-line.js';
import { maxLeaderLease, type OperatorSettings } from './config/operator-settings.js';
import type { Settings } from './config/settings.js';
import { ApiConnections } from './api/api-connections.js';
import { Controller } from './controller.js';
import { EventLoopUsage } from './event-loop-usage.js';
import { PooledHttpClient } from './net/pooled-http-client.js';
import { PeerClient } from './peer/peer-client.js';
import { createLog, logUncaughtErrors } from './process-log.js';
import { startServers } from './servers.js';
import { SocketUsage } from './socket-usage.js';
import { socketBudget } from './socket-budget.js';
import { systemClock } from './units/system-clock.js';
import type { ControllerId, Random } from './units/index.js';

const MAX_SEED = 0x7fffffff;
/** The most connections to each worker, and the most that are kept open while idle. */
const SOCKETS_PER_WORKER = 2;
const IDLE_SOCKETS_PER_WORKER = 1;

function createRandom(): Random {
  const generator = xoroshiro128plus(randomInt(MAX_SEED));
  return () => uniformFloat64(generator);
}

function run(settings: Settings, operator: OperatorSettings): void {
  const log = createLog(settings.controllerId, process.env.LOG_LEVEL);
  logUncaughtErrors(log);
  const sockets = socketBudget(settings);
  const peers = new Map<ControllerId, PeerClient>(
    settings.otherControllers.map(({ controllerId, endpoint }) => [
      controllerId,
      new PeerClient(endpoint, systemClock, log),
    ]),
  );
  const connections = new ApiConnections(
    sockets.api,
    settings.workers.heartbeatInterval,
    systemClock,
  );
  const httpClient = new PooledHttpClient(
    sockets.commands,
    SOCKETS_PER_WORKER,
    IDLE_SOCKETS_PER_WORKER,
    () => socketUsage.recordFailure(),
  );
  const socketUsage = new SocketUsage({ clock: systemClock, log, connections, http: httpClient });
  const eventLoopUsage = new EventLoopUsage();
  const controller = new Controller(settings, operator, {
    clock: systemClock,
    random: createRandom(),
    http: httpClient,
    log,
    peers,
    processId: randomUUID(),
    acceptedCount: () => connections.acceptedCount,
    processReport: () => ({
      eventLoop: eventLoopUsage.takeReport(),
      connections: { ...connections.takeReport(), sockets: socketUsage.report() },
    }),
  });
  startServers(controller, settings, connections, log);
  controller.start();
  if (operator.lease > maxLeaderLease(settings.workers)) {
    log.warn(
      'cancel_s is too short for a failover in addition to lease_s: cancelled tasks may run for longer than cancel_s',
    );
  }
  log.info({ zone: settings.zone }, 'controller started');
}

async function main(argv: readonly string[]): Promise<void> {
  const commandLine = await parseCommandLine(argv);
  if (commandLine.kind === 'run') {
    run(commandLine.settings, commandLine.operator);
    return;
  }
  process.stdout.write(commandLine.stdout);
  process.stderr.write(commandLine.stderr);
  process.exitCode = commandLine.exitCode;
}

// The deployed bundle has no top-level await. An error here ends the process.
void main(process.argv.slice(2));
