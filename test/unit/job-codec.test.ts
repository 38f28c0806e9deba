/**
 * Checks live records in format 1: what they keep, how large they get, how a record from the store replaces the job
 * in memory, and damaged records. A lost field or a record above the size limit of the store would lose accepted
 * work; a damaged record that is read as valid could end a job whose tasks did not run.
 */
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

const machineFor: PlacementRules['machineFor'] = (pick) => MachineId(`vm-${100000 + (pick % 28)}`);

const changesArbitrary = fc.array(fc.tuple(fc.nat(2), fc.nat(1000)), { maxLength: 200 });

const placedTasks = (job: Job): unknown[] =>
  [...job.placements].map(([index, { machine, attempt }]) => [index, machine, attempt]).sort();

void test('a job is the same after it is encoded and decoded', () => {
  fc.assert(
    fc.property(changesArbitrary, fc.boolean(), (changes, isCancelled) => {
      const job = new Job(id, jobSpec({ taskCount: 60 }), WallMs(5), Revision(7));
      applyJobChanges(job, changes, { maxOpenTasks: 60, maxBatchSize: 7, machineFor });
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

void test('the record of a job of 100,000 tasks stays within the size limit of a value', () => {
  const wide = jobSpec({ taskCount: 100_000, image: 'x'.repeat(120), jobClass: 'y'.repeat(120) });
  const maxOpen = maxOpenTasksInV1(wide, 8192);
  assert.ok(maxOpen > 50, `only ${maxOpen} tasks at once`);
  const manyChangesArbitrary = fc.array(fc.tuple(fc.constantFrom(0, 0, 1, 2), fc.nat(100_000)), {
    minLength: 400,
    maxLength: 900,
  });
  fc.assert(
    fc.property(manyChangesArbitrary, (changes) => {
      const job = new Job(id, wide, WallMs(Date.UTC(2026, 0)), Revision(123456));
      applyJobChanges(job, changes, {
        maxOpenTasks: maxOpen,
        maxBatchSize: 7,
        machineFor,
      });
      assert.ok(encodedSize(encodeJob(job, Epoch(123456))) <= 8192);
    }),
    { seed, numRuns: 30 },
  );
});

void test('a job that is read from the store inherits what is known of attempts that it shares with the job in memory', () => {
  const machine = MachineId('vm-000001');
  const otherMachine = MachineId('vm-000002');
  const known = new Job(id, jobSpec({ taskCount: 4 }), WallMs(5), Revision(7));
  known.placeTasks([{ index: 0, machine }], now);
  const replacement = decodeJob(id, encodeJob(known, Epoch(3)), Revision(8), now);
  const first = known.placements.get(0);
  assert.ok(first);
  first.startSentInResponseTo = { session: 1, sequence: 9 };
  // The write of this later placement failed because of a conflict with the replacement.
  known.placeTasks([{ index: 1, machine: otherMachine }], now);
  const usedVersion = known.version;
  replacement.inheritFrom(known);
  const placement = replacement.placements.get(0);
  assert.deepEqual(
    [placement?.startSentInResponseTo, placement?.isInherited],
    [{ session: 1, sequence: 9 }, false],
  );
  assert.equal(replacement.placements.has(1), false);
  assert.ok(
    replacement.version > usedVersion && replacement.committedVersion === replacement.version,
  );
  replacement.placeTasks([{ index: 1, machine }], now);
  assert.equal(replacement.placements.get(1)?.attempt, 3, 'no attempt number is used twice');
});

void test('damaged records are refused instead of being read as finished tasks', () => {
  const job = new Job(id, jobSpec({ taskCount: 8 }), WallMs(5), Revision(7));
  job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], now);
  const record = encodeJob(job, Epoch(3));
  const cases: [string, unknown][] = [
    ['a waiting range is missing', { ...record, w: [] }],
    ['a placement is missing', { ...record, p: [] }],
    ['a task is in two states', { ...record, w: [[0, 8]] }],
    ['a placement names no machine', { ...record, m: [] }],
    ['a format of a later version', { ...record, f: 3 }],
    ['a value that is not a record', 'x'],
  ];
  for (const [name, data] of cases) {
    assert.throws(() => decodeJob(id, data, Revision(1), now), RecordError, name);
  }
});
