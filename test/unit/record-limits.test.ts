/**
 * Checks the compact record format, and the records, jobs and ledger when the store lowers its size limits, which
 * it may do at any time. Guards against records that the store then refuses, against one large record
 * that blocks all others, and against a format that an older controller can't read.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { parseSettings, type StoreLimits } from '../../src/config/settings.js';
import { decodeJob, encodeJob, encodeJobCompactly } from '../../src/ledger/job-codec.js';
import { Job, WritePriority } from '../../src/ledger/job.js';
import { Ledger } from '../../src/ledger/ledger.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
import { encodedSize } from '../../src/ledger/record-size.js';
import { StoreClient } from '../../src/store/client.js';
import {
  Endpoint,
  Epoch,
  JobId,
  MachineId,
  Revision,
  SteadyMs,
  WallMs,
} from '../../src/units/index.js';
import { JobKind, type JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { Network } from '../standin/network.js';
import { Store } from '../standin/store.js';
import { applyJobChanges, type PlacementRules } from '../support/job-changes.js';
import { jobSpec } from '../support/job-spec.js';
import { settingsFile } from '../support/settings-file.js';

const seed = 20261202;
const now = SteadyMs(0);
const id = JobId('run-000001');
const currentLimits: StoreLimits = {
  requestRate: 80,
  writeRate: 15,
  valueBytes: 8192,
  transactionOps: 8,
};
const loweredLimits: StoreLimits = {
  requestRate: 80,
  writeRate: 15,
  valueBytes: 2048,
  transactionOps: 4,
};
const withLoweredLimits = { ...currentLimits, next: loweredLimits };

const machineFor: PlacementRules['machineFor'] = (pick, index) => {
  const number = (pick * 7919 + index * 104729) % 16_000;
  return MachineId(`vm-${String(number).padStart(6, '0')}`);
};

const changesArbitrary = (minLength: number, maxLength: number) =>
  fc.array(fc.tuple(fc.constantFrom(0, 0, 1, 2), fc.nat(100_000)), { minLength, maxLength });

const stateOf = (job: Job): unknown => ({
  spec: job.spec,
  submittedAt: job.submittedAt,
  isCancelled: job.isCancelled,
  zone: job.boundZone,
  nextAttempt: job.nextAttempt,
  waiting: job.waitingTasks.toArray(),
  placed: [...job.placements]
    .map(([index, { machine, attempt }]) => [index, machine, attempt])
    .sort(),
});

void test('a job is the same after it is encoded in either format and decoded', () => {
  const specs = fc.record({
    zone: fc.constantFrom(null, 'a'),
    machineTypes: fc.constantFrom<JobSpec['machineTypes'][]>(null, ['small', 'large']),
    deadlineSeconds: fc.constantFrom(null, 12.5),
    kind: fc.constantFrom<JobSpec['kind'][]>(JobKind.array, JobKind.gang, JobKind.service),
  });
  const names = fc.constantFrom('vm-000007', 'vm-1000001', 'other', 'x-7', 'vm-0');
  fc.assert(
    fc.property(
      changesArbitrary(0, 60),
      specs,
      names,
      fc.boolean(),
      (changes, change, name, isCancelled) => {
        const job = new Job(id, jobSpec({ taskCount: 60, ...change }), WallMs(1.7e12), Revision(7));
        job.placeTasks([{ index: 0, machine: MachineId(name) }], now);
        applyJobChanges(job, changes, { maxOpenTasks: 60, maxBatchSize: 9, machineFor });
        if (isCancelled) job.cancel();
        job.boundZone = change.zone ?? undefined;
        const stored: unknown = JSON.parse(JSON.stringify(encodeJobCompactly(job, Epoch(3))));
        assert.deepEqual(stateOf(decodeJob(id, stored, Revision(7), now)), stateOf(job));
        const decoded = decodeJob(id, encodeJob(job, Epoch(3)), Revision(7), now);
        assert.deepEqual(stateOf(decoded), stateOf(job));
      },
    ),
    { seed, numRuns: 200 },
  );
});

void test('once the limits are lowered, records fit the smaller value in whatever order their tasks end', () => {
  const limits = new RecordLimits(withLoweredLimits);
  limits.onSizeRefusal();
  const sizes: [taskCount: number, minOpen: number][] = [
    [200, 150],
    [100_000, 150],
  ];
  for (const [taskCount, minOpen] of sizes) {
    const wide = jobSpec({ taskCount });
    const maxOpen = limits.maxOpenTasks(wide, 0);
    assert.ok(maxOpen >= minOpen, `only ${maxOpen} tasks at once`);
    fc.assert(
      fc.property(changesArbitrary(300, 900), (changes) => {
        const job = new Job(id, wide, WallMs(1.7e12), Revision(123456));
        applyJobChanges(job, changes, {
          maxOpenTasks: maxOpen,
          maxBatchSize: 9,
          machineFor,
        });
        const { record, bytes } = limits.encode(job, Epoch(123456));
        assert.equal(bytes, encodedSize(record));
        assert.ok(
          bytes <= loweredLimits.valueBytes,
          `${bytes} bytes with ${job.openTaskCount} open tasks`,
        );
      }),
      { seed, numRuns: 25 },
    );
  }
});

void test('the limits determine the record format, and which jobs are refused', () => {
  const placedJob = (taskCount: number): Job => {
    const job = new Job(id, jobSpec({ taskCount }), WallMs(1.7e12), Revision(1));
    const tasks = Array.from({ length: taskCount }, (_, index) => ({
      index,
      machine: MachineId(`vm-${String(index * 3).padStart(6, '0')}`),
    }));
    job.placeTasks(tasks, now);
    return job;
  };
  const higher = { ...currentLimits, next: { ...currentLimits, valueBytes: 16_384 } };
  const cases: [
    name: string,
    limits: RecordLimits,
    isRefused: boolean,
    taskCount: number,
    format: number,
  ][] = [
    [
      'no new limits announced',
      new RecordLimits({ ...currentLimits, next: undefined }),
      true,
      100,
      1,
    ],
    ['lower limits announced, not in force', new RecordLimits(withLoweredLimits), false, 100, 1],
    ['lower limits in force, a small record', new RecordLimits(withLoweredLimits), true, 10, 1],
    ['lower limits in force, a large record', new RecordLimits(withLoweredLimits), true, 100, 2],
    ['higher limits announced', new RecordLimits(higher), true, 100, 1],
  ];
  for (const [name, limits, isRefused, taskCount, format] of cases) {
    if (isRefused) limits.onSizeRefusal();
    assert.equal(limits.encode(placedJob(taskCount), Epoch(1)).record.f, format, name);
  }
  const { transactionOps } = new RecordLimits(withLoweredLimits);
  assert.equal(transactionOps, 4, 'the smaller number of operations applies from the start');
  const limits = new RecordLimits(withLoweredLimits);
  const gang = jobSpec({ kind: JobKind.gang });
  assert.ok(limits.canStoreRecord(gang, 100));
  assert.ok(!limits.canStoreRecord(gang, 100_000), 'no record can hold a gang of this size');
  const largeSpec = jobSpec({
    machineTypes: Array.from({ length: 16 }, () => 'y'.repeat(60)),
    image: 'x'.repeat(120),
  });
  assert.ok(limits.canStoreRecord(largeSpec, 1));
  assert.ok(
    !new RecordLimits({
      ...currentLimits,
      next: { ...loweredLimits, valueBytes: 1024 },
    }).canStoreRecord(largeSpec, 1),
  );
});

/** Creates a ledger on a stand-in of the store whose limits can be lowered. */
function createLedgerOnStore() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const network = new Network(time, () => 0.5);
  const storeService = new Store(time, currentLimits);
  const endpoint = '10.2.0.1:2379';
  network.attach(endpoint, 'r', (method, path, body, from) =>
    storeService.handle(method, path, body, from),
  );
  const { controllerId } = parseSettings(settingsFile());
  const store = new StoreClient({
    http: network.client(controllerId, 'r', clock),
    endpoint: Endpoint(endpoint),
    clock,
    random: () => 0.5,
    limits: withLoweredLimits,
    controllerCount: 1,
  });
  const limits = new RecordLimits(withLoweredLimits, () => store.lowerRates());
  const committed: string[] = [];
  const events = {
    onCommitted: (job: Job) => committed.push(job.id),
    onReplaced: () => undefined,
    onDropped: () => undefined,
    onFinished: (job: Job) => committed.push(`${job.id} finished`),
    onLeaderKeyLost: () => assert.fail('leader key lost'),
  };
  const put = { writes: [{ put: 'leader', data: {} }] };
  const written = storeService.handle('POST', '/multi', put, controllerId) as {
    body: { ledger_rev: number };
  };
  const epoch = Epoch(written.body.ledger_rev);
  const ledger = new Ledger({
    store,
    epoch,
    limits,
    clock,
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    events,
  });
  return { time, storeService, limits, ledger, committed };
}

