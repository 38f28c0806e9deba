/** Which heartbeats a leader answers, and when it sends workers to other nodes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { shouldRedirectWorkers } from '../../src/leader/worker-redirects.js';
import { MAX_FRAME_BYTES } from '../../src/peer/framing.js';
import { encodeResponse } from '../../src/peer/codec.js';
import { NodeId, seconds } from '../../src/units/index.js';
import { encode, encodeHeartbeat, type Heartbeat, type Command } from '../../src/wire/index.js';
import { EPOCH, leadingNode } from '../support/api.js';

const heartbeatOf = (machine: string, fencingToken = 0): Heartbeat => ({
  machine,
  address: '',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 1,
  fencingToken,
  reclaimNoticeSeconds: null,
  tasks: [],
});

void test('a heartbeat gets no 200 before the leader knows which jobs are cancelled', async () => {
  for (const ready of [true, false]) {
    for (const relayed of [true, false]) {
      const { workerHeartbeats, term } = leadingNode({ kind: 'absent' });
      let settle = (): void => undefined;
      Object.assign(term, {
        isReady: false,
        recoveryOrTimeout: new Promise<void>((resolve) => (settle = resolve)),
      });
      const full = { kind: 'full' as const, heartbeat: heartbeatOf('vm-1') };
      const accepted = relayed
        ? workerHeartbeats
            .handleRelayed(NodeId('node-1'), EPOCH, [full])
            .then(
              (response) =>
                response.type === 'heartbeatResponses' &&
                response.responses[0]?.outcome === 'accepted',
            )
        : workerHeartbeats
            .handle(encode(encodeHeartbeat(heartbeatOf('vm-1'))))
            .then((reply) => reply.status === 200);
      await Promise.resolve();
      term.isReady = ready;
      settle();
      assert.equal(await accepted, ready);
    }
  }
});

void test('relayed heartbeats are accepted under authority only, and none with a newer token', async () => {
  const cases: [name: string, token: number, loses: boolean, outcome: string][] = [
    ['an older token', 3, false, 'accepted'],
    ['a newer token', EPOCH + 1, false, 'refused'],
    ['authority ended while it was handled', 3, true, 'refused'],
  ];
  for (const [name, token, loses, outcome] of cases) {
    const { workerHeartbeats, term, loseAuthority } = leadingNode({ kind: 'absent' });
    const handle = term.handleRelayedHeartbeat;
    Object.assign(term, {
      handleRelayedHeartbeat: () => {
        if (loses) loseAuthority();
        return handle();
      },
    });
    const full = { kind: 'full' as const, heartbeat: heartbeatOf('vm-1', token) };
    const response = await workerHeartbeats.handleRelayed(NodeId('node-1'), EPOCH, [full]);
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
    const load = {
      machineCount: machines,
      heartbeatInterval: seconds(3),
      cpusPerController: cpu,
    };
    assert.equal(shouldRedirectWorkers(before, load), redirects, `${machines}`);
  }
});

void test('a leader that is too small redirects workers, and serves those that are back at once', async () => {
  const { workerHeartbeats, term, peers } = leadingNode({ kind: 'absent' });
  Object.assign(term, { isRedirectingWorkers: true });
  const status = async (machine: string) =>
    (await workerHeartbeats.handle(encode(encodeHeartbeat(heartbeatOf(machine))))).status;
  assert.equal(await status('vm-0'), 200, 'no other node answers');
  peers.set(NodeId('node-1'), {
    isResponsive: true,
    sendRequest: () => Promise.resolve(undefined),
  });
  assert.deepEqual(await workerHeartbeats.handle(encode(encodeHeartbeat(heartbeatOf('vm-1')))), {
    status: 421,
    body: { clerk: 'node-1' },
  });
  assert.equal(await status('vm-1'), 200, 'back at once: it can not reach that node');
  const full = { kind: 'full' as const, heartbeat: heartbeatOf('vm-2') };
  const relayed = await workerHeartbeats.handleRelayed(NodeId('node-1'), EPOCH, [full]);
  assert.ok(relayed.type === 'heartbeatResponses');
  assert.equal(relayed.responses[0]?.outcome, 'accepted', 'relayed by another node');
});

void test('the commands that answer a batch fit a frame; the heartbeats beyond are left to another', async () => {
  const { workerHeartbeats, term, time } = leadingNode({ kind: 'absent' });
  const task = `run-${'9'.repeat(20)}/99999`;
  const commands = Array.from({ length: 300 }, (_, i): Command => {
    return { type: 'kill', task, attempt: 2 ** 40 + i, gracePeriodSeconds: 10 };
  });
  let handled = 0;
  Object.assign(term, {
    handleRelayedHeartbeat: () => {
      handled++;
      return { response: { fencingToken: EPOCH, commands }, baseline: 1 };
    },
  });
  const batch = Array.from({ length: 60 }, (_, i) => {
    return { kind: 'full' as const, heartbeat: heartbeatOf(`vm-${i}`) };
  });
  const pending = workerHeartbeats.handleRelayed(NodeId('node-1'), EPOCH, batch);
  await new Promise((resolve) => setImmediate(resolve));
  await time.run(1000);
  const response = await pending;
  assert.ok(response.type === 'heartbeatResponses');
  assert.equal(response.responses.length, batch.length);
  const accepted = response.responses.filter(({ outcome }) => outcome === 'accepted').length;
  assert.ok(accepted > 0 && accepted === handled, 'what is not answered is not handled');
  assert.ok(encodeResponse(1, response).length < MAX_FRAME_BYTES);
});
