/** When the leadership of a node ends. */
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
      node: NodeId('node-0'),
      processId: 'run',
      timing: { duration: ms(4000), renewInterval: ms(1200) },
      clock: new ProcessClock(time, 0, 0),
      random: () => 0.5,
      log,
      events: { onGained: () => undefined, onLost: (lostEpoch) => lost.push(lostEpoch) },
    });
    detach(election.run(), log, 'election');
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