/** Creates a job that has no record yet. */
const createJob = (n: number, taskCount: number): Job => {
  const name = JobId(`run-${String(n).padStart(6, '0')}`);
  const job = new Job(name, jobSpec({ id: name, taskCount }), WallMs(0), Revision(0));
  job.markChanged(WritePriority.userRequest);
  return job;
};

void test('when the limits are lowered while a ledger writes, few transactions are refused and all records are written', async () => {
  for (const lowerAfter of [0, 1, 3, 5, 8, 20, 200]) {
    const { time, storeService, limits, ledger, committed } = createLedgerOnStore();
    const jobs = [1, 2, 3, 4].map((n) => createJob(n, n === 2 ? 3 : 120));
    for (const job of jobs) ledger.insert(job);
    // The requests that submit jobs wait in the same way.
    for (const job of jobs) void ledger.whenCommitted(job);
    await time.run(lowerAfter);
    for (const job of jobs) {
      const tasks = [...job.waitingTasks.indexes()].map((index) => ({
        index,
        machine: MachineId(`vm-${String(1000 + index * 3).padStart(6, '0')}`),
      }));
      job.placeTasks(tasks, now);
    }
    storeService.setLimits(loweredLimits);
    await time.run(lowerAfter + 8000);
    assert.ok(limits.isLowered, `after ${lowerAfter} ms`);
    for (const job of jobs)
      assert.equal(job.committedVersion, job.version, `${job.id} ${lowerAfter} ms`);
    assert.ok(
      storeService.tooLargeCount <= 3,
      `${storeService.tooLargeCount} transactions refused as too large`,
    );
    for (const job of jobs) for (const index of [...job.placements.keys()]) job.completeTask(index);
    await time.run(lowerAfter + 16_000);
    assert.equal(committed.filter((entry) => entry.endsWith('finished')).length, 4);
    assert.ok(storeService.tooLargeCount <= 3);
  }
});

