/** Machines whose heartbeats arrive while nothing that is sent to them does. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { workerLeaseEnd } from '../../src/fleet/worker-lease.js';
import { toWorkerStatus } from '../../src/fleet/worker-status.js';
import { ResponseDeliveryCheck } from '../../src/leader/response-delivery-check.js';
import { Epoch, MachineId, SteadyMs, seconds } from '../../src/units/index.js';
import type { TaskStatus } from '../../src/wire/index.js';
import { emptyFleet, placedTask } from '../support/fleet.js';

const epoch = Epoch(50);
const lease = seconds(24);
const id = MachineId('vm-1');

/** A heartbeat: its session, the token that the worker has seen, whether it shows the task, when it arrives. */
type Step = readonly [session: number, fencingToken: number, showsTask: boolean, atSecond: number];

/** Whether the machine counts as not receiving after these heartbeats. */
function isNotReceiving(steps: readonly Step[], isStartSent: boolean): boolean {
  const fleet = emptyFleet(lease);
  const machine = fleet.upsertMachine(id, { machineType: 'small', zone: 'a', spot: true }, '');
  const { job, placement, key } = placedTask(fleet, id, SteadyMs(0));
  if (isStartSent) placement.startSentInResponseTo = { session: 1, sequence: 0 };
  const check = new ResponseDeliveryCheck(epoch, new Map([[job.id, job]]), lease);
  const task: TaskStatus = { task: key, attempt: placement.attempt, state: 'fetching' };
  for (const [i, [session, fencingToken, showsTask, atSecond]] of steps.entries()) {
    const now = SteadyMs(atSecond * 1000);
    const status = toWorkerStatus({
      session,
      sequence: i,
      fencingToken,
      tasks: showsTask ? [task] : [],
    });
    const previous = machine.status;
    assert.ok(machine.recordStatus(status, now));
    if (previous) check.check(machine, status, previous, now);
    machine.extendLease(workerLeaseEnd(now, lease));
  }
  return machine.notReceivingSince !== undefined;
}

void test('which machines count as not receiving', () => {
  const cases: [name: string, isStartSent: boolean, steps: Step[], expected: boolean][] = [
    [
      'nothing was sent',
      false,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
        [1, 50, false, 6],
      ],
      false,
    ],
    [
      'one reply without effect may have been lost',
      true,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
      ],
      false,
    ],
    [
      'two replies in a row without effect',
      true,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
        [1, 50, false, 6],
      ],
      true,
    ],
    [
      'the start has arrived after all',
      true,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
        [1, 50, false, 6],
        [1, 50, true, 9],
      ],
      false,
    ],
    [
      'the worker never learns the epoch',
      false,
      [
        [1, 49, false, 0],
        [1, 49, false, 3],
        [1, 49, false, 6],
      ],
      true,
    ],
    [
      'the worker has learnt the epoch at last',
      false,
      [
        [1, 49, false, 0],
        [1, 49, false, 3],
        [1, 49, false, 6],
        [1, 50, false, 9],
      ],
      false,
    ],
    [
      'a new session while its lease should have lasted',
      false,
      [
        [1, 50, false, 0],
        [2, 50, false, 3],
      ],
      true,
    ],
    [
      'a new session when its lease was about to expire',
      false,
      [
        [1, 50, false, 0],
        [2, 50, false, 20],
      ],
      false,
    ],
    [
      'a new session of a worker that had not seen the epoch',
      false,
      [
        [1, 49, false, 0],
        [2, 50, false, 3],
      ],
      false,
    ],
  ];
  for (const [name, isStartSent, steps, expected] of cases) {
    assert.equal(isNotReceiving(steps, isStartSent), expected, name);
  }
});
