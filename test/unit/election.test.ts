/** When the leadership of a node begins and ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Election } from '../../src/leader/election.js';
import type { StoreClient } from '../../src/store/client.js';
import { detach } from '../../src/units/detach.js';
import { NodeId, ms, type Epoch } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('leadership that lapsed ends as soon as another node knows a later leader, and no earlier', async () => {
  const cases: [name: string, node: string, epoch: number, stays: boolean][] = [
    ['an earlier leader', 'node-1', 5, true],
    ['this node itself', 'node-0', 9, true],
    ['a later leader', 'node-1', 9, false],
  ];
  for (const [name, node, epoch, stays] of cases) {
    const time = new VirtualTime();
    const lost: Epoch[] = [];
    const store = {
      setRole: () => undefined,
      list: () => Promise.resolve({ items: [], revision: 6 }),
      createLease: () => Promise.resolve(1),
      transact: () => Promise.resolve({ kind: 'committed', revision: 7 }),
      // From here on the store is out for this node alone.
      renewLease: () => new Promise(() => undefined),
    };
    const log = pino({ level: 'silent' });
    const election = new Election({
      store: store as unknown as StoreClient,
      controllerId: NodeId('node-0'),
      processId: 'run',
      timing: { duration: ms(4000), renewInterval: ms(1200) },
      clock: new ProcessClock(time, 0, 0),
      random: () => 0.5,
      log,
      events: { onTermStarted: () => undefined, onTermEnded: (lostEpoch) => lost.push(lostEpoch) },
    });
    detach(election.run(), log, 'election');
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(election.authority(), 7);
    await time.run(5000);
    assert.deepEqual([election.authority(), election.leader()], [undefined, 'node-0']);
    election.recordLeader(NodeId(node), epoch);
    assert.equal(election.leader(), stays ? 'node-0' : node, name);
    assert.deepEqual(lost, stays ? [] : [7], name);
    election.stop();
  }
});

void test('what a node does about each state of the leader key', async () => {
  const ours = { node: 'node-0', run: 'run' };
  interface Case {
    readonly name: string;
    /** What the leader key holds; none: it is absent. */
    readonly holder?: unknown;
    /** Whether the lease that the key hangs on still stands. */
    readonly leaseStands?: boolean;
    /** What the store says to the transaction that writes the key. */
    readonly write?: 'committed' | 'conflict' | 'unknown';
    readonly epoch?: number;
    readonly leader?: string;
    readonly writes: number;
    readonly revoked?: number;
  }
  const cases: Case[] = [
    { name: 'absent', write: 'committed', epoch: 7, leader: 'node-0', writes: 1 },
    {
      name: 'of a process of this node that has ended',
      holder: { node: 'node-0', run: 'earlier' },
      write: 'committed',
      epoch: 7,
      leader: 'node-0',
      writes: 1,
    },
    { name: 'ours', holder: ours, leaseStands: true, epoch: 5, leader: 'node-0', writes: 0 },
    { name: 'ours, but its lease ran out', holder: ours, leaseStands: false, writes: 0 },
    { name: 'of another node', holder: { node: 'node-1', run: 'x' }, leader: 'node-1', writes: 0 },
    { name: 'not to be read', holder: 5, writes: 0 },
    { name: 'written by another meanwhile', write: 'conflict', writes: 2, revoked: 2 },
    { name: 'written, or not: the lease must stand', write: 'unknown', writes: 1, revoked: 0 },
  ];
  for (const { name, holder, leaseStands, write, epoch, leader, writes, revoked = 0 } of cases) {
    const time = new VirtualTime();
    const counts = { reads: 0, writes: 0, revoked: 0 };
    const never = new Promise(() => undefined);
    const store = {
      setRole: () => undefined,
      list: () => {
        counts.reads++;
        const data = { key: 'leader', data: holder, revision: 5 };
        // Two rounds are enough to see what is repeated at once.
        if (counts.reads > 2) return never;
        return Promise.resolve({ items: holder === undefined ? [] : [data], revision: 6 });
      },
      get: () => Promise.resolve({ kind: 'found', data: holder, revision: 5, leaseId: 1 }),
      watch: () => never,
      createLease: () => Promise.resolve(1),
      renewLease: () => Promise.resolve(leaseStands === false ? 'gone' : 'renewed'),
      revokeLease: () => {
        counts.revoked++;
        return Promise.resolve();
      },
      transact: () => {
        counts.writes++;
        return Promise.resolve({ kind: write, revision: 7 });
      },
    };
    const log = pino({ level: 'silent' });
    const election = new Election({
      store: store as unknown as StoreClient,
      controllerId: NodeId('node-0'),
      processId: 'run',
      timing: { duration: ms(4000), renewInterval: ms(1200) },
      clock: new ProcessClock(time, 0, 0),
      random: () => 0.5,
      log,
      events: { onTermStarted: () => undefined, onTermEnded: () => undefined },
    });
    detach(election.run(), log, 'election');
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(election.authority(), epoch, name);
    assert.equal(election.leader(), leader, name);
    assert.deepEqual([counts.writes, counts.revoked], [writes, revoked], name);
    election.stop();
  }
});
