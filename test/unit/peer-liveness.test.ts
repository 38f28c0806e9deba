/**
 * What a controller concludes from its heartbeats to its peers. Guards against a process that was suspended and takes
 * its old observations for current.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { PeerLiveness } from '../../src/peer/peer-liveness.js';
import type { Peer } from '../../src/peer/peer.js';
import type { PeerResponse, PeerStatus } from '../../src/peer/messages.js';
import { ControllerId, SteadyMs, type DurationMs } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const LEADER = ControllerId('node-1');

/** A controller that the store never answers, with one peer that responds as `respond` says. */
async function createLiveness(respond: () => PeerStatus | undefined) {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const sendRequest = (
    _request: unknown,
    _timeout: DurationMs,
  ): Promise<PeerResponse | undefined> => {
    const status = respond();
    return Promise.resolve(status && { type: 'peerStatus', status });
  };
  const peer: Peer = { isResponsive: true, sendRequest };
  const liveness = new PeerLiveness(new Map([[LEADER, peer]]), clock, pino({ level: 'silent' }), {
    ownStatus: () => ({ leader: LEADER, epoch: 1, storeReachable: false }),
    storeContact: () => ({ lastResponseAt: SteadyMs(0), lastContactAt: SteadyMs(0) }),
    onPeerStatus: () => undefined,
    leader: () => LEADER,
  });
  liveness.start();
  // Lets the first heartbeat end, so that the next one is scheduled.
  await new Promise((resolve) => setImmediate(resolve));
  return { time, clock, liveness };
}

void test('a process that was suspended counts as isolated only once it has observed silence itself', async () => {
  let status: PeerStatus | undefined = { leader: LEADER, epoch: 1, storeReachable: true };
  const { time, clock, liveness } = await createLiveness(() => status);
  await time.run(30_000);
  assert.equal(liveness.reachability(), 'connected', 'the leader responds');
  status = undefined;
  clock.setFrozen(true);
  await time.run(60_000);
  clock.setFrozen(false);
  assert.equal(liveness.reachability(), 'connected', 'just resumed');
  await time.run(64_000);
  assert.equal(liveness.reachability(), 'connected', 'silent for 4 s');
  await time.run(66_000);
  assert.equal(liveness.reachability(), 'isolated', 'silent for 6 s');
});

void test('a controller follows the newest status of its peer', async () => {
  const reaching: PeerStatus = { leader: LEADER, epoch: 1, storeReachable: true };
  let status: PeerStatus | undefined = reaching;
  const { time, liveness } = await createLiveness(() => status);
  await time.run(20_000);
  status = { ...reaching, storeReachable: false };
  await time.run(30_000);
  assert.equal(liveness.reachability(), 'storeOutage');
  status = undefined;
  await time.run(40_000);
  assert.equal(liveness.reachability(), 'isolated');
  status = reaching;
  await time.run(42_000);
  assert.equal(liveness.reachability(), 'connected');
});