void test('a record that does not fit even by itself delays no other records, and is written once it has shrunk', async () => {
  const { time, storeService, limits, ledger, committed } = createLedgerOnStore();
  const large = createJob(1, 900);
  const small = [2, 3, 4].map((n) => createJob(n, 4));
  for (const job of [large, ...small]) ledger.insert(job);
  await time.run(2000);
  committed.length = 0;
  limits.onSizeRefusal();
  storeService.setLimits(loweredLimits);
  // The previous limit allowed a record like this: the tasks are on many machines, and no two neighbours share one.
  const tasks = [...large.waitingTasks.indexes()].map((index) => ({
    index,
    machine: MachineId(`vm-${String((index * 7919) % 16_000).padStart(6, '0')}`),
  }));
  large.placeTasks(tasks, now);
  for (const job of small) job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], now);
  await time.run(7000);
  for (const job of small) assert.ok(committed.includes(job.id), `${job.id} is not written`);
  assert.ok(!committed.includes(large.id));
  assert.ok(
    storeService.tooLargeCount <= 5,
    `${storeService.tooLargeCount} transactions refused in five seconds`,
  );
  for (const index of [...large.placements.keys()]) if (index >= 100) large.completeTask(index);
  await time.run(14_000);
  assert.ok(committed.includes(large.id));
});
