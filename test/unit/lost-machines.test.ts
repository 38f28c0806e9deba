import assert from 'node:assert/strict';
import { test } from 'node:test';
import { lostMachines } from '../../src/capacity/lost-machines.js';
import { Machine } from '../../src/fleet/machine.js';
import { MachineId, NodeId, SteadyMs, seconds } from '../../src/units/index.js';

const FOLLOWER = NodeId('node-1');
const at = (s: number): SteadyMs => SteadyMs(s * 1000);

/** A machine that was last heard at that second; undefined: not yet by this leader. */
function machine(id: string, heardAt: number | undefined, change: Partial<Machine> = {}): Machine {
  const place = { machineType: 'small', zone: 'a', spot: true };
  const m = new Machine(MachineId(id), place, 20, at(1000));
  m.isUp = heardAt !== undefined;
  m.lastHeardAt = heardAt === undefined ? undefined : at(heardAt);
  m.listedRunningSince = at(0);
  return Object.assign(m, change);
}

void test('which silent machines count as lost', () => {
  const through = { relayNode: FOLLOWER };
  type Case = [name: string, one: Machine, unreachableAt: number | undefined, lost: boolean];
  const cases: Case[] = [
    ['heard lately', machine('m', 95), undefined, false],
    ['silent for three reports', machine('m', 91), undefined, true],
    ['silent, its follower is well', machine('m', 91, through), undefined, true],
    ['silent, its follower ended before', machine('m', 91, through), 90, true],
    ['silent since its follower ended', machine('m', 91, through), 92, false],
    ['silent for long since then', machine('m', 78, through), 92, true],
    ['silent and not listed any more', machine('m', 91, { ...through, missedLists: 1 }), 92, true],
    ['not heard by this leader yet', machine('m', undefined), undefined, true],
    ['its boot takes far too long', machine('m', undefined, { bootingSince: at(50) }), 99, true],
    [
      'deaf for longer than its lease',
      machine('m', 99, { notReceivingSince: at(60) }),
      undefined,
      true,
    ],
  ];
  for (const [name, one, unreachable, lost] of cases) {
    // Beside two that are heard, so that most of the zone is.
    const all = [one, machine('x', 99), machine('y', 99)];
    const found = lostMachines(all, {
      now: at(100),
      listeningSince: at(0),
      heartbeatInterval: seconds(3),
      lease: seconds(24),
      bootTime: () => seconds(10),
      unreachableAt: new Map(unreachable === undefined ? [] : [[FOLLOWER, at(unreachable)]]),
    });
    assert.deepEqual(found, lost ? [one] : [], name);
  }
});

void test('machines that are silent together may be behind a cut', () => {
  const all = [machine('m', 91), machine('n', 91), machine('x', 99)];
  const view = {
    now: at(100),
    listeningSince: at(0),
    heartbeatInterval: seconds(3),
    lease: seconds(24),
    bootTime: () => seconds(10),
    unreachableAt: new Map(),
  };
  assert.deepEqual(lostMachines(all, view), []);
  assert.equal(lostMachines(all, { ...view, now: at(113) }).length, 2, 'for longer than that');
  // Hundreds that come back to a new leader, or after the end of their follower, take their time.
  const back = [machine('m', undefined), machine('n', 91, { relayNode: FOLLOWER })];
  const unreachableAt = new Map([[FOLLOWER, at(95)]]);
  const slow = (s: number) =>
    lostMachines(back, { ...view, unreachableAt, listeningSince: at(91), now: at(s) }).length;
  assert.deepEqual([slow(113), slow(138), slow(140)], [0, 0, 2]);
});
