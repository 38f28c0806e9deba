/**
 * Checks which machines count as not receiving: their heartbeats arrive, but the responses and commands sent to them
 * do not. If such a machine goes undetected, its tasks stay assigned to it although its worker's lease runs out; if
 * a single lost response is enough, working machines are deleted.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { workerLeaseEnd } from '../../src/fleet/worker-lease.js';
import { toWorkerStatus } from '../../src/fleet/worker-status.js';
import { ResponseDeliveryCheck } from '../../src/leader/response-delivery-check.js';
import { Epoch, MachineId, SteadyMs, seconds } from '../../src/units/index.js';
import type { TaskStatus } from '../../src/wire/index.js';
import { emptyFleet, createPlacedTask } from '../support/fleet.js';

const epoch = Epoch(50);
const lease = seconds(24);
const machineId = MachineId('vm-1');

/** A heartbeat: its session, the token that the worker has seen, whether it lists the task, and its arrival time. */
type HeartbeatStep = readonly [
  session: number,
  fencingToken: number,
  listsTask: boolean,
  atSecond: number,
];

/** Whether the machine counts as not receiving after the heartbeats. */
function isNotReceiving(steps: readonly HeartbeatStep[], isStartSent: boolean): boolean {
  const fleet = emptyFleet(lease);
  const machine = fleet.upsertMachine(
    machineId,
    { machineType: 'small', zone: 'a', spot: true },
    '',
  );
  const { job, placement, key } = createPlacedTask(fleet, machineId, SteadyMs(0));
  if (isStartSent) placement.startSentInResponseTo = { session: 1, sequence: 0 };
  const check = new ResponseDeliveryCheck(epoch, new Map([[job.id, job]]), lease);
  const task: TaskStatus = { task: key, attempt: placement.attempt, state: 'fetching' };
  for (const [i, [session, fencingToken, listsTask, atSecond]] of steps.entries()) {
    const now = SteadyMs(atSecond * 1000);
    const status = toWorkerStatus({
      session,
      sequence: i,
      fencingToken,
      tasks: listsTask ? [task] : [],
    });
    const previous = machine.status;
    assert.ok(machine.recordStatus(status, now));
    if (previous) check.check(machine, status, previous, now);
    machine.extendLease(workerLeaseEnd(now, lease));
  }
  return machine.notReceivingSince !== undefined;
}

void test('a machine counts as not receiving when its heartbeats show that responses were lost', () => {
  const cases: [name: string, isStartSent: boolean, steps: HeartbeatStep[], expected: boolean][] = [
    [
      'no command was sent',
      false,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
        [1, 50, false, 6],
      ],
      false,
    ],
    [
      'one response without effect may have been lost',
      true,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
      ],
      false,
    ],
    [
      'two successive responses without effect',
      true,
      [
        [1, 50, false, 0],
        [1, 50, false, 3],
        [1, 50, false, 6],
      ],
      true,
    ],
    [
      'the start arrives after all',
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
      'the worker learns the epoch late',
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
      'a new session long before the lease should expire',
      false,
      [
        [1, 50, false, 0],
        [2, 50, false, 3],
      ],
      true,
    ],
    [
      'a new session when the lease is about to expire',
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
