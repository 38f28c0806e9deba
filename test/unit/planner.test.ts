/**
 * Checks what the scale-out planner rents for waiting tasks, given the machines that exist. A plan that ignores free
 * or soon free capacity rents machines that are not needed; a plan that ignores refusals, boot times or zone rules
 * leaves tasks waiting.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planScaleOut, type PlanningInput } from '../../src/capacity/planner.js';
import {
  UNLIMITED_WAIT,
  NO_WAIT,
  offerKey,
  type AvailableCapacity,
  type Demand,
  type Offer,
  type BusyCapacity,
} from '../../src/capacity/types.js';
import { seconds } from '../../src/units/index.js';
import type { MachineType } from '../../src/wire/index.js';

const SMALL: MachineType = {
  name: 'small',
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  cacheGb: 20,
  fetchGbPerSecond: 0.5,
  onDemandPrice: 0.4,
  spotPrice: 0.15,
  bootSeconds: 10,
  zones: ['a', 'b'],
};
/** Cheaper per CPU if most of its CPUs are used, but slow to boot. */
const LARGE: MachineType = {
  ...SMALL,
  name: 'large',
  cpus: 32,
  memoryGb: 128,
  onDemandPrice: 1.4,
  spotPrice: 0.54,
  bootSeconds: 60,
};

const spotIn = (zone: string, machineType = 'small'): Offer => ({ machineType, zone, spot: true });
const onDemandIn = (zone: string, machineType = 'small'): Offer => ({
  machineType,
  zone,
  spot: false,
});

/** Tasks of two CPUs that should not wait, but do not justify an on-demand machine. */
const createDemand = (taskCount: number, change: Partial<Demand> = {}): Demand => ({
  resources: { cpus: 2, gpus: 0, memoryGb: 1 },
  taskCount,
  machineTypes: null,
  requiredZone: null,
  allowSpot: true,
  isGang: false,
  singleZone: false,
  spreadZones: false,
  expectedRuntime: seconds(10),
  acceptableWait: NO_WAIT,
  maxWait: UNLIMITED_WAIT,
  ...change,
});

const availableOn = (offer: Offer, cpus: number): AvailableCapacity => ({
  ...offer,
  free: { cpus, gpus: 0, memoryGb: 32 },
});

/** The turnover of eight busy CPUs whose tasks run for ten seconds. */
const BUSY_TURNOVER: BusyCapacity = {
  ...spotIn('a'),
  capacity: { cpus: 8, gpus: 0, memoryGb: 32 },
  busyCpus: 8,
  meanRuntime: seconds(10),
};

const plan = (demands: Demand[], change: Partial<PlanningInput> = {}): [string, number][] =>
  planScaleOut({
    demands,
    available: [],
    busyCapacity: [],
    machineTypes: [SMALL],
    refusedOffers: new Set(),
    maxMachines: 100,
    ...change,
  }).map((planned) => [offerKey(planned), planned.count]);

type Case = [
  name: string,
  demands: Demand[],
  change: Partial<PlanningInput>,
  planned: [Offer, number][],
];

function checkPlans(cases: readonly Case[]): void {
  for (const [name, demands, change, planned] of cases) {
    const expected = planned.map(([offer, count]) => [offerKey(offer), count]);
    assert.deepEqual(plan(demands, change), expected, name);
  }
}

void test('the planner rents as many machines as the waiting tasks need', () => {
  checkPlans([
    ['none without waiting tasks', [], {}, []],
    ['as many as hold all tasks', [createDemand(9)], {}, [[spotIn('a'), 3]]],
    ['jobs share machines', [createDemand(3), createDemand(1)], {}, [[spotIn('a'), 1]]],
    ['no more than the maximum', [createDemand(9)], { maxMachines: 2 }, [[spotIn('a'), 2]]],
    [
      'none if all tasks fit the free capacity',
      [createDemand(4)],
      { available: [availableOn(spotIn('a'), 8)] },
      [],
    ],
    [
      'only for tasks beyond the free capacity',
      [createDemand(5)],
      { available: [availableOn(spotIn('a'), 8)] },
      [[spotIn('a'), 1]],
    ],
    [
      'free capacity in another zone does not count',
      [createDemand(4, { requiredZone: 'b' })],
      { available: [availableOn(spotIn('a'), 8)] },
      [[spotIn('b'), 1]],
    ],
    [
      'none for tasks that fit no machine type',
      [createDemand(1, { machineTypes: ['large'] })],
      {},
      [],
    ],
  ]);
});

