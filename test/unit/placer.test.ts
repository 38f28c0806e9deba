/** Where the placer puts tasks: cases of each rule, and limits that hold for all inputs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '../../src/fleet/resources.js';
import {
  isMachineAllowed,
  placeTasks,
  type Assignment,
  type CandidateMachine,
  type ImageReserve,
  type RemainingQuota,
  type TaskRequest,
} from '../../src/placer/placer.js';
import { JobId, MachineId } from '../../src/units/index.js';

const seed = 20260314;

const machine = (
  id: string,
  change: Partial<CandidateMachine> & { images?: string[] } = {},
): CandidateMachine => {
  const capacity: Resources = change.capacity ?? { cpus: 8, gpus: 0, memoryGb: 32 };
  return {
    id: MachineId(id),
    machineType: 'small',
    zone: 'a',
    spot: true,
    capacity,
    free: capacity,
    pricePerCpu: 0.02,
    fetchGbPerSecond: 0.5,
    hasImage: (image) => (change.images ?? []).includes(image),
    imagesBeingFetched: new Set(),
    ...change,
  };
};

const request = (id: string, count: number, change: Partial<TaskRequest> = {}): TaskRequest => ({
  id: JobId(id),
  team: 't',
  resources: { cpus: 2, gpus: 0, memoryGb: 1 },
  image: 'img',
  imageSizeGb: 2,
  machineTypes: null,
  requiredZone: null,
  allowSpot: true,
  singleZone: false,
  boundZone: undefined,
  maxPerZone: Infinity,
  placedByZone: new Map(),
  waitingIndexes: Array.from({ length: count }, (_, i) => i),
  avoidedMachines: new Set(),
  isUrgent: false,
  canUseReserve: false,
  rank: 2,
  mustStart: false,
  isGang: false,
  taskCount: count,
  ...change,
});

void test('capacity kept for large tasks and urgent work: who may use it, and how much', () => {
  const big: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const half: Resources = { cpus: 16, gpus: 0, memoryGb: 64 };
  const large = request('l', 1, { resources: { cpus: 24, gpus: 0, memoryGb: 1 }, rank: 1 });
  const halfFull = [machine('m1', { capacity: big, free: half })];
  const reserved = new Map([['img', 64]]);
  const quota = new Map([['t', { cpus: 20, gpus: 0 }]]);
  const none = new Map<string, never>();
  const cases: [
    string,
    TaskRequest[],
    ReadonlyMap<string, RemainingQuota>,
    ImageReserve,
    number,
  ][] = [
    ['a large task reserves its machine', [large, request('j', 4)], none, none, 0],
    [
      'a job that waited too long begins there all the same',
      [large, request('j', 4, { mustStart: true })],
      none,
      none,
      1,
    ],
    [
      'but not if the large task is starved itself',
      [{ ...large, rank: -1 }, request('j', 4, { mustStart: true })],
      none,
      none,
      0,
    ],
    [
      'a task beyond the quota of its team reserves nothing',
      [large, request('j', 4)],
      quota,
      none,
      4,
    ],
    ['the reserve for urgent work stays free', [request('j', 4)], none, reserved, 0],
    [
      'a job that waited too long begins in the reserve',
      [request('j', 4, { mustStart: true })],
      none,
      reserved,
      1,
    ],
  ];
  for (const [name, requests, teams, reserve, placed] of cases) {
    const machines = reserve.size > 0 ? [machine('m1', { images: ['img'] })] : halfFull;
    // `place` changes the quotas that it is given.
    const quotas = new Map([...teams].map(([team, quota]) => [team, { ...quota }]));
    const input = { requests, machines, quotas, maxAssignments: 100, reserve };
    assert.equal(placeTasks(input).length, placed, name);
  }
});

void test('a task goes to the best of the machines it may use', () => {
  const big: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const cases: [string, TaskRequest, CandidateMachine[], string | undefined][] = [
    [
      'the holder of its image',
      request('j', 1),
      [machine('m1'), machine('m2', { images: ['img'] })],
      'm2',
    ],
    [
      'else the freest',
      request('j', 1),
      [machine('m1', { free: { cpus: 4, gpus: 0, memoryGb: 32 } }), machine('m2')],
      'm2',
    ],
    [
      'the smaller type',
      request('j', 1),
      [machine('m1', { capacity: big, free: big }), machine('m2')],
      'm2',
    ],
    [
      'only an allowed type',
      request('j', 1, { machineTypes: ['fat'] }),
      [machine('m1'), machine('m2', { machineType: 'fat' })],
      'm2',
    ],
    [
      'only the allowed zone',
      request('j', 1, { requiredZone: 'b' }),
      [machine('m1'), machine('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'no spot machine',
      request('j', 1, { allowSpot: false }),
      [machine('m1'), machine('m2', { spot: false })],
      'm2',
    ],
    [
      'not where it failed',
      request('j', 1, { avoidedMachines: new Set([MachineId('m1')]) }),
      [machine('m1'), machine('m2')],
      'm2',
    ],
    [
      'its zone',
      request('j', 1, { singleZone: true, boundZone: 'b' }),
      [machine('m1'), machine('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'not too many in a zone',
      request('j', 1, { maxPerZone: 1, placedByZone: new Map([['a', 1]]) }),
      [machine('m1')],
      undefined,
    ],
    [
      'nowhere without capacity',
      request('j', 1, { resources: { cpus: 16, gpus: 0, memoryGb: 1 } }),
      [machine('m1')],
      undefined,
    ],
  ];
  for (const [name, taskRequest, machines, expected] of cases) {
    const placed = placeTasks({
      requests: [taskRequest],
      machines,
      quotas: new Map(),
      maxAssignments: 10,
    });
    assert.equal(placed[0]?.machine, expected, name);
  }
});

void test('a gang is placed whole or not at all, and leaves the capacity to others', () => {
  const gang = request('g', 5, { isGang: true });
  const other = request('o', 4);
  const quotas = new Map<string, RemainingQuota>();
  const placed = placeTasks({
    requests: [gang, other],
    machines: [machine('m1')],
    quotas,
    maxAssignments: 10,
  });
  assert.deepEqual(
    placed.map((assignment) => assignment.job),
    ['o', 'o', 'o', 'o'],
  );
  const machines = [machine('m1'), machine('m2')];
  assert.equal(placeTasks({ requests: [gang], machines, quotas, maxAssignments: 10 }).length, 5);
});

void test('a gang that must be in one zone goes where all of it fits, and starts soonest', () => {
  const small: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const gang = request('g', 4, { isGang: true, singleZone: true });
  const cases: [
    name: string,
    machines: CandidateMachine[],
    quota: number | undefined,
    zone: string | undefined,
  ][] = [
    [
      'the best machine is alone in its zone',
      [machine('m1', { images: ['img'], free: small }), machine('m2', { zone: 'b' })],
      undefined,
      'b',
    ],
    [
      'one zone has to fetch the image for a part',
      [
        machine('m1', { images: ['img'], free: small }),
        machine('m2', { free: small }),
        machine('m3', { zone: 'b', images: ['img'], pricePerCpu: 9 }),
      ],
      undefined,
      'b',
    ],
    [
      'capacity for half of it in each zone',
      [machine('m1', { free: small }), machine('m2', { zone: 'b', free: small })],
      undefined,
      undefined,
    ],
    ['its team may start half of it', [machine('m1')], 4, undefined],
    ['its team may start all of it', [machine('m1')], 8, 'a'],
  ];
  for (const [name, machines, quota, zone] of cases) {
    const quotas = new Map(quota === undefined ? [] : [['t', { cpus: quota, gpus: Infinity }]]);
    const placed = placeTasks({ requests: [gang], machines, quotas, maxAssignments: 100 });
    const zones = new Set(placed.map((a) => machines.find(({ id }) => id === a.machine)?.zone));
    assert.deepEqual([...zones], zone === undefined ? [] : [zone], name);
    assert.equal(placed.length, zone === undefined ? 0 : 4, name);
    if (quota !== undefined && zone === undefined) assert.equal(quotas.get('t')?.cpus, quota, name);
  }
});

void test('machines are reserved for a gang that does not fit, in one zone, if they could ever hold it', () => {
  const free: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const machines = [
    machine('m1', { free }),
    machine('m2', { zone: 'b', free }),
    machine('m3', { zone: 'b', free: { ...free, cpus: 2 } }),
    machine('m4', { zone: 'b', free: { ...free, cpus: 0 } }),
  ];
  const cases: [name: string, count: number, unreserved: string[]][] = [
    ['it could have all of one machine', 4, ['m1', 'm1', 'm3']],
    ['it could have two of the other zone', 8, ['m1', 'm1']],
    ['no zone is large enough', 13, ['m1', 'm1', 'm2', 'm2', 'm3']],
  ];
  for (const [name, count, unreserved] of cases) {
    const gang = request('g', count, { isGang: true, singleZone: true });
    const requests = [gang, request('o', 9)];
    const placed = placeTasks({ requests, machines, quotas: new Map(), maxAssignments: 100 });
    assert.deepEqual(placed.map((assignment) => assignment.machine).sort(), unreserved, name);
  }
});

/** A cluster and jobs, drawn at random. */
const drawnMachines = fc.array(
  fc.record({
    machineType: fc.constantFrom('small', 'fat'),
    zone: fc.constantFrom('a', 'b', 'c'),
    spot: fc.boolean(),
    free: fc.record({ cpus: fc.nat(16), gpus: fc.nat(2), memoryGb: fc.nat(40) }),
    images: fc.subarray(['x', 'y']),
  }),
  { maxLength: 6 },
);
const drawnRequests = fc.array(
  fc.record({
    count: fc.integer({ min: 1, max: 12 }),
    resources: fc.record({
      cpus: fc.integer({ min: 1, max: 9 }),
      gpus: fc.nat(1),
      memoryGb: fc.nat(20),
    }),
    team: fc.constantFrom('t', 'u'),
    image: fc.constantFrom('x', 'y', 'z'),
    machineTypes: fc.option(fc.subarray(['small', 'fat']), { nil: null }),
    requiredZone: fc.option(fc.constantFrom('a', 'b'), { nil: null }),
    allowSpot: fc.boolean(),
    singleZone: fc.boolean(),
    spreadZones: fc.boolean(),
    isGang: fc.boolean(),
  }),
  { maxLength: 5 },
);

