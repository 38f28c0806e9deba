import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { NodeHttpClient } from '../../src/net/http.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { encode } from '../../src/wire/index.js';

const listening = (server: http.Server): Promise<Endpoint> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(Endpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
  });

void test('more workers than sockets: no more are open than allowed, and the store is still reached', async () => {
  const total = 5;
  let silent = false;
  const open = new Set<unknown>();
  const servers = await Promise.all(
    Array.from({ length: 20 }, async () => {
      const server = http.createServer((_req, res) => {
        if (!silent) res.end(encode({ ok: true }));
      });
      server.on('connection', (socket) => {
        open.add(socket);
        socket.on('close', () => open.delete(socket));
      });
      return { server, at: await listening(server) };
    }),
  );
  const store = http.createServer((_req, res) => res.end(encode({})));
  const storeAt = await listening(store);
  const client = new NodeHttpClient(total, 2, 1);
  const call = (endpoint: Endpoint, timeout: number, lane: 'worker' | 'lease' = 'worker') =>
    client.send({ endpoint, lane, method: 'GET', path: '/', timeout: ms(timeout) });
  try {
    for (const { at } of servers) assert.equal((await call(at, 5000)).kind, 'answer');
    // What gave way is closed on this side at once, and on the other a moment later.
    while (open.size > total) await new Promise((resolve) => setImmediate(resolve));
    // Workers that fell silent hold all their sockets: who finds none is told so at once.
    silent = true;
    const hung = servers.slice(0, total).map(({ at }) => call(at, 60_000));
    const one = await call(servers[total]?.at ?? storeAt, 60_000);
    assert.deepEqual(one, { kind: 'undelivered', reason: 'no socket is free' });
    assert.equal((await call(storeAt, 5000, 'lease')).kind, 'answer');
    for (const { server } of servers) server.closeAllConnections();
    for (const o of await Promise.all(hung)) assert.equal(o.kind, 'unknown');
  } finally {
    for (const server of [store, ...servers.map((s) => s.server)]) {
      server.closeAllConnections();
      server.close();
    }
  }
});