void test('no machine is rented for tasks that get the capacity of ending tasks in time', () => {
  // Ending tasks free 0.64 usable CPUs per second: enough for two tasks in 6.25 seconds.
  const waitingUpTo = (s: number): Demand => createDemand(2, { acceptableWait: seconds(s) });
  checkPlans([
    ['both tasks get capacity in time', [waitingUpTo(6.5)], { busyCapacity: [BUSY_TURNOVER] }, []],
    ['one task does not', [waitingUpTo(6)], { busyCapacity: [BUSY_TURNOVER] }, [[spotIn('a'), 1]]],
    [
      'jobs get the freed capacity one after the other',
      [waitingUpTo(6.5), waitingUpTo(13)],
      { busyCapacity: [BUSY_TURNOVER] },
      [],
    ],
    [
      'the second job would wait too long',
      [waitingUpTo(6.5), waitingUpTo(12)],
      { busyCapacity: [BUSY_TURNOVER] },
      [[spotIn('a'), 1]],
    ],
    ['no task runs', [waitingUpTo(6.5)], {}, [[spotIn('a'), 1]]],
  ]);
});

void test('the planner chooses the cheapest offer that suits the tasks', () => {
  const both = { machineTypes: [SMALL, LARGE] };
  const limitedWait = { maxWait: seconds(30) };
  const noSpotInA = new Set([offerKey(spotIn('a'))]);
  const noSpot = new Set([...noSpotInA, offerKey(spotIn('b'))]);
  const allRefused = new Set([...noSpot, offerKey(onDemandIn('a')), offerKey(onDemandIn('b'))]);
  checkPlans([
    ['a large machine for many tasks', [createDemand(16)], both, [[spotIn('a', 'large'), 1]]],
    ['a small machine for few tasks', [createDemand(4)], both, [[spotIn('a'), 1]]],
    [
      'a large machine that is nearly filled',
      [createDemand(14)],
      both,
      [[spotIn('a', 'large'), 1]],
    ],
    ['machines that boot in time', [createDemand(16, limitedWait)], both, [[spotIn('a'), 4]]],
    [
      'another zone if the first is refused',
      [createDemand(4)],
      { refusedOffers: noSpotInA },
      [[spotIn('b'), 1]],
    ],
    ['no on-demand machine while there is time', [createDemand(4)], { refusedOffers: noSpot }, []],
    [
      'an on-demand machine for tasks that would be late',
      [createDemand(4, limitedWait)],
      { refusedOffers: noSpot },
      [[onDemandIn('a'), 1]],
    ],
    [
      'an on-demand machine for tasks that may not run on spot',
      [createDemand(4, { allowSpot: false })],
      {},
      [[onDemandIn('a'), 1]],
    ],
    [
      'nothing if all offers are refused',
      [createDemand(4, limitedWait)],
      { refusedOffers: allRefused },
      [],
    ],
  ]);
});

void test('a gang with a zone rule is planned for as a whole, zone by zone', () => {
  const gang = (change: Partial<Demand>): Demand => createDemand(8, { isGang: true, ...change });
  checkPlans([
    ['all machines in one zone', [gang({ singleZone: true })], {}, [[spotIn('a'), 2]]],
    [
      'the zone where most of it fits already',
      [gang({ singleZone: true })],
      { available: [availableOn(spotIn('b'), 8)] },
      [[spotIn('b'), 1]],
    ],
    [
      'the zone where all of it fits, although nothing can be rented there',
      [createDemand(4, { isGang: true, singleZone: true })],
      {
        available: [availableOn(spotIn('b'), 8)],
        refusedOffers: new Set([offerKey(spotIn('b')), offerKey(onDemandIn('b'))]),
      },
      [],
    ],
    [
      'not a zone where nothing can be rented',
      [gang({ singleZone: true, maxWait: NO_WAIT })],
      { refusedOffers: new Set([offerKey(spotIn('a')), offerKey(onDemandIn('a'))]) },
      [[spotIn('b'), 2]],
    ],
    [
      'half in each of two zones',
      [gang({ spreadZones: true })],
      {},
      [
        [spotIn('a'), 1],
        [spotIn('b'), 1],
      ],
    ],
    [
      'the zone rule does not bind the plan for an array job',
      [createDemand(8, { singleZone: true })],
      { available: [availableOn(spotIn('a'), 8), availableOn(spotIn('b'), 8)] },
      [],
    ],
  ]);
});
