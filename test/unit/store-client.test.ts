/** The client of the state service under its rates. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpClient, Request } from '../../src/net/http.js';
import { StoreClient } from '../../src/store/client.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('more reads than the rate allows: each is sent in order or refused at once, and renewals wait for none', async () => {
  const time = new VirtualTime();
  const sent: { at: number; path: string }[] = [];
  const http: HttpClient = {
    send: (request: Request) => {
      sent.push({ at: time.now, path: request.path });
      return Promise.resolve({ kind: 'answer', status: 404, body: {} });
    },
  };
  const store = new StoreClient({
    http,
    endpoint: Endpoint('10.0.0.9:1'),
    clock: new ProcessClock(time, 0, 0),
    random: () => 0.5,
    limits: { requestRate: 40, writeRate: 10 },
    nodeCount: 1,
  });
  const outcomes: { index: number; kind: string; at: number }[] = [];
  const readCount = 200;
  for (let index = 0; index < readCount; index++) {
    void store.get(`live/${index}`, ms(1500), { queueTimeout: ms(1000) }).then(({ kind }) => {
      outcomes.push({ index, kind, at: time.now });
    });
  }
  void store.renewLease(3, ms(1000));
  await time.run(60);
  assert.ok(sent.some(({ path }) => path === '/leases/3/touch'));
  const refused = outcomes.filter(({ kind }) => kind === 'failed').length;
  assert.ok(refused > readCount / 2, `${refused} refused at once`);
  await time.run(5000);
  assert.equal(outcomes.length, readCount);
  const answered = outcomes.filter(({ kind }) => kind === 'absent');
  assert.ok(Math.max(...answered.map(({ at }) => at)) <= 1100, 'none waited beyond its patience');
  const order = answered.map(({ index }) => index);
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
    'first come, first served',
  );
});