/** Places under the same limit on the processors and GPUs of team `t`. */
const placeWithin = (
  limit: number,
  requests: readonly TaskRequest[],
  machines: readonly CandidateMachine[],
): Assignment[] => {
  const quotas = new Map([['t', { cpus: limit, gpus: limit }]]);
  return placeTasks({ requests, machines, quotas, maxAssignments: 50 });
};

/** What tasks take together. */
const sumOf = (tasks: readonly TaskRequest[]): Resources =>
  tasks.reduce(
    (sum, { resources }) => ({
      cpus: sum.cpus + resources.cpus,
      gpus: sum.gpus + resources.gpus,
      memoryGb: sum.memoryGb + resources.memoryGb,
    }),
    { cpus: 0, gpus: 0, memoryGb: 0 },
  );

/** An assignment with the request and the machine that it names. */
interface Placed {
  readonly index: number;
  readonly request: TaskRequest;
  readonly machine: CandidateMachine;
}

function assertFitsMachine(placed: readonly Placed[], { id, free }: CandidateMachine): void {
  const used = sumOf(placed.filter((p) => p.machine.id === id).map((p) => p.request));
  assert.ok(used.cpus <= free.cpus && used.gpus <= free.gpus && used.memoryGb <= free.memoryGb);
}

function assertKeepsJobRules(placed: readonly Placed[], job: TaskRequest): void {
  const tasks = placed.filter((p) => p.request.id === job.id);
  if (tasks.length === 0) return;
  const zones = new Map<string, number>();
  for (const { machine } of tasks) zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  if (job.isGang) assert.equal(tasks.length, job.taskCount, 'all or none');
  if (job.singleZone) assert.equal(zones.size, 1);
  for (const count of zones.values()) assert.ok(count <= job.maxPerZone);
}

