/**
 * Checks which machines count as lost, by their silence, the cloud's list, their boot and what they receive. A lost
 * machine that goes undetected holds its tasks; a working machine that is given up, for instance while it reconnects
 * after a failover or during a network partition, loses its tasks and costs a new boot.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findLostMachines, type LivenessView } from '../../src/capacity/lost-machines.js';
import { Machine } from '../../src/fleet/machine.js';
import { MachineId, ControllerId, SteadyMs, seconds } from '../../src/units/index.js';

const FOLLOWER = ControllerId('node-1');
const atSecond = (second: number): SteadyMs => SteadyMs(second * 1000);

/** Creates a machine whose last heartbeat came at `second`; undefined if this leader has received none. */
function machineSilentSince(
  second: number | undefined,
  change: Partial<Machine> = {},
  id = 'm',
): Machine {
  const kind = { machineType: 'small', zone: 'a', spot: true };
  const machine = new Machine(MachineId(id), kind, 20, atSecond(1000));
  machine.isUp = second !== undefined;
  machine.lastStatusAt = second === undefined ? undefined : atSecond(second);
  machine.listedRunningSince = atSecond(0);
  return Object.assign(machine, change);
}

/** The view at second 100, while every peer responds. */
const DEFAULT_VIEW: LivenessView = {
  now: atSecond(100),
  respondingSince: atSecond(0),
  heartbeatInterval: seconds(3),
  lease: seconds(24),
  bootTimeOf: () => seconds(10),
  unreachableAt: new Map(),
};

void test('a silent machine counts as lost unless it may be reconnecting through another controller', () => {
  const relayed = { relayControllerId: FOLLOWER };
  type Case = [
    name: string,
    machine: Machine,
    followerUnreachableAt: number | undefined,
    isLost: boolean,
  ];
  const cases: Case[] = [
    ['a recent heartbeat', machineSilentSince(95), undefined, false],
    ['silent for three heartbeat intervals', machineSilentSince(91), undefined, true],
    ['silent, while its follower responds', machineSilentSince(91, relayed), undefined, true],
    [
      'silent, and its follower was unreachable before the last heartbeat',
      machineSilentSince(91, relayed),
      90,
      true,
    ],
    [
      'silent, and its follower became unreachable after the last heartbeat',
      machineSilentSince(91, relayed),
      92,
      false,
    ],
    [
      'the same, but silent for more than seven heartbeat intervals',
      machineSilentSince(78, relayed),
      92,
      true,
    ],
    [
      'silent and no longer listed by the cloud',
      machineSilentSince(91, { ...relayed, missedListCount: 1 }),
      92,
      true,
    ],
    ['no heartbeat has reached this leader', machineSilentSince(undefined), undefined, true],
    [
      'its boot takes too long',
      machineSilentSince(undefined, { bootingSince: atSecond(50) }),
      99,
      true,
    ],
    [
      'it has received nothing for longer than its lease',
      machineSilentSince(99, { notReceivingSince: atSecond(60) }),
      undefined,
      true,
    ],
  ];
  for (const [name, machine, followerUnreachableAt, isLost] of cases) {
    // Two other machines are alive, so that most machines of the zone are.
    const all = [machine, machineSilentSince(99, {}, 'x'), machineSilentSince(99, {}, 'y')];
    const unreachableAt = new Map(
      followerUnreachableAt === undefined ? [] : [[FOLLOWER, atSecond(followerUnreachableAt)]],
    );
    const found = findLostMachines(all, { ...DEFAULT_VIEW, unreachableAt });
    assert.deepEqual(found, isLost ? [machine] : [], name);
  }
});

void test('silent machines that are most of their zone are not lost for a while, since the zone may be partitioned', () => {
  const all = [
    machineSilentSince(91, {}, 'm'),
    machineSilentSince(91, {}, 'n'),
    machineSilentSince(99, {}, 'x'),
  ];
  assert.deepEqual(findLostMachines(all, DEFAULT_VIEW), []);
  assert.equal(
    findLostMachines(all, { ...DEFAULT_VIEW, now: atSecond(113) }).length,
    2,
    'they are lost after seven heartbeat intervals',
  );
});

void test('after a failover, machines have two worker leases to reconnect', () => {
  // Hundreds of machines that reconnect after the end of the leader or of their follower take a while.
  const reconnecting = [
    machineSilentSince(undefined, {}, 'm'),
    machineSilentSince(91, { relayControllerId: FOLLOWER }, 'n'),
  ];
  const unreachableAt = new Map([[FOLLOWER, atSecond(95)]]);
  const lostAt = (second: number): number =>
    findLostMachines(reconnecting, {
      ...DEFAULT_VIEW,
      unreachableAt,
      respondingSince: atSecond(91),
      now: atSecond(second),
    }).length;
  assert.deepEqual([lostAt(113), lostAt(138), lostAt(140)], [0, 0, 2]);
});
