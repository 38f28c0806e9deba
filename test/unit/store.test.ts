import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpClient, Request } from '../../src/net/http.js';
import { StoreClient } from '../../src/store/client.js';
import { Endpoint, ms } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('a flood of questions: each is asked in turn or refused at once, and renewals go first', async () => {
  const time = new VirtualTime();
  const sent: { at: number; path: string }[] = [];
  const http: HttpClient = {
    send: (r: Request) => {
      sent.push({ at: time.now, path: r.path });
      return Promise.resolve({ kind: 'answer', status: 404, body: {} });
    },
  };
  const clock = new ProcessClock(time, 0, 0);
  const limits = { requestRate: 40, writeRate: 10 };
  const store = new StoreClient(http, Endpoint('10.0.0.9:1'), clock, () => 0.5, limits, 1);
  const outcomes: { i: number; kind: string; at: number }[] = [];
  const flood = 200;
  for (let i = 0; i < flood; i++) {
    void store.get(`live/${i}`, ms(1500), { patience: ms(1000) }).then(({ kind }) => {
      outcomes.push({ i, kind, at: time.now });
    });
  }
  void store.renewLease(3, ms(1000));
  await time.run(60);
  assert.ok(sent.some((s) => s.path === '/leases/3/touch'));
  const refused = outcomes.filter((o) => o.kind === 'failed').length;
  assert.ok(refused > flood / 2, `${refused} refused at once`);
  await time.run(5000);
  assert.equal(outcomes.length, flood);
  const asked = outcomes.filter((o) => o.kind === 'absent');
  assert.ok(Math.max(...asked.map((o) => o.at)) <= 1100, 'nobody waited beyond its patience');
  const order = asked.map((o) => o.i);
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
    'first come, first served',
  );
});
