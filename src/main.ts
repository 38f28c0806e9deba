#!/usr/bin/env node
/** The program: reads the command line and the settings, and runs one controller. */
import { randomInt, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { parseCommandLine } from './cli/cli.js';
import { maxLeaderLease, type OperatorSettings } from './config/operator.js';
import type { Settings } from './config/settings.js';
import { Controller } from './controller.js';
import { NodeHttpClient } from './net/client.js';
import { PeerClient } from './peer/peer-client.js';
import { createLog, logUncaughtErrors } from './process-log.js';
import { startServers } from './servers.js';
import { socketBudget } from './socket-budget.js';
import { systemClock } from './units/system.js';
import type { NodeId, Random } from './units/index.js';

const MAX_SEED = 0x7fffffff;
/** Connections to each worker: at most, and kept while idle. */
const SOCKETS_PER_WORKER = 2;
const IDLE_SOCKETS_PER_WORKER = 1;

function createRandom(): Random {
  const generator = xoroshiro128plus(randomInt(MAX_SEED));
  return () => uniformFloat64(generator);
}

function run(settings: Settings, operator: OperatorSettings): void {
  const log = createLog(settings.node, process.env.LOG_LEVEL);
  logUncaughtErrors(log);
  const sockets = socketBudget(settings);
  const peers = new Map<NodeId, PeerClient>(
    settings.others.map(({ node, endpoint }) => [node, new PeerClient(endpoint, systemClock, log)]),
  );
  const controller = new Controller(settings, operator, {
    clock: systemClock,
    random: createRandom(),
    http: new NodeHttpClient(sockets.commands, SOCKETS_PER_WORKER, IDLE_SOCKETS_PER_WORKER),
    log,
    peers,
    processId: randomUUID(),
  });
  startServers(controller, settings, sockets.api, log);
  controller.start();
  if (operator.lease > maxLeaderLease(settings.workers)) {
    log.warn('cancel_s leaves no time for a change of leader beside lease_s: tasks may outlast it');
  }
  log.info({ zone: settings.zone }, 'started');
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

// No await at the top: the bundle that is deployed has none. What fails here ends the process.
void main(process.argv.slice(2));
