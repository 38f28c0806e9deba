/**
 * Checks the HTTP client and its limits on sockets. If workers that stop responding held all sockets, the leader
 * could not renew its lease at the store; more open sockets than allowed would exceed the connection limit of the
 * process.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { PooledHttpClient } from '../../src/net/pooled-http-client.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { encode } from '../../src/wire/index.js';

const listen = (server: http.Server): Promise<Endpoint> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(Endpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
  });

void test('with more workers than sockets, no more sockets are open than allowed, and the store can still be reached', async () => {
  const maxSockets = 5;
  let areWorkersSilent = false;
  const openSockets = new Set<unknown>();
  const servers = await Promise.all(
    Array.from({ length: 20 }, async () => {
      const server = http.createServer((_request, response) => {
        if (!areWorkersSilent) response.end(encode({ ok: true }));
      });
      server.on('connection', (socket) => {
        openSockets.add(socket);
        socket.on('close', () => openSockets.delete(socket));
      });
      return { server, workerEndpoint: await listen(server) };
    }),
  );
  const store = http.createServer((_request, response) => response.end(encode({})));
  const storeEndpoint = await listen(store);
  const client = new PooledHttpClient(maxSockets, 2, 1);
  const sendRequest = (endpoint: Endpoint, timeout: number, pool: 'worker' | 'lease' = 'worker') =>
    client.send({ endpoint, pool, method: 'GET', path: '/', timeout: ms(timeout) });
  try {
    for (const { workerEndpoint } of servers)
      assert.equal((await sendRequest(workerEndpoint, 5000)).kind, 'response');
    // The client closes a socket to make room for another one; the server sees that a moment later.
    while (openSockets.size > maxSockets) await new Promise((resolve) => setImmediate(resolve));
    // Workers that stopped responding hold all sockets, so a further request is refused at once.
    areWorkersSilent = true;
    const hungRequests = servers
      .slice(0, maxSockets)
      .map(({ workerEndpoint }) => sendRequest(workerEndpoint, 60_000));
    const refusedRequest = await sendRequest(
      servers[maxSockets]?.workerEndpoint ?? storeEndpoint,
      60_000,
    );
    assert.deepEqual(refusedRequest, { kind: 'undelivered', reason: 'no socket is free' });
    assert.equal((await sendRequest(storeEndpoint, 5000, 'lease')).kind, 'response');
    for (const { server } of servers) server.closeAllConnections();
    for (const { kind } of await Promise.all(hungRequests)) assert.equal(kind, 'unknown');
  } finally {
    for (const server of [store, ...servers.map((s) => s.server)]) {
      server.closeAllConnections();
      server.close();
    }
  }
});
