import assert from 'node:assert/strict';
import { test } from 'node:test';
import { shouldRedirectWorkers } from '../../src/leader/worker-redirects.js';
import { MAX_FRAME_BYTES } from '../../src/peer/framing.js';
import { encodeResponse } from '../../src/peer/codec.js';
import { NodeId, seconds } from '../../src/units/index.js';
import { encode, encodeHeartbeat, type Heartbeat, type Command } from '../../src/wire/index.js';
import { EPOCH, leadingNode } from '../support/api.js';

const report = (box: string, baton = 0): Heartbeat => ({
  machine: box,
  address: '',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 1,
  fencingToken: baton,
  reclaimNoticeSeconds: null,
  tasks: [],
});

void test('a report gets no 200 before the leader knows which jobs are cancelled', async () => {
  for (const ready of [true, false]) {
    for (const relayed of [true, false]) {
      const { workers, term } = leadingNode({ kind: 'absent' });
      let became = (): void => undefined;
      Object.assign(term, { isReady: false, rebuilt: new Promise<void>((r) => (became = r)) });
      const full = { kind: 'full' as const, heartbeat: report('vm-1') };
      const accepted = relayed
        ? workers
            .handleRelayed(NodeId('node-1'), EPOCH, [full])
            .then((r) => r.type === 'heartbeatResponses' && r.responses[0]?.outcome === 'accepted')
        : workers.handle(encode(encodeHeartbeat(report('vm-1')))).then((r) => r.status === 200);
      await Promise.resolve();
      term.isReady = ready;
      became();
      assert.equal(await accepted, ready);
    }
  }
});

void test('relayed reports are accepted under authority only, and none with a newer token', async () => {
  const cases: [name: string, token: number, loses: boolean, outcome: string][] = [
    ['an older token', 3, false, 'accepted'],
    ['a newer token', EPOCH + 1, false, 'refused'],
    ['authority ended while it was taken', 3, true, 'refused'],
  ];
  for (const [name, token, loses, outcome] of cases) {
    const { workers, term, lose } = leadingNode({ kind: 'absent' });
    const take = term.handleRelayedHeartbeat;
    Object.assign(term, {
      handleRelayedHeartbeat: () => {
        if (loses) lose();
        return take();
      },
    });
    const full = { kind: 'full' as const, heartbeat: report('vm-1', token) };
    const response = await workers.handleRelayed(NodeId('node-1'), EPOCH, [full]);
    assert.ok(response.type === 'heartbeatResponses');
    assert.equal(response.responses[0]?.outcome, outcome, name);
  }
});

void test('whether a leader redirects workers: neither early nor to and fro', () => {
  const cases: [machines: number, cpu: number, before: boolean, redirects: boolean][] = [
    [200, 0.2, false, false],
    [300, 0.05, false, true],
    [65, 0.05, true, true],
    [65, 0.05, false, false],
    [50, 0.05, true, false],
  ];
  for (const [machines, cpu, before, redirects] of cases) {
    const load = { machines, heartbeatInterval: seconds(3), cpu };
    assert.equal(shouldRedirectWorkers(before, load), redirects, `${machines}`);
  }
});

void test('a leader that is too small sends workers to others, and serves those that are back', async () => {
  const { workers, term, peers } = leadingNode({ kind: 'absent' });
  Object.assign(term, { redirectsWorkers: true });
  const status = async (box: string) =>
    (await workers.handle(encode(encodeHeartbeat(report(box))))).status;
  assert.equal(await status('vm-0'), 200, 'no other node answers');
  peers.set(NodeId('node-1'), { responsive: true, request: () => Promise.resolve(undefined) });
  assert.deepEqual(await workers.handle(encode(encodeHeartbeat(report('vm-1')))), {
    status: 421,
    body: { clerk: 'node-1' },
  });
  assert.equal(await status('vm-1'), 200, 'it can not reach that one');
  const full = { kind: 'full' as const, heartbeat: report('vm-2') };
  const relayed = await workers.handleRelayed(NodeId('node-1'), EPOCH, [full]);
  assert.ok(relayed.type === 'heartbeatResponses');
  assert.equal(relayed.responses[0]?.outcome, 'accepted', 'carried by another node');
});

void test('the orders that answer a batch fit a frame; the reports beyond are left to another', async () => {
  const { workers, term, time } = leadingNode({ kind: 'absent' });
  const entry = `run-${'9'.repeat(20)}/99999`;
  const commands = Array.from({ length: 300 }, (_, i): Command => {
    return { type: 'kill', task: entry, attempt: 2 ** 40 + i, gracePeriodSeconds: 10 };
  });
  let taken = 0;
  Object.assign(term, {
    handleRelayedHeartbeat: () => {
      taken++;
      return { reply: { fencingToken: EPOCH, commands }, baseline: 1 };
    },
  });
  const batch = Array.from({ length: 60 }, (_, i) => {
    return { kind: 'full' as const, heartbeat: report(`vm-${i}`) };
  });
  const answered = workers.handleRelayed(NodeId('node-1'), EPOCH, batch);
  await new Promise((resolve) => setImmediate(resolve));
  await time.run(1000);
  const response = await answered;
  assert.ok(response.type === 'heartbeatResponses');
  assert.equal(response.responses.length, batch.length);
  const accepted = response.responses.filter((r) => r.outcome === 'accepted').length;
  assert.ok(accepted > 0 && accepted === taken, 'what is not answered is not taken');
  assert.ok(encodeResponse(1, response).length < MAX_FRAME_BYTES);
});
