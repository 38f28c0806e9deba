/**
 * Checks the servers of a controller on loopback. Workers keep their connections open; if they may use up all that a
 * controller accepts, it serves neither users nor health checks, and the load balancer removes it.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import { test } from 'node:test';
import { pino } from 'pino';
import { RequestMetrics } from '../../src/api/request-metrics.js';
import { parseSettings } from '../../src/config/settings.js';
import { startServers, type ServedController } from '../../src/servers.js';
import { Endpoint } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';
import { settingsFile } from '../support/settings-file.js';

const MAX_CONNECTIONS = 40;
const HEARTBEAT_PATH = '/agent/beat';

/** A controller that responds to each request at once, or to heartbeats once `release` resolves. */
function controllerThatWaitsFor(release: Promise<void>): ServedController {
  return {
    userRequestHandler: { handle: () => Promise.resolve({ status: 200 }) },
    workerHeartbeatHandler: { handle: () => release.then(() => ({ status: 200 })) },
    peerRequestHandler: { handle: () => Promise.resolve({ type: 'acknowledged', ok: true }) },
    requestMetrics: new RequestMetrics(),
    clock: systemClock,
    health: () => ({ status: 200 }),
    connections: undefined,
  };
}

/** Finds a free port on loopback. */
async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Sends a request and resolves with the status of the response; 0 if there was none. */
function send(port: number, method: string, path: string, agent: http.Agent): Promise<number> {
  return new Promise((resolve) => {
    const request = http.request({ port, method, path, agent, timeout: 2000 }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    request.end();
  });
}

/** Runs a test against the servers of a controller. */
async function withServers(
  release: Promise<void>,
  run: (port: number) => Promise<void>,
): Promise<void> {
  const [api, peers] = [await freePort(), await freePort()];
  const settings = {
    ...parseSettings(settingsFile(0)),
    apiEndpoint: Endpoint(`127.0.0.1:${api}`),
    peerEndpoint: Endpoint(`127.0.0.1:${peers}`),
  };
  const log = pino({ level: 'silent' });
  const servers = startServers(controllerThatWaitsFor(release), settings, MAX_CONNECTIONS, log);
  try {
    await run(api);
  } finally {
    servers.close();
  }
}

const keepAliveAgent = (): http.Agent => new http.Agent({ keepAlive: true, maxSockets: 1 });

async function expectUsersServed(port: number, when: string): Promise<void> {
  const agent = new http.Agent({ keepAlive: false });
  for (let i = 0; i < 5; i++) {
    assert.equal(await send(port, 'GET', '/up', agent), 200, `health check ${when}`);
    assert.equal(await send(port, 'GET', '/v1/jobs/run-000001', agent), 200, `poll ${when}`);
  }
}

void test('health checks and users are served although workers hold as many connections as they can', async () => {
  await withServers(Promise.resolve(), async (port) => {
    const agents = Array.from({ length: 3 * MAX_CONNECTIONS }, keepAliveAgent);
    for (const agent of agents) await send(port, 'POST', HEARTBEAT_PATH, agent);
    await expectUsersServed(port, 'with idle connections of workers');
    for (const agent of agents) agent.destroy();
  });
});

void test('health checks are served although users hold as many connections as they can', async () => {
  await withServers(Promise.resolve(), async (port) => {
    const agents = Array.from({ length: 3 * MAX_CONNECTIONS }, keepAliveAgent);
    for (const [i, agent] of agents.entries()) {
      assert.equal(await send(port, 'GET', '/v1/jobs/run-000001', agent), 200, `user ${i}`);
    }
    await expectUsersServed(port, 'with idle connections of users');
    for (const agent of agents) agent.destroy();
  });
});

void test('every worker gets responses although there are more of them than connections', async () => {
  await withServers(Promise.resolve(), async (port) => {
    const agents = Array.from({ length: 3 * MAX_CONNECTIONS }, keepAliveAgent);
    for (let round = 0; round < 3; round++) {
      for (const [i, agent] of agents.entries()) {
        assert.equal(await send(port, 'POST', HEARTBEAT_PATH, agent), 200, `worker ${i}`);
      }
    }
    for (const agent of agents) agent.destroy();
  });
});

void test('health checks and users are served although the heartbeats of all connections wait for a leader', async () => {
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => (release = resolve));
  await withServers(released, async (port) => {
    const agents = Array.from({ length: 3 * MAX_CONNECTIONS }, keepAliveAgent);
    const heartbeats = agents.map((agent) => send(port, 'POST', HEARTBEAT_PATH, agent));
    // Connections are made in order, so these come after all heartbeats.
    await expectUsersServed(port, 'with heartbeats that wait');
    release();
    await Promise.all(heartbeats);
    for (const agent of agents) agent.destroy();
  });
});
