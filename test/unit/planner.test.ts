/** The scale-out planner: what it rents for waiting tasks, beside the machines that there are. */
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
/** Cheaper by the CPU if most of it is used, and slow to boot. */
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

/** Tasks of two CPUs that should not wait, and are not worth an on-demand machine. */
const demand = (taskCount: number, change: Partial<Demand> = {}): Demand => ({
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

const free = (offer: Offer, cpus: number): AvailableCapacity => ({
  ...offer,
  free: { cpus, gpus: 0, memoryGb: 32 },
});

/** Eight CPUs whose tasks run for ten seconds. */
const BUSY: BusyCapacity = {
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

function check(cases: readonly Case[]): void {
  for (const [name, demands, change, planned] of cases) {
    const expected = planned.map(([offer, count]) => [offerKey(offer), count]);
    assert.deepEqual(plan(demands, change), expected, name);
  }
}

void test('how many machines are rented', () => {
  check([
    ['none without tasks', [], {}, []],
    ['as many as hold all tasks', [demand(9)], {}, [[spotIn('a'), 3]]],
    ['jobs share machines', [demand(3), demand(1)], {}, [[spotIn('a'), 1]]],
    ['no more than allowed', [demand(9)], { maxMachines: 2 }, [[spotIn('a'), 2]]],
    ['none where all fit', [demand(4)], { available: [free(spotIn('a'), 8)] }, []],
    ['for the rest', [demand(5)], { available: [free(spotIn('a'), 8)] }, [[spotIn('a'), 1]]],
    [
      'not on machines that are not allowed',
      [demand(4, { requiredZone: 'b' })],
      { available: [free(spotIn('a'), 8)] },
      [[spotIn('b'), 1]],
    ],
    ['none for what fits no type', [demand(1, { machineTypes: ['large'] })], {}, []],
  ]);
});

void test('none is rented for tasks that the running ones make place for in time', () => {
  // 0.64 usable CPUs come free a second: those of two tasks in 6.25 seconds.
  const wait = (s: number): Demand => demand(2, { acceptableWait: seconds(s) });
  check([
    ['both are served', [wait(6.5)], { busyCapacity: [BUSY] }, []],
    ['one is not', [wait(6)], { busyCapacity: [BUSY] }, [[spotIn('a'), 1]]],
    ['jobs wait one after the other', [wait(6.5), wait(13)], { busyCapacity: [BUSY] }, []],
    [
      'the second one too long',
      [wait(6.5), wait(12)],
      { busyCapacity: [BUSY] },
      [[spotIn('a'), 1]],
    ],
    ['nothing runs', [wait(6.5)], {}, [[spotIn('a'), 1]]],
  ]);
});

void test('which offer is chosen', () => {
  const both = { machineTypes: [SMALL, LARGE] };
  const late = { maxWait: seconds(30) };
  const noSpotInA = new Set([offerKey(spotIn('a'))]);
  const noSpot = new Set([...noSpotInA, offerKey(spotIn('b'))]);
  const none = new Set([...noSpot, offerKey(onDemandIn('a')), offerKey(onDemandIn('b'))]);
  check([
    ['the cheapest for many tasks', [demand(16)], both, [[spotIn('a', 'large'), 1]]],
    ['a small one for few', [demand(4)], both, [[spotIn('a'), 1]]],
    ['a large one with little to spare', [demand(14)], both, [[spotIn('a', 'large'), 1]]],
    ['one that boots in time', [demand(16, late)], both, [[spotIn('a'), 4]]],
    ['another zone if refused', [demand(4)], { refusedOffers: noSpotInA }, [[spotIn('b'), 1]]],
    ['no on-demand machine while there is time', [demand(4)], { refusedOffers: noSpot }, []],
    [
      'an on-demand machine for what would be late',
      [demand(4, late)],
      { refusedOffers: noSpot },
      [[onDemandIn('a'), 1]],
    ],
    ['for what may not run on spot', [demand(4, { allowSpot: false })], {}, [[onDemandIn('a'), 1]]],
    ['nothing if all are refused', [demand(4, late)], { refusedOffers: none }, []],
  ]);
});

void test('a gang with a zone rule is planned for by zones', () => {
  const gang = (change: Partial<Demand>): Demand => demand(8, { isGang: true, ...change });
  check([
    ['all in one', [gang({ singleZone: true })], {}, [[spotIn('a'), 2]]],
    [
      'where most of it fits already',
      [gang({ singleZone: true })],
      { available: [free(spotIn('b'), 8)] },
      [[spotIn('b'), 1]],
    ],
    [
      'where all of it fits, though nothing can be rented there',
      [demand(4, { isGang: true, singleZone: true })],
      {
        available: [free(spotIn('b'), 8)],
        refusedOffers: new Set([offerKey(spotIn('b')), offerKey(onDemandIn('b'))]),
      },
      [],
    ],
    [
      'not where nothing can be rented',
      [gang({ singleZone: true, maxWait: NO_WAIT })],
      { refusedOffers: new Set([offerKey(spotIn('a')), offerKey(onDemandIn('a'))]) },
      [[spotIn('b'), 2]],
    ],
    [
      'half in each of two',
      [gang({ spreadZones: true })],
      {},
      [
        [spotIn('a'), 1],
        [spotIn('b'), 1],
      ],
    ],
    [
      'an array is not bound',
      [demand(8, { singleZone: true })],
      { available: [free(spotIn('a'), 8), free(spotIn('b'), 8)] },
      [],
    ],
  ]);
});
