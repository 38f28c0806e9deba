import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { Election } from '../../src/leader/election.js';
import type { StoreClient } from '../../src/store/client.js';
import { NodeId, ms, type Epoch } from '../../src/units/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('a reign ends as soon as another node knows of a later one, and no earlier', async () => {
  const cases: [name: string, node: string, epoch: number, stays: boolean][] = [
    ['word of an earlier leader', 'node-1', 5, true],
    ['word of ourselves', 'node-0', 9, true],
    ['word of a later one', 'node-1', 9, false],
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
    const election = new Election(
      store as unknown as StoreClient,
      NodeId('node-0'),
      'run',
      { duration: ms(4000), renewInterval: ms(1200) },
      new ProcessClock(time, 0, 0),
      () => 0.5,
      pino({ level: 'silent' }),
      { onGained: () => undefined, onLost: (e) => lost.push(e) },
    );
    void election.run();
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(election.authority(), 7);
    await time.run(5000);
    assert.deepEqual([election.authority(), election.leader()], [undefined, 'node-0']);
    election.noteLeader(NodeId(node), epoch);
    assert.equal(election.leader(), stays ? 'node-0' : node, name);
    assert.deepEqual(lost, stays ? [] : [7], name);
    election.stop();
  }
});
