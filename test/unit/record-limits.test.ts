import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { pino } from 'pino';
import { parseSettings, type StoreLimits } from '../../src/config/settings.js';
import { decodeJob, encodeJob, encodeJobCompactly, encodedSize } from '../../src/ledger/codec.js';
import { Job } from '../../src/ledger/job.js';
import { Ledger } from '../../src/ledger/ledger.js';
import { RecordLimits } from '../../src/ledger/record-limits.js';
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
import type { JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { Network } from '../standin/network.js';
import { StateService } from '../standin/state.js';
import { spec } from '../support/jobs.js';
import { play, type Play } from '../support/play.js';
import { settingsFile } from '../support/settings.js';

const seed = 20261202;
const now = SteadyMs(0);
const id = JobId('run-000001');
const before: StoreLimits = { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 };
const after: StoreLimits = { requestRate: 80, writeRate: 15, valueBytes: 2048, transactionOps: 4 };
const lowering = { ...before, next: after };

const machineOf: Play['machineOf'] = (pick, index) => {
  const number = (pick * 7919 + index * 104729) % 16_000;
  return MachineId(`vm-${String(number).padStart(6, '0')}`);
};

const moves = (least: number, most: number) =>
  fc.array(fc.tuple(fc.constantFrom(0, 0, 1, 2), fc.nat(100_000)), {
    minLength: least,
    maxLength: most,
  });

const contents = (job: Job): unknown => ({
  spec: job.spec,
  submitted: job.submittedAt,
  aborted: job.cancelled,
  zone: job.boundZone,
  next: job.nextAttempt,
  waiting: job.waiting.list(),
  placed: [...job.placements].map(([i, p]) => [i, p.machine, p.attempt]).sort(),
});

void test('compact records come back as they were, and as records of the first format do', () => {
  const specs = fc.record({
    zone: fc.constantFrom(null, 'a'),
    machineTypes: fc.constantFrom<JobSpec['machineTypes'][]>(null, ['small', 'large']),
    deadlineSeconds: fc.constantFrom(null, 12.5),
    kind: fc.constantFrom<JobSpec['kind'][]>('sweep', 'ensemble', 'daemon'),
  });
  const names = fc.constantFrom('vm-000007', 'vm-1000001', 'other', 'x-7', 'vm-0');
  fc.assert(
    fc.property(moves(0, 60), specs, names, fc.boolean(), (list, change, odd, aborted) => {
      const job = new Job(id, spec({ taskCount: 60, ...change }), WallMs(1.7e12), Revision(7));
      job.placeTasks([{ index: 0, machine: MachineId(odd) }], now);
      play(job, list, { limit: 60, batch: 9, machineOf });
      if (aborted) job.cancel();
      job.boundZone = change.zone ?? undefined;
      const stored: unknown = JSON.parse(JSON.stringify(encodeJobCompactly(job, Epoch(3))));
      assert.deepEqual(contents(decodeJob(id, stored, Revision(7), now)), contents(job));
      const first = decodeJob(id, encodeJob(job, Epoch(3)), Revision(7), now);
      assert.deepEqual(contents(first), contents(job));
    }),
    { seed, numRuns: 200 },
  );
});

void test('once the limits are lowered, records fit the smaller value however their tasks end', () => {
  const limits = new RecordLimits(lowering);
  limits.noteRefusal();
  const sizes: [entries: number, least: number][] = [
    [200, 150],
    [100_000, 150],
  ];
  for (const [entries, least] of sizes) {
    const wide = spec({ taskCount: entries });
    const open = limits.openTasks(wide, 0);
    assert.ok(open >= least, `only ${open} tasks at once`);
    fc.assert(
      fc.property(moves(300, 900), (list) => {
        const job = new Job(id, wide, WallMs(1.7e12), Revision(123456));
        play(job, list, { limit: open, batch: 9, machineOf });
        const { record, bytes } = limits.encode(job, Epoch(123456));
        assert.equal(bytes, encodedSize(record));
        assert.ok(bytes <= after.valueBytes, `${bytes} bytes with ${job.openTaskCount} open tasks`);
      }),
      { seed, numRuns: 25 },
    );
  }
});

void test('which format is written, and which jobs are refused', () => {
  const job = (entries: number): Job => {
    const made = new Job(id, spec({ taskCount: entries }), WallMs(1.7e12), Revision(1));
    const tasks = Array.from({ length: entries }, (_, index) => ({
      index,
      machine: MachineId(`vm-${String(index * 3).padStart(6, '0')}`),
    }));
    made.placeTasks(tasks, now);
    return made;
  };
  const higher = { ...before, next: { ...before, valueBytes: 16_384 } };
  const cases: [
    name: string,
    limits: RecordLimits,
    refused: boolean,
    entries: number,
    f: number,
  ][] = [
    ['no limits to come', new RecordLimits({ ...before, next: undefined }), true, 100, 1],
    ['before the moment', new RecordLimits(lowering), false, 100, 1],
    ['after it, small', new RecordLimits(lowering), true, 10, 1],
    ['after it, large', new RecordLimits(lowering), true, 100, 2],
    ['limits that rise', new RecordLimits(higher), true, 100, 1],
  ];
  for (const [name, limits, refused, entries, f] of cases) {
    if (refused) limits.noteRefusal();
    assert.equal(limits.encode(job(entries), Epoch(1)).record.f, f, name);
  }
  const { transactionOps: txnOps } = new RecordLimits(lowering);
  assert.equal(txnOps, 4, 'the smaller number of changes holds from the start');
  const limits = new RecordLimits(lowering);
  const gang = spec({ kind: 'ensemble' });
  assert.ok(limits.canRecord(gang, 100));
  assert.ok(!limits.canRecord(gang, 100_000), 'a gang that no record holds');
  const wordy = spec({
    machineTypes: Array.from({ length: 16 }, () => 'y'.repeat(60)),
    image: 'x'.repeat(120),
  });
  assert.ok(limits.canRecord(wordy, 1));
  assert.ok(
    !new RecordLimits({ ...before, next: { ...after, valueBytes: 1024 } }).canRecord(wordy, 1),
  );
});

/** A ledger on the stand-in of the state service, whose limits can be lowered. */
function ledgerOnStore() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const network = new Network(time, () => 0.5);
  const state = new StateService(time, before);
  const endpoint = '10.2.0.1:2379';
  network.attach(endpoint, 'r', (m, p, b, from) => state.handle(m, p, b, from));
  const { node } = parseSettings(settingsFile());
  const store = new StoreClient({
    http: network.client(node, 'r', clock),
    endpoint: Endpoint(endpoint),
    clock,
    random: () => 0.5,
    limits: lowering,
    nodeCount: 1,
  });
  const limits = new RecordLimits(lowering, () => store.lowerRates());
  const committed: string[] = [];
  const events = {
    onCommitted: (job: Job) => committed.push(job.id),
    onReplaced: () => undefined,
    onDropped: () => undefined,
    onFinished: (job: Job) => committed.push(`${job.id} over`),
    onDeposed: () => assert.fail('deposed'),
  };
  const silent = pino({ level: 'silent' });
  const put = { writes: [{ put: 'leader', data: {} }] };
  const made = state.handle('POST', '/multi', put, node) as { body: { ledger_rev: number } };
  const epoch = Epoch(made.body.ledger_rev);
  const ledger = new Ledger(store, epoch, limits, clock, () => 0.5, silent, events);
  return { time, state, limits, ledger, committed };
}

