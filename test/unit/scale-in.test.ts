/** Scale-in: which idle machines are given back, and when. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findIdleMachines } from '../../src/capacity/scale-in.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import type { Machine } from '../../src/fleet/machine.js';
import { JobId, MachineId, SteadyMs, seconds, taskKey } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { machineTypes } from '../standin/machine-types.js';
import { emptyFleet } from '../support/fleet.js';
import { spec } from '../support/jobs.js';

const NOW = SteadyMs(1_000_000);
const ago = (s: number): SteadyMs => SteadyMs(NOW - seconds(s));

interface Idle {
  readonly spot?: boolean;
  readonly machineType?: string;
  /** Seconds. */
  readonly idleFor?: number;
  readonly rentedFor?: number;
  readonly change?: (machine: Machine) => void;
}

/** The ids of the machines given back, of machines named m0, m1, ... that are idle for long by default. */
function givenBack(
  machines: readonly Idle[],
  anticipated: readonly [JobSpec, number][] = [],
): string[] {
  const catalog = new MachineCatalog();
  catalog.update([
    ...machineTypes,
    ...machineTypes.map((type) => ({ ...type, name: 'large', cpus: 32 })),
  ]);
  const fleet = emptyFleet(seconds(24));
  machines.forEach((idle, index) => {
    const kind = { machineType: idle.machineType ?? 'small', zone: 'a', spot: idle.spot ?? true };
    const machine = fleet.upsertMachine(MachineId(`m${index}`), kind, '');
    machine.isUp = true;
    machine.idleSince = ago(idle.idleFor ?? 100);
    machine.rentedAt = ago(idle.rentedFor ?? 500);
    idle.change?.(machine);
  });
  const found = findIdleMachines({
    fleet,
    catalog,
    // Of a boot of 10 seconds.
    idleBootTimes: 1.5,
    anticipatedWork: anticipated.map(([of, count]) => ({ spec: of, taskCount: count })),
    now: NOW,
  });
  return found.map(({ id }) => id);
}

void test('a machine is given back once it has been idle for longer than a boot is worth', () => {
  const job = JobId('run-000001');
  const assign = (machine: Machine): void =>
    machine.assign(taskKey(job, 0), {
      job,
      index: 0,
      attempt: 1,
      resources: { cpus: 1, gpus: 0, memoryGb: 1 },
      image: 'img',
      placedAt: ago(1),
    });
  const cases: [name: string, machine: Idle, isGivenBack: boolean][] = [
    ['idle for long', {}, true],
    ['a spot machine for less than 1.5 boots', { idleFor: 14 }, false],
    ['a spot machine for 1.5 boots', { idleFor: 15 }, true],
    ['an on-demand machine for a quarter of that', { idleFor: 3.75, spot: false }, true],
    ['an on-demand machine for less', { idleFor: 3.5, spot: false }, false],
    ['within the time that is charged anyway', { rentedFor: 59 }, false],
    ['after it', { rentedFor: 60 }, true],
    ['not idle', { change: (machine) => (machine.idleSince = undefined) }, false],
    ['with a task', { change: assign }, false],
  ];
  for (const [name, machine, isGivenBack] of cases) {
    assert.deepEqual(givenBack([machine]), isGivenBack ? ['m0'] : [], name);
  }
  const down: Idle = { change: (machine) => (machine.isUp = false) };
  assert.deepEqual(givenBack([down, {}]), ['m1'], 'none that is down');
  assert.deepEqual(givenBack([{}, { spot: false }, {}]), ['m1', 'm0', 'm2'], 'on-demand first');
});

void test('machines of the smallest type are kept as far as anticipated work needs them', () => {
  const urgent = spec({ cpus: 4 });
  const onDemandOnly = spec({ cpus: 4, allowSpot: false });
  type Case = [name: string, machines: Idle[], anticipated: [JobSpec, number][], back: string[]];
  const cases: Case[] = [
    ['all of one machine', [{}, {}], [[urgent, 2]], ['m0']],
    ['a little more than one', [{}, {}], [[urgent, 3]], []],
    ['more than there is', [{}], [[urgent, 9]], []],
    ['the on-demand one goes first', [{}, { spot: false }], [[urgent, 2]], ['m1']],
    ['unless it alone will do', [{}, { spot: false }], [[onDemandOnly, 2]], ['m0']],
    ['a large machine goes all the same', [{ machineType: 'large' }, {}], [[urgent, 2]], ['m0']],
  ];
  for (const [name, machines, anticipated, back] of cases) {
    assert.deepEqual(givenBack(machines, anticipated), back, name);
  }
});
