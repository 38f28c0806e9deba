/**
 * Checks the connections between controllers: the messages, the client and the server. Guards against messages that are
 * decoded to something else, against an unreadable message that floods the log or blocks other peers, and against a
 * slow peer that counts as gone or a dead one that counts as responsive.
 */
import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { pino } from 'pino';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
} from '../../src/peer/codec.js';
import { PeerClient } from '../../src/peer/peer-client.js';
import type { PeerRequest, PeerResponse } from '../../src/peer/messages.js';
import { createPeerServer } from '../../src/peer/peer-server.js';
import { Endpoint, ControllerId, ms, seconds } from '../../src/units/index.js';
import { systemClock } from '../../src/units/system-clock.js';
import type { Heartbeat, Command } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const status = { leader: 'node-1', epoch: 2 ** 40, storeReachable: true };
const commands: Command[] = [
  { type: 'launch', task: 'run-000001/0', attempt: 2 },
  { type: 'kill', task: 'run-000001/1', attempt: 1, gracePeriodSeconds: 1.5 },
  { type: 'clear', task: 'run-000001/2', attempt: 1 },
];
const heartbeat: Heartbeat = {
  machine: 'vm-1',
  address: '10.1.0.1:9000',
  machineType: 'small',
  zone: 'a',
  spot: true,
  session: 1,
  sequence: 2 ** 33,
  fencingToken: 5,
  reclaimNoticeSeconds: 12.5,
  tasks: [
    {
      task: 'run-000001/0',
      attempt: 1,
      state: 'exited',
      exitReason: 'halted',
      checkpointSaved: true,
    },
    { task: 'run-000001/1', attempt: 1, state: 'running', exitReason: null, checkpointSaved: null },
  ],
};
const unchanged = {
  kind: 'unchanged' as const,
  machine: 'vm-2',
  session: 3,
  sequence: 9,
  fencingToken: 5,
  unchangedSince: 77,
};

const requests: PeerRequest[] = [
  { type: 'peerHeartbeat', status },
  { type: 'imageHints', machines: [{ machine: 'vm-1', images: [{ name: 'img-1', gb: 2.5 }] }] },
  { type: 'jobNotice', job: 'run-000001' },
  { type: 'submitJob', body: Buffer.from([1, 2, 3]) },
  { type: 'readJob', job: 'run-000001' },
  { type: 'cancelJob', job: 'run-000001' },
  {
    type: 'workerHeartbeats',
    node: ControllerId('node-2'),
    epoch: 5,
    heartbeats: [{ kind: 'full', heartbeat }, unchanged],
  },
  {
    type: 'workerHeartbeats',
    node: ControllerId('node-2'),
    epoch: 5,
    heartbeats: [unchanged],
    readsFencingTokens: true,
  },
  {
    type: 'sendCommands',
    address: '10.1.0.1:9000',
    fencingToken: 5,
    session: 1,
    timeoutMs: 2500,
    commands,
  },
];
const responses: PeerResponse[] = [
  { type: 'peerStatus', status },
  { type: 'acknowledged', ok: true },
  { type: 'userResponse', status: 429, retryAfter: 3, body: Buffer.alloc(0) },
  {
    type: 'heartbeatResponses',
    epoch: 5,
    responses: [{ outcome: 'accepted', baseline: 7, commands }],
  },
  {
    type: 'fencedHeartbeatResponses',
    epoch: 5,
    responses: [{ outcome: 'accepted', baseline: 7, commands, fencingToken: 9 }],
  },
  { type: 'commandResult', outcome: 'answered', reason: '', heartbeat },
  { type: 'commandResult', outcome: 'unknown', reason: 'no response in time', heartbeat: null },
];

/** Converts a value to plain objects, without the classes of decoded records. */
const toPlain = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

void test('messages between controllers are decoded as they were encoded, and other data is refused', () => {
  for (const request of requests) {
    const bytes = encodeRequest(7, request);
    const { id, message } = decodeRequest(bytes);
    assert.deepEqual(toPlain(message), toPlain(request));
    const response = decodeResponse(encodeResponse(id, { type: 'acknowledged', ok: true }));
    assert.equal(response.id, 7, 'the response has the id under which the request was sent');
    assert.throws(() => decodeResponse(bytes), request.type);
    assert.throws(() => decodeRequest(bytes.subarray(0, -1)), request.type);
  }
  for (const response of responses) {
    const bytes = encodeResponse(7, response);
    assert.deepEqual(toPlain(decodeResponse(bytes)), toPlain({ id: 7, message: response }));
    assert.throws(() => decodeRequest(bytes), response.type);
  }
  assert.throws(() => decodeRequest(Buffer.from('another version')));
});

const listen = (server: net.Server): Promise<Endpoint> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(Endpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
  });

void test('a peer that sends an unreadable message is disconnected, and repeats are not logged', async () => {
  const logged: string[] = [];
  const log = pino({ level: 'warn' }, { write: (line) => logged.push(line) });
  const server = createPeerServer(() => Promise.resolve({ type: 'acknowledged', ok: true }), log);
  const endpoint = await listen(server);
  const port = Number(endpoint.split(':')[1]);
  for (let i = 0; i < 2; i++) {
    const invalidPeer = net.connect(port, '127.0.0.1');
    invalidPeer.write(Buffer.from([0, 0, 0, 3, 9, 9, 9]));
    invalidPeer.on('error', () => undefined);
    await new Promise((resolve) => invalidPeer.on('close', resolve));
  }
  assert.equal(logged.length, 1);
  const client = new PeerClient(endpoint, systemClock, log);
  try {
    const response = await client.sendRequest({ type: 'readJob', job: 'run-000001' }, seconds(60));
    assert.deepEqual(toPlain(response), { type: 'acknowledged', ok: true });
  } finally {
    client.close();
    server.close();
  }
});

void test('a peer that responds late counts as responsive, and one that has not responded for long does not', async () => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const log = pino({ level: 'silent' });
  const pendingResponses: (() => void)[] = [];
  let onArrival = (): void => undefined;
  const firstArrival = new Promise<void>((resolve) => (onArrival = resolve));
  const server = createPeerServer(async () => {
    const responseDue = new Promise<void>((resolve) => pendingResponses.push(resolve));
    onArrival();
    await responseDue;
    return { type: 'acknowledged', ok: true };
  }, log);
  const client = new PeerClient(await listen(server), clock, log);
  try {
    const first = client.sendRequest({ type: 'readJob', job: 'run-000001' }, seconds(60));
    await firstArrival;
    assert.ok(client.isResponsive, 'a request has just been sent');
    const second = client.sendRequest({ type: 'peerHeartbeat', status }, ms(800));
    await time.run(time.now + 900);
    assert.equal(await second, undefined);
    assert.ok(client.isResponsive, 'a response is late');
    await time.run(time.now + 2000);
    assert.ok(!client.isResponsive, 'no response for long');
    for (const sendResponse of pendingResponses) sendResponse();
    assert.deepEqual(toPlain(await first), { type: 'acknowledged', ok: true });
    assert.ok(client.isResponsive, 'a response has arrived');
  } finally {
    client.close();
    server.close();
  }
});
