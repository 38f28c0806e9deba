/**
 * Checks the fencing tokens in responses to heartbeats that a follower relays. A worker drops a response with a lower token
 * than it has seen and loses its lease, so the leader's token for each machine must reach its worker, also through a
 * follower of the version before, which reads one token for a whole batch.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { PeerResponse, WorkerHeartbeatsRequest } from '../../src/peer/messages.js';
import type { Peer } from '../../src/peer/peer.js';
import { HeartbeatRelay } from '../../src/relay/heartbeat-relay.js';
import { ControllerId } from '../../src/units/index.js';
import type { Heartbeat } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { heartbeatOf } from '../support/heartbeat.js';
import { EPOCH, createLeaderRequestHandlers } from '../support/leader-request-handlers.js';

const log = pino({ level: 'silent' });
void test('each relayed heartbeat gets a response with the token of its machine, which a leader of the version before has in common for all', async () => {
  const response = { outcome: 'accepted' as const, baseline: 1, commands: [] };
  const cases: [name: string, response: PeerResponse, tokens: number[]][] = [
    [
      'a token for each response',
      {
        type: 'fencedHeartbeatResponses',
        epoch: 5,
        responses: [
          { ...response, fencingToken: 5 },
          { ...response, fencingToken: 9 },
        ],
      },
      [5, 9],
    ],
    [
      'one token for all responses',
      { type: 'heartbeatResponses', epoch: 5, responses: [response, response] },
      [5, 5],
    ],
  ];
  for (const [name, leaderResponse, tokens] of cases) {
    const time = new VirtualTime();
    const peer: Peer = { isResponsive: true, sendRequest: () => Promise.resolve(leaderResponse) };
    let isLeaderKnown = false;
    const relay = new HeartbeatRelay({
      controllerId: ControllerId('node-1'),
      clock: new ProcessClock(time, 0, 0),
      log,
      leaderPeer: () => (isLeaderKnown ? peer : undefined),
    });
    const received = ['vm-1', 'vm-2'].map((id) => relay.send(heartbeatOf(id), 200));
    await time.run(50);
    isLeaderKnown = true;
    await time.run(1000);
    const responses = await Promise.all(received);
    assert.deepEqual(
      responses.map((each) => each?.fencingToken),
      tokens,
      name,
    );
  }
});

/** A leader whose response to `vm-2` has a raised token, and the tokens that it recorded as sent. */
function createLeaderWithRaisedToken() {
  const handlers = createLeaderRequestHandlers({ kind: 'absent' });
  const sent: [machine: string, token: number][] = [];
  const tokenOf = (machine: string): number => (machine === 'vm-2' ? EPOCH + 2 : EPOCH);
  Object.assign(handlers.term, {
    highestFencingToken: EPOCH + 3,
    handleRelayedHeartbeat: ({ machine }: Heartbeat) => ({
      response: { fencingToken: tokenOf(machine), commands: [] },
      baseline: 1,
    }),
    handleUnchangedHeartbeat: ({ machine }: { machine: string }) => ({
      fencingToken: tokenOf(machine),
      commands: [],
    }),
    recordFencingTokenSent: (machine: string, token: number) => sent.push([machine, token]),
  });
  return { ...handlers, sent };
}

const batchOf = (change: Partial<WorkerHeartbeatsRequest>): WorkerHeartbeatsRequest => ({
  type: 'workerHeartbeats',
  node: ControllerId('node-1'),
  epoch: EPOCH,
  heartbeats: ['vm-1', 'vm-2'].map((id) => ({ kind: 'full', heartbeat: heartbeatOf(id) })),
  ...change,
});

void test('a follower of the version before gets the highest token of a batch for all its machines', async () => {
  const { workerHeartbeatHandler, sent } = createLeaderWithRaisedToken();
  const response = await workerHeartbeatHandler.handleRelayed(batchOf({}));
  assert.ok(response.type === 'heartbeatResponses');
  assert.equal(response.epoch, EPOCH + 2);
  assert.deepEqual(sent, [
    ['vm-1', EPOCH + 2],
    ['vm-2', EPOCH + 2],
  ]);
});

void test('a follower of this version gets the token of each machine', async () => {
  const { workerHeartbeatHandler, sent } = createLeaderWithRaisedToken();
  const response = await workerHeartbeatHandler.handleRelayed(
    batchOf({ readsFencingTokens: true }),
  );
  assert.ok(response.type === 'fencedHeartbeatResponses');
  assert.equal(response.epoch, EPOCH);
  assert.deepEqual(
    response.responses.map(({ fencingToken }) => fencingToken),
    [EPOCH, EPOCH + 2],
  );
  assert.deepEqual(sent, []);
});

void test('heartbeats with tokens that this term has sent are handled, and those of a later leader refused', async () => {
  const cases: [name: string, epoch: number, token: number, outcome: string][] = [
    ['the epoch', EPOCH, EPOCH, 'accepted'],
    ['a raised token', EPOCH, EPOCH + 3, 'accepted'],
    ['a token of a later leader', EPOCH, EPOCH + 4, 'refused'],
    ['a baseline under a raised token', EPOCH + 3, EPOCH, 'accepted'],
    ['a baseline of an earlier leader', EPOCH - 1, EPOCH, 'baselineUnknown'],
    ['a baseline of a later leader', EPOCH + 4, EPOCH, 'baselineUnknown'],
  ];
  for (const [name, epoch, token, outcome] of cases) {
    const { workerHeartbeatHandler } = createLeaderWithRaisedToken();
    const unchanged = {
      kind: 'unchanged' as const,
      machine: 'vm-1',
      session: 1,
      sequence: 2,
      fencingToken: token,
      unchangedSince: 1,
    };
    const response = await workerHeartbeatHandler.handleRelayed(
      batchOf({ epoch, heartbeats: [unchanged] }),
    );
    assert.ok(response.type === 'heartbeatResponses');
    assert.equal(response.responses[0]?.outcome, outcome, name);
  }
});
