/**
 * Checks that the client of the store keeps to its share of the request rate. Above the rate the store refuses
 * requests, and a renewal of the leader's lease that waits behind reads would come too late.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpClient, HttpRequest } from '../../src/net/http.js';
import { StoreClient } from '../../src/store/client.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('with more reads than the rate allows, each is sent in order or refused at once, and lease renewals do not wait', async () => {
  const time = new VirtualTime();
  const sent: { at: number; path: string }[] = [];
  const http: HttpClient = {
    send: (request: HttpRequest) => {
      sent.push({ at: time.now, path: request.path });
      return Promise.resolve({ kind: 'response', status: 404, body: {} });
    },
  };
  const store = new StoreClient({
    http,
    endpoint: Endpoint('10.0.0.9:1'),
    clock: new ProcessClock(time, 0, 0),
    random: () => 0.5,
    limits: { requestRate: 40, writeRate: 10 },
    controllerCount: 1,
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
  const refusedCount = outcomes.filter(({ kind }) => kind === 'failed').length;
  assert.ok(refusedCount > readCount / 2, `${refusedCount} reads refused at once`);
  await time.run(5000);
  assert.equal(outcomes.length, readCount);
  const responses = outcomes.filter(({ kind }) => kind === 'absent');
  assert.ok(
    Math.max(...responses.map(({ at }) => at)) <= 1100,
    'no read waited longer than its queue timeout',
  );
  const order = responses.map(({ index }) => index);
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
    'reads are sent in the order of the calls',
  );
});
