/** Live records in format 1: what they keep, how large they get, one that replaces another, damaged ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeJob, encodeJob } from '../../src/ledger/job-codec.js';
import { Job } from '../../src/ledger/job.js';
import { encodedSize, maxOpenTasksInV1 } from '../../src/ledger/record-size.js';
import { RecordError } from '../../src/ledger/live-record-contents.js';
import { Epoch, JobId, MachineId, Revision, SteadyMs, WallMs } from '../../src/units/index.js';
import { applyJobChanges, type PlacementRules } from '../support/job-changes.js';
import { jobSpec } from '../support/job-spec.js';

const seed = 20260312;
const now = SteadyMs(0);
const id = JobId('run-000001');

const machineOf: PlacementRules['machineFor'] = (pick) => MachineId(`vm-${100000 + (pick % 28)}`);

const drawnMoves = fc.array(fc.tuple(fc.nat(2), fc.nat(1000)), { maxLength: 200 });

const placedTasks = (job: Job): unknown[] =>
  [...job.placements].map(([index, { machine, attempt }]) => [index, machine, attempt]).sort();

void test('a job is the same after it was encoded and decoded', () => {
  fc.assert(
    fc.property(drawnMoves, fc.boolean(), (moves, isCancelled) => {
      const job = new Job(id, jobSpec({ taskCount: 60 }), WallMs(5), Revision(7));
      applyJobChanges(job, moves, { maxOpenTasks: 60, maxBatchSize: 7, machineFor: machineOf });
      if (isCancelled) job.cancel();
      const restored = decodeJob(
        id,
        JSON.parse(JSON.stringify(encodeJob(job, Epoch(3)))),
        Revision(7),
        now,
      );
      assert.deepEqual(restored.waitingTasks.toArray(), job.waitingTasks.toArray());
      assert.equal(restored.doneCount, job.doneCount);
      assert.equal(restored.isCancelled, job.isCancelled);
      assert.equal(restored.nextAttempt, job.nextAttempt);
      assert.deepEqual(placedTasks(restored), placedTasks(job));
    }),
    { seed },
  );
});

void test('a record of 100,000 tasks stays within the size of a value', () => {
  const wide = jobSpec({ taskCount: 100_000, image: 'x'.repeat(120), jobClass: 'y'.repeat(120) });
  const maxOpen = maxOpenTasksInV1(wide, 8192);
  assert.ok(maxOpen > 50, `only ${maxOpen} tasks at once`);
  const manyMoves = fc.array(fc.tuple(fc.constantFrom(0, 0, 1, 2), fc.nat(100_000)), {
    minLength: 400,
    maxLength: 900,
  });
  fc.assert(
    fc.property(manyMoves, (moves) => {
      const job = new Job(id, wide, WallMs(Date.UTC(2026, 0)), Revision(123456));
      applyJobChanges(job, moves, {
        maxOpenTasks: maxOpen,
        maxBatchSize: 7,
        machineFor: machineOf,
      });
      assert.ok(encodedSize(encodeJob(job, Epoch(123456))) <= 8192);
    }),
    { seed, numRuns: 30 },
  );
});

void test('a record that replaces ours keeps what is known of the attempts that both name', () => {
  const machine = MachineId('vm-000001');
  const otherMachine = MachineId('vm-000002');
  const ours = new Job(id, jobSpec({ taskCount: 4 }), WallMs(5), Revision(7));
  ours.placeTasks([{ index: 0, machine }], now);
  const late = decodeJob(id, encodeJob(ours, Epoch(3)), Revision(8), now);
  const first = ours.placements.get(0);
  assert.ok(first);
  first.startSentInResponseTo = { session: 1, sequence: 9 };
  // A later write of ours, which ended in a conflict with the late one.
  ours.placeTasks([{ index: 1, machine: otherMachine }], now);
  const usedVersion = ours.version;
  late.inheritFrom(ours);
  const kept = late.placements.get(0);
  assert.deepEqual(
    [kept?.startSentInResponseTo, kept?.isInherited],
    [{ session: 1, sequence: 9 }, false],
  );
  assert.equal(late.placements.has(1), false);
  assert.ok(late.version > usedVersion && late.committedVersion === late.version);
  late.placeTasks([{ index: 1, machine }], now);
  assert.equal(late.placements.get(1)?.attempt, 3, 'no attempt number is used twice');
});

void test('damaged records are refused rather than read as finished work', () => {
  const job = new Job(id, jobSpec({ taskCount: 8 }), WallMs(5), Revision(7));
  job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], now);
  const record = encodeJob(job, Epoch(3));
  const cases: [string, unknown][] = [
    ['a waiting range is missing', { ...record, w: [] }],
    ['a placement is missing', { ...record, p: [] }],
    ['a task is in two states', { ...record, w: [[0, 8]] }],
    ['a placement names no machine', { ...record, m: [] }],
    ['a later format', { ...record, f: 3 }],
    ['no record', 'x'],
  ];
  for (const [name, data] of cases) {
    assert.throws(() => decodeJob(id, data, Revision(1), now), RecordError, name);
  }
});
