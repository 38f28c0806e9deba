/**
 * Checks where the placer puts tasks: cases of each rule, and constraints that hold for all inputs. A wrong
 * placement exceeds a machine or a quota, violates a constraint of a job, or leaves a large task or a gang waiting
 * while smaller tasks take each gap.
 */
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

const createMachine = (
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

const createTaskRequest = (
  id: string,
  count: number,
  change: Partial<TaskRequest> = {},
): TaskRequest => ({
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

void test('capacity reserved for large tasks or urgent work stays free, except for one task of a job that waited too long', () => {
  const largeCapacity: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const halfOfCapacity: Resources = { cpus: 16, gpus: 0, memoryGb: 64 };
  const largeTask = createTaskRequest('l', 1, {
    resources: { cpus: 24, gpus: 0, memoryGb: 1 },
    rank: 1,
  });
  const halfFullMachine = [createMachine('m1', { capacity: largeCapacity, free: halfOfCapacity })];
  const reserveOf64Cpus = new Map([['img', 64]]);
  const quotaOf20Cpus = new Map([['t', { cpus: 20, gpus: 0 }]]);
  const none = new Map<string, never>();
  const cases: [
    string,
    TaskRequest[],
    ReadonlyMap<string, RemainingQuota>,
    ImageReserve,
    number,
  ][] = [
    ['a large task reserves a machine', [largeTask, createTaskRequest('j', 4)], none, none, 0],
    [
      'a job that waited too long starts there with one task',
      [largeTask, createTaskRequest('j', 4, { mustStart: true })],
      none,
      none,
      1,
    ],
    [
      'a job that waited too long does not start there if the large task is starved',
      [{ ...largeTask, rank: -1 }, createTaskRequest('j', 4, { mustStart: true })],
      none,
      none,
      0,
    ],
    [
      'a task beyond the quota of its team reserves nothing',
      [largeTask, createTaskRequest('j', 4)],
      quotaOf20Cpus,
      none,
      4,
    ],
    [
      'the reserve for urgent work stays free',
      [createTaskRequest('j', 4)],
      none,
      reserveOf64Cpus,
      0,
    ],
    [
      'a job that waited too long starts in the reserve with one task',
      [createTaskRequest('j', 4, { mustStart: true })],
      none,
      reserveOf64Cpus,
      1,
    ],
  ];
  for (const [name, requests, teams, reserve, placed] of cases) {
    const machines =
      reserve.size > 0 ? [createMachine('m1', { images: ['img'] })] : halfFullMachine;
    // `placeTasks` changes the quotas that it is given.
    const quotas = new Map([...teams].map(([team, quota]) => [team, { ...quota }]));
    const input = { requests, machines, quotas, maxAssignments: 100, reserve };
    assert.equal(placeTasks(input).length, placed, name);
  }
});

void test('a task goes to the best of the machines that it may use', () => {
  const largeCapacity: Resources = { cpus: 32, gpus: 0, memoryGb: 64 };
  const cases: [string, TaskRequest, CandidateMachine[], string | undefined][] = [
    [
      'a machine that has its image',
      createTaskRequest('j', 1),
      [createMachine('m1'), createMachine('m2', { images: ['img'] })],
      'm2',
    ],
    [
      'otherwise the machine with the most free CPUs',
      createTaskRequest('j', 1),
      [createMachine('m1', { free: { cpus: 4, gpus: 0, memoryGb: 32 } }), createMachine('m2')],
      'm2',
    ],
    [
      'a machine of the smaller type',
      createTaskRequest('j', 1),
      [createMachine('m1', { capacity: largeCapacity, free: largeCapacity }), createMachine('m2')],
      'm2',
    ],
    [
      'only a machine of an allowed type',
      createTaskRequest('j', 1, { machineTypes: ['fat'] }),
      [createMachine('m1'), createMachine('m2', { machineType: 'fat' })],
      'm2',
    ],
    [
      'only a machine in the required zone',
      createTaskRequest('j', 1, { requiredZone: 'b' }),
      [createMachine('m1'), createMachine('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'no spot machine unless allowed',
      createTaskRequest('j', 1, { allowSpot: false }),
      [createMachine('m1'), createMachine('m2', { spot: false })],
      'm2',
    ],
    [
      'not a machine that the job avoids',
      createTaskRequest('j', 1, { avoidedMachines: new Set([MachineId('m1')]) }),
      [createMachine('m1'), createMachine('m2')],
      'm2',
    ],
    [
      'a machine in the zone to which the job is bound',
      createTaskRequest('j', 1, { singleZone: true, boundZone: 'b' }),
      [createMachine('m1'), createMachine('m2', { zone: 'b' })],
      'm2',
    ],
    [
      'no machine if its zone has the maximum of tasks',
      createTaskRequest('j', 1, { maxPerZone: 1, placedByZone: new Map([['a', 1]]) }),
      [createMachine('m1')],
      undefined,
    ],
    [
      'no machine if none has the capacity',
      createTaskRequest('j', 1, { resources: { cpus: 16, gpus: 0, memoryGb: 1 } }),
      [createMachine('m1')],
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

void test('a gang is placed as a whole or not at all, and then leaves the capacity to other jobs', () => {
  const gang = createTaskRequest('g', 5, { isGang: true });
  const other = createTaskRequest('o', 4);
  const quotas = new Map<string, RemainingQuota>();
  const placed = placeTasks({
    requests: [gang, other],
    machines: [createMachine('m1')],
    quotas,
    maxAssignments: 10,
  });
  assert.deepEqual(
    placed.map((assignment) => assignment.job),
    ['o', 'o', 'o', 'o'],
  );
  const machines = [createMachine('m1'), createMachine('m2')];
  assert.equal(placeTasks({ requests: [gang], machines, quotas, maxAssignments: 10 }).length, 5);
});

void test('a gang that must run in one zone goes to the zone where all of it fits and starts first', () => {
  const halfFree: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const gang = createTaskRequest('g', 4, { isGang: true, singleZone: true });
  const cases: [
    name: string,
    machines: CandidateMachine[],
    quota: number | undefined,
    zone: string | undefined,
  ][] = [
    [
      'the zone of the best machine is too small',
      [
        createMachine('m1', { images: ['img'], free: halfFree }),
        createMachine('m2', { zone: 'b' }),
      ],
      undefined,
      'b',
    ],
    [
      'one zone must fetch the image for some tasks',
      [
        createMachine('m1', { images: ['img'], free: halfFree }),
        createMachine('m2', { free: halfFree }),
        createMachine('m3', { zone: 'b', images: ['img'], pricePerCpu: 9 }),
      ],
      undefined,
      'b',
    ],
    [
      'each zone has capacity for half of it only',
      [createMachine('m1', { free: halfFree }), createMachine('m2', { zone: 'b', free: halfFree })],
      undefined,
      undefined,
    ],
    ['the quota of its team allows half of it', [createMachine('m1')], 4, undefined],
    ['the quota of its team allows all of it', [createMachine('m1')], 8, 'a'],
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

void test('machines of one zone are reserved for a gang that does not fit now, if they could hold it when empty', () => {
  const free: Resources = { cpus: 4, gpus: 0, memoryGb: 32 };
  const machines = [
    createMachine('m1', { free }),
    createMachine('m2', { zone: 'b', free }),
    createMachine('m3', { zone: 'b', free: { ...free, cpus: 2 } }),
    createMachine('m4', { zone: 'b', free: { ...free, cpus: 0 } }),
  ];
  const cases: [name: string, count: number, unreserved: string[]][] = [
    ['one machine could hold it', 4, ['m1', 'm1', 'm3']],
    ['two machines of the other zone could hold it', 8, ['m1', 'm1']],
    ['no zone could hold it', 13, ['m1', 'm1', 'm2', 'm2', 'm3']],
  ];
  for (const [name, count, unreserved] of cases) {
    const gang = createTaskRequest('g', count, { isGang: true, singleZone: true });
    const requests = [gang, createTaskRequest('o', 9)];
    const placed = placeTasks({ requests, machines, quotas: new Map(), maxAssignments: 100 });
    assert.deepEqual(placed.map((assignment) => assignment.machine).sort(), unreserved, name);
  }
});

/** Random clusters and jobs. */
const machinesArbitrary = fc.array(
  fc.record({
    machineType: fc.constantFrom('small', 'fat'),
    zone: fc.constantFrom('a', 'b', 'c'),
    spot: fc.boolean(),
    free: fc.record({ cpus: fc.nat(16), gpus: fc.nat(2), memoryGb: fc.nat(40) }),
    images: fc.subarray(['x', 'y']),
  }),
  { maxLength: 6 },
);
const requestsArbitrary = fc.array(
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

/** Places tasks while team `t` may use up to `limit` CPUs and as many GPUs. */
const placeWithQuota = (
  limit: number,
  requests: readonly TaskRequest[],
  machines: readonly CandidateMachine[],
): Assignment[] => {
  const quotas = new Map([['t', { cpus: limit, gpus: limit }]]);
  return placeTasks({ requests, machines, quotas, maxAssignments: 50 });
};

/** The total resources of the tasks. */
const totalResources = (tasks: readonly TaskRequest[]): Resources =>
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

function assertFitsInMachine(placed: readonly Placed[], { id, free }: CandidateMachine): void {
  const used = totalResources(placed.filter((p) => p.machine.id === id).map((p) => p.request));
  assert.ok(used.cpus <= free.cpus && used.gpus <= free.gpus && used.memoryGb <= free.memoryGb);
}

function assertMeetsJobConstraints(placed: readonly Placed[], job: TaskRequest): void {
  const tasks = placed.filter((p) => p.request.id === job.id);
  if (tasks.length === 0) return;
  const zones = new Map<string, number>();
  for (const { machine } of tasks) zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  if (job.isGang)
    assert.equal(tasks.length, job.taskCount, 'a gang is placed as a whole or not at all');
  if (job.singleZone) assert.equal(zones.size, 1);
  for (const count of zones.values()) assert.ok(count <= job.maxPerZone);
}

void test('no placement violates the free capacity, a quota, a zone constraint or the allowed machine types', () => {
  fc.assert(
    fc.property(
      machinesArbitrary,
      requestsArbitrary,
      fc.nat(30),
      (machineCases, jobCases, limit) => {
        const machines = machineCases.map((m, i) =>
          createMachine(`m${i}`, { ...m, capacity: m.free }),
        );
        const requests = jobCases.map((j, i) =>
          createTaskRequest(`j${i}`, j.count, {
            ...j,
            maxPerZone: j.spreadZones ? Math.ceil(j.count / 2) : Infinity,
          }),
        );
        const assignments = placeWithQuota(limit, requests, machines);
        const again = placeWithQuota(limit, requests, machines);
        assert.deepEqual(assignments, again, 'the same input gives the same placements');
        // The placer skips machines too full for the smallest task; with this job in the queue it skips none.
        const tiny = createTaskRequest('tiny', 0, {
          resources: { cpus: 0, gpus: 0, memoryGb: 0 },
          rank: 99,
        });
        const exhaustive = placeWithQuota(limit, [...requests, tiny], machines);
        assert.deepEqual(assignments, exhaustive, 'skipped machines could hold no task');
        const placed = assignments.map((assignment): Placed => {
          const assigned = requests.find(({ id }) => id === assignment.job);
          const target = machines.find(({ id }) => id === assignment.machine);
          assert.ok(assigned && target);
          assert.ok(isMachineAllowed(assigned, target));
          return { index: assignment.index, request: assigned, machine: target };
        });
        const tasks = new Set(placed.map((p) => `${p.request.id}/${p.index}`));
        assert.equal(tasks.size, placed.length, 'each task is placed at most once');
        for (const m of machines) assertFitsInMachine(placed, m);
        const ofTeam = placed.filter((p) => p.request.team === 't').map((p) => p.request);
        assert.ok(totalResources(ofTeam).cpus <= limit);
        for (const job of requests) assertMeetsJobConstraints(placed, job);
      },
    ),
    { seed },
  );
});