void test('no placement breaks capacity, a quota, a zone rule or the allowed types', () => {
  fc.assert(
    fc.property(drawnMachines, drawnRequests, fc.nat(30), (machineCases, jobCases, limit) => {
      const machines = machineCases.map((m, i) => machine(`m${i}`, { ...m, capacity: m.free }));
      const requests = jobCases.map((j, i) =>
        request(`j${i}`, j.count, {
          ...j,
          maxPerZone: j.spreadZones ? Math.ceil(j.count / 2) : Infinity,
        }),
      );
      const assignments = placeWithin(limit, requests, machines);
      const again = placeWithin(limit, requests, machines);
      assert.deepEqual(assignments, again, 'the same input gives the same placements');
      // With a job of tiny tasks in the queue, none of which waits, every machine is searched.
      const tiny = request('tiny', 0, { resources: { cpus: 0, gpus: 0, memoryGb: 0 }, rank: 99 });
      const exhaustive = placeWithin(limit, [...requests, tiny], machines);
      assert.deepEqual(assignments, exhaustive, 'machines that are skipped could hold nothing');
      const placed = assignments.map((assignment): Placed => {
        const assigned = requests.find(({ id }) => id === assignment.job);
        const target = machines.find(({ id }) => id === assignment.machine);
        assert.ok(assigned && target);
        assert.ok(isMachineAllowed(assigned, target));
        return { index: assignment.index, request: assigned, machine: target };
      });
      const tasks = new Set(placed.map((p) => `${p.request.id}/${p.index}`));
      assert.equal(tasks.size, placed.length, 'a task is placed once');
      for (const m of machines) assertFitsMachine(placed, m);
      const ofTeam = placed.filter((p) => p.request.team === 't').map((p) => p.request);
      assert.ok(sumOf(ofTeam).cpus <= limit);
      for (const job of requests) assertKeepsJobRules(placed, job);
    }),
    { seed },
  );
});
