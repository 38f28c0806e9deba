/** Which machines count as lost: by their silence, the cloud's list, their boot and what they receive. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findLostMachines, type LivenessView } from '../../src/capacity/lost-machines.js';
import { Machine } from '../../src/fleet/machine.js';
import { MachineId, ControllerId, SteadyMs, seconds } from '../../src/units/index.js';

const FOLLOWER = ControllerId('node-1');
const at = (second: number): SteadyMs => SteadyMs(second * 1000);

/** A machine whose last heartbeat came at that second; undefined: none has reached this leader. */
function machineSilentSince(
  second: number | undefined,
  change: Partial<Machine> = {},
  id = 'm',
): Machine {
  const kind = { machineType: 'small', zone: 'a', spot: true };
  const machine = new Machine(MachineId(id), kind, 20, at(1000));
  machine.isUp = second !== undefined;
  machine.lastStatusAt = second === undefined ? undefined : at(second);
  machine.listedRunningSince = at(0);
  return Object.assign(machine, change);
}

/** At second 100, with nothing known of other nodes. */
const VIEW: LivenessView = {
  now: at(100),
  respondingSince: at(0),
  heartbeatInterval: seconds(3),
  lease: seconds(24),
  bootTimeOf: () => seconds(10),
  unreachableAt: new Map(),
};

void test('which silent machines count as lost', () => {
  const relayed = { relayControllerId: FOLLOWER };
  type Case = [
    name: string,
    machine: Machine,
    followerUnreachableAt: number | undefined,
    isLost: boolean,
  ];
  const cases: Case[] = [
    ['a heartbeat lately', machineSilentSince(95), undefined, false],
    ['silent for three heartbeats', machineSilentSince(91), undefined, true],
    ['silent, its follower works', machineSilentSince(91, relayed), undefined, true],
    ['silent, its follower ended before', machineSilentSince(91, relayed), 90, true],
    ['silent since its follower ended', machineSilentSince(91, relayed), 92, false],
    ['silent for long since then', machineSilentSince(78, relayed), 92, true],
    [
      'silent and no longer listed',
      machineSilentSince(91, { ...relayed, missedListCount: 1 }),
      92,
      true,
    ],
    ['no heartbeat to this leader yet', machineSilentSince(undefined), undefined, true],
    [
      'its boot takes far too long',
      machineSilentSince(undefined, { bootingSince: at(50) }),
      99,
      true,
    ],
    [
      'it has received nothing for longer than its lease',
      machineSilentSince(99, { notReceivingSince: at(60) }),
      undefined,
      true,
    ],
  ];
  for (const [name, machine, followerUnreachableAt, isLost] of cases) {
    // Beside two that are alive, so that most of the zone is.
    const all = [machine, machineSilentSince(99, {}, 'x'), machineSilentSince(99, {}, 'y')];
    const unreachableAt = new Map(
      followerUnreachableAt === undefined ? [] : [[FOLLOWER, at(followerUnreachableAt)]],
    );
    const found = findLostMachines(all, { ...VIEW, unreachableAt });
    assert.deepEqual(found, isLost ? [machine] : [], name);
  }
});

void test('machines of a zone that are silent together may only be cut off', () => {
  const all = [
    machineSilentSince(91, {}, 'm'),
    machineSilentSince(91, {}, 'n'),
    machineSilentSince(99, {}, 'x'),
  ];
  assert.deepEqual(findLostMachines(all, VIEW), []);
  assert.equal(findLostMachines(all, { ...VIEW, now: at(113) }).length, 2, 'for longer than that');
});

void test('machines that are silent after a failover have two worker leases to reconnect', () => {
  // Hundreds that reconnect to a new leader, or after the end of their follower, take their time.
  const reconnecting = [
    machineSilentSince(undefined, {}, 'm'),
    machineSilentSince(91, { relayControllerId: FOLLOWER }, 'n'),
  ];
  const unreachableAt = new Map([[FOLLOWER, at(95)]]);
  const lostAt = (second: number): number =>
    findLostMachines(reconnecting, {
      ...VIEW,
      unreachableAt,
      respondingSince: at(91),
      now: at(second),
    }).length;
  assert.deepEqual([lostAt(113), lostAt(138), lostAt(140)], [0, 0, 2]);
});
