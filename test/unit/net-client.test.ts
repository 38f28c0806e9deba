/** The HTTP client and its bounds on sockets. */
import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { NodeHttpClient } from '../../src/net/client.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { encode } from '../../src/wire/index.js';

const listening = (server: http.Server): Promise<Endpoint> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(Endpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
  });

void test('more workers than sockets: no more are open than allowed, and the store is still reached', async () => {
  const maxSockets = 5;
  let isSilent = false;
  const openSockets = new Set<unknown>();
  const servers = await Promise.all(
    Array.from({ length: 20 }, async () => {
      const server = http.createServer((_request, response) => {
        if (!isSilent) response.end(encode({ ok: true }));
      });
      server.on('connection', (socket) => {
        openSockets.add(socket);
        socket.on('close', () => openSockets.delete(socket));
      });
      return { server, at: await listening(server) };
    }),
  );
  const store = http.createServer((_request, response) => response.end(encode({})));
  const storeAt = await listening(store);
  const client = new NodeHttpClient(maxSockets, 2, 1);
  const call = (endpoint: Endpoint, timeout: number, lane: 'worker' | 'lease' = 'worker') =>
    client.send({ endpoint, lane, method: 'GET', path: '/', timeout: ms(timeout) });
  try {
    for (const { at } of servers) assert.equal((await call(at, 5000)).kind, 'answer');
    // A socket that was closed for another is closed on this side at once, and on the other a moment later.
    while (openSockets.size > maxSockets) await new Promise((resolve) => setImmediate(resolve));
    // Workers that stopped answering hold all sockets: a further call is refused at once.
    isSilent = true;
    const hung = servers.slice(0, maxSockets).map(({ at }) => call(at, 60_000));
    const refused = await call(servers[maxSockets]?.at ?? storeAt, 60_000);
    assert.deepEqual(refused, { kind: 'undelivered', reason: 'no socket is free' });
    assert.equal((await call(storeAt, 5000, 'lease')).kind, 'answer');
    for (const { server } of servers) server.closeAllConnections();
    for (const { kind } of await Promise.all(hung)) assert.equal(kind, 'unknown');
  } finally {
    for (const server of [store, ...servers.map((s) => s.server)]) {
      server.closeAllConnections();
      server.close();
    }
  }
});
