/**
 * Checks when the term of a controller starts and ends. Guards against two controllers that both act as leader,
 * against a leader that gives up a term that it still holds, and against a lost response to the write of the leader
 * key.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Election } from '../../src/leader/election.js';
import type { StoreClient } from '../../src/store/client.js';
import { runInBackground } from '../../src/units/run-in-background.js';
import { ControllerId, ms, type Epoch } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('a term without authority ends as soon as a peer knows a later leader, and not before', async () => {
  const cases: [name: string, knownLeader: string, epoch: number, isKept: boolean][] = [
    ['the peer knows an earlier leader', 'node-1', 5, true],
    ['the peer knows this controller as leader', 'node-0', 9, true],
    ['the peer knows a later leader', 'node-1', 9, false],
  ];
  for (const [name, knownLeader, epoch, isKept] of cases) {
    const time = new VirtualTime();
    const endedTerms: Epoch[] = [];
    const store = {
      setRole: () => undefined,
      list: () => Promise.resolve({ items: [], revision: 6 }),
      createLease: () => Promise.resolve(1),
      transact: () => Promise.resolve({ kind: 'committed', revision: 7 }),
      // The store never responds to a renewal, so the authority of this controller lapses.
      renewLease: () => new Promise(() => undefined),
    };
    const log = pino({ level: 'silent' });
    const election = new Election({
      store: store as unknown as StoreClient,
      controllerId: ControllerId('node-0'),
      processId: 'run',
      timing: { duration: ms(4000), renewInterval: ms(1200) },
      clock: new ProcessClock(time, 0, 0),
      random: () => 0.5,
      log,
      events: {
        onTermStarted: () => undefined,
        onTermEnded: (endedEpoch) => endedTerms.push(endedEpoch),
      },
    });
    runInBackground(election.run(), log, 'election');
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(election.authority(), 7);
    await time.run(5000);
    assert.deepEqual([election.authority(), election.leader()], [undefined, 'node-0']);
    election.recordLeader(ControllerId(knownLeader), epoch);
    assert.equal(election.leader(), isKept ? 'node-0' : knownLeader, name);
    assert.deepEqual(endedTerms, isKept ? [] : [7], name);
    election.stop();
  }
});

void test('a controller acquires, keeps or leaves the leader key according to its state', async () => {
  const ownKey = { node: 'node-0', run: 'run' };
  interface Case {
    readonly name: string;
    /** The content of the leader key; undefined if the key is absent. */
    readonly keyContent?: unknown;
    /** Whether the lease to which the key is bound can be renewed; undefined counts as true. */
    readonly isLeaseValid?: boolean;
    /** The outcome of the transaction that writes the key. */
    readonly writeOutcome?: 'committed' | 'conflict' | 'unknown';
    readonly epoch?: number;
    readonly leader?: string;
    readonly writes: number;
    readonly revoked?: number;
  }
  const cases: Case[] = [
    { name: 'the key is absent', writeOutcome: 'committed', epoch: 7, leader: 'node-0', writes: 1 },
    {
      name: 'written by an earlier process of this controller',
      keyContent: { node: 'node-0', run: 'earlier' },
      writeOutcome: 'committed',
      epoch: 7,
      leader: 'node-0',
      writes: 1,
    },
    {
      name: 'written by this process',
      keyContent: ownKey,
      isLeaseValid: true,
      epoch: 5,
      leader: 'node-0',
      writes: 0,
    },
    {
      name: 'written by this process, but its lease has expired',
      keyContent: ownKey,
      isLeaseValid: false,
      writes: 0,
    },
    {
      name: 'held by another controller',
      keyContent: { node: 'node-1', run: 'x' },
      leader: 'node-1',
      writes: 0,
    },
    { name: 'unreadable', keyContent: 5, writes: 0 },
    { name: 'another controller writes it first', writeOutcome: 'conflict', writes: 2, revoked: 2 },
    {
      name: 'the outcome of the write is unknown: the lease must not be revoked',
      writeOutcome: 'unknown',
      writes: 1,
      revoked: 0,
    },
  ];
  for (const {
    name,
    keyContent,
    isLeaseValid,
    writeOutcome,
    epoch,
    leader,
    writes,
    revoked = 0,
  } of cases) {
    const time = new VirtualTime();
    const counts = { reads: 0, writes: 0, revoked: 0 };
    const pendingForever = new Promise(() => undefined);
    const store = {
      setRole: () => undefined,
      list: () => {
        counts.reads++;
        const data = { key: 'leader', data: keyContent, revision: 5 };
        // Two rounds suffice to show which steps are retried at once.
        if (counts.reads > 2) return pendingForever;
        return Promise.resolve({ items: keyContent === undefined ? [] : [data], revision: 6 });
      },
      get: () => Promise.resolve({ kind: 'found', data: keyContent, revision: 5, leaseId: 1 }),
      watch: () => pendingForever,
      createLease: () => Promise.resolve(1),
      renewLease: () => Promise.resolve(isLeaseValid === false ? 'gone' : 'renewed'),
      revokeLease: () => {
        counts.revoked++;
        return Promise.resolve();
      },
      transact: () => {
        counts.writes++;
        return Promise.resolve({ kind: writeOutcome, revision: 7 });
      },
    };
    const log = pino({ level: 'silent' });
    const election = new Election({
      store: store as unknown as StoreClient,
      controllerId: ControllerId('node-0'),
      processId: 'run',
      timing: { duration: ms(4000), renewInterval: ms(1200) },
      clock: new ProcessClock(time, 0, 0),
      random: () => 0.5,
      log,
      events: { onTermStarted: () => undefined, onTermEnded: () => undefined },
    });
    runInBackground(election.run(), log, 'election');
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(election.authority(), epoch, name);
    assert.equal(election.leader(), leader, name);
    assert.deepEqual([counts.writes, counts.revoked], [writes, revoked], name);
    election.stop();
  }
});