const wideJob = (n: number, entries: number): Job => {
  const name = JobId(`run-${String(n).padStart(6, '0')}`);
  const job = new Job(name, spec({ id: name, taskCount: entries }), WallMs(0), Revision(0));
  job.markChanged(0);
  return job;
};

void test('limits that fall while a ledger writes: one refusal, and all is written', async () => {
  for (const lowerAfter of [0, 1, 3, 5, 8, 20, 200]) {
    const { time, state, limits, ledger, committed } = ledgerOnStore();
    const jobs = [1, 2, 3, 4].map((n) => wideJob(n, n === 2 ? 3 : 120));
    for (const job of jobs) ledger.insert(job);
    // Their users wait for them.
    for (const job of jobs) void ledger.whenCommitted(job);
    await time.run(lowerAfter);
    for (const job of jobs) {
      const tasks = [...job.waiting.indexes()].map((index) => ({
        index,
        machine: MachineId(`vm-${String(1000 + index * 3).padStart(6, '0')}`),
      }));
      job.placeTasks(tasks, now);
    }
    state.lower(after);
    await time.run(lowerAfter + 8000);
    assert.ok(limits.isLowered, `after ${lowerAfter} ms`);
    for (const job of jobs)
      assert.equal(job.committedVersion, job.version, `${job.id} ${lowerAfter} ms`);
    assert.ok(state.tooLarge <= 3, `${state.tooLarge} refused as too large`);
    for (const job of jobs) for (const index of [...job.placements.keys()]) job.complete(index);
    await time.run(lowerAfter + 16_000);
    assert.equal(committed.filter((c) => c.endsWith('over')).length, 4);
    assert.ok(state.tooLarge <= 3);
  }
});

void test('a record that does not fit even by itself holds up no others, and is written once it has shrunk', async () => {
  const { time, state, limits, ledger, committed } = ledgerOnStore();
  const large = wideJob(1, 900);
  const small = [2, 3, 4].map((n) => wideJob(n, 4));
  for (const job of [large, ...small]) ledger.insert(job);
  await time.run(2000);
  committed.length = 0;
  limits.noteRefusal();
  state.lower(after);
  // As an earlier limit allowed it: scattered over many machines.
  const tasks = [...large.waiting.indexes()].map((index) => ({
    index,
    machine: MachineId(`vm-${String((index * 7919) % 16_000).padStart(6, '0')}`),
  }));
  large.placeTasks(tasks, now);
  for (const job of small) job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], now);
  await time.run(7000);
  for (const job of small) assert.ok(committed.includes(job.id), `${job.id} waits`);
  assert.ok(!committed.includes(large.id));
  assert.ok(state.tooLarge <= 5, `${state.tooLarge} refused in five seconds`);
  for (const index of [...large.placements.keys()]) if (index >= 100) large.complete(index);
  await time.run(14_000);
  assert.ok(committed.includes(large.id));
});
