/**
 * Checks which idle machines scale-in deletes, and when. A machine that is kept for too long costs money without
 * need; one that is deleted too early must be rented again after a boot, and urgent work waits for it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findIdleMachines } from '../../src/capacity/scale-in.js';
import { MachineCatalog } from '../../src/cloud/machine-catalog.js';
import type { Machine } from '../../src/fleet/machine.js';
import { JobId, MachineId, SteadyMs, seconds, taskKey } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { machineTypes } from '../standin/machine-types.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';

const NOW = SteadyMs(1_000_000);
const secondsAgo = (s: number): SteadyMs => SteadyMs(NOW - seconds(s));

interface IdleMachine {
  readonly spot?: boolean;
  readonly machineType?: string;
  /** In seconds, as is `rentedFor`. */
  readonly idleFor?: number;
  readonly rentedFor?: number;
  readonly change?: (machine: Machine) => void;
}

/** Returns the ids of the machines to delete. Machines are named m0, m1 and so on, and idle for long by default. */
function idsToDelete(
  machines: readonly IdleMachine[],
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
    machine.idleSince = secondsAgo(idle.idleFor ?? 100);
    machine.rentedAt = secondsAgo(idle.rentedFor ?? 500);
    idle.change?.(machine);
  });
  const found = findIdleMachines({
    fleet,
    catalog,
    // A boot takes 10 seconds.
    idleBootTimes: 1.5,
    anticipatedWork: anticipated.map(([of, count]) => ({ spec: of, taskCount: count })),
    now: NOW,
  });
  return found.map(({ id }) => id);
}

void test('a machine is deleted once keeping it idle costs more than a boot', () => {
  const job = JobId('run-000001');
  const assign = (machine: Machine): void =>
    machine.assign(taskKey(job, 0), {
      job,
      index: 0,
      attempt: 1,
      resources: { cpus: 1, gpus: 0, memoryGb: 1 },
      image: 'img',
      placedAt: secondsAgo(1),
    });
  const cases: [name: string, machine: IdleMachine, isDeleted: boolean][] = [
    ['a spot machine that is idle for long', {}, true],
    ['a spot machine that is idle for less than 1.5 boot times', { idleFor: 14 }, false],
    ['a spot machine that is idle for 1.5 boot times', { idleFor: 15 }, true],
    [
      'an on-demand machine that is idle for a quarter of that',
      { idleFor: 3.75, spot: false },
      true,
    ],
    [
      'an on-demand machine that is idle for less than a quarter of that',
      { idleFor: 3.5, spot: false },
      false,
    ],
    ['rented for less than the minimum charge', { rentedFor: 59 }, false],
    ['rented for the minimum charge', { rentedFor: 60 }, true],
    ['a machine that is not idle', { change: (machine) => (machine.idleSince = undefined) }, false],
    ['a machine with a task', { change: assign }, false],
  ];
  for (const [name, machine, isDeleted] of cases) {
    assert.deepEqual(idsToDelete([machine]), isDeleted ? ['m0'] : [], name);
  }
  const down: IdleMachine = { change: (machine) => (machine.isUp = false) };
  assert.deepEqual(idsToDelete([down, {}]), ['m1'], 'a machine that is down is not deleted');
  assert.deepEqual(
    idsToDelete([{}, { spot: false }, {}]),
    ['m1', 'm0', 'm2'],
    'on-demand machines come first',
  );
});

void test('machines of the smallest type are kept while anticipated work needs them', () => {
  const urgent = jobSpec({ cpus: 4 });
  const onDemandOnly = jobSpec({ cpus: 4, allowSpot: false });
  type Case = [
    name: string,
    machines: IdleMachine[],
    anticipated: [JobSpec, number][],
    deletedIds: string[],
  ];
  const cases: Case[] = [
    ['the work needs one of two machines', [{}, {}], [[urgent, 2]], ['m0']],
    ['the work needs a little more than one machine', [{}, {}], [[urgent, 3]], []],
    ['the work needs more than all machines', [{}], [[urgent, 9]], []],
    ['the on-demand machine is deleted first', [{}, { spot: false }], [[urgent, 2]], ['m1']],
    [
      'the on-demand machine is kept if the work may run only there',
      [{}, { spot: false }],
      [[onDemandOnly, 2]],
      ['m0'],
    ],
    [
      'a large machine is deleted nevertheless',
      [{ machineType: 'large' }, {}],
      [[urgent, 2]],
      ['m0'],
    ],
  ];
  for (const [name, machines, anticipated, deletedIds] of cases) {
    assert.deepEqual(idsToDelete(machines, anticipated), deletedIds, name);
  }
});
