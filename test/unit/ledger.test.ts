/** Live records: sets of indexes, format 1 and its size, records that replace others, damaged ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeJob, encodeJob } from '../../src/ledger/codec.js';
import { IndexRanges } from '../../src/ledger/index-ranges.js';
import { Job } from '../../src/ledger/job.js';
import { encodedSize, openTaskLimit } from '../../src/ledger/record-size.js';
import { RecordError } from '../../src/ledger/record.js';
import { Epoch, JobId, MachineId, Revision, SteadyMs, WallMs } from '../../src/units/index.js';
import { spec } from '../support/jobs.js';
import { play, type Play } from '../support/play.js';

const seed = 20260312;
const now = SteadyMs(0);
const id = JobId('run-000001');

void test('ranges behave like a set of numbers', () => {
  const ops = fc.array(fc.tuple(fc.boolean(), fc.nat(40)), { maxLength: 120 });
  fc.assert(
    fc.property(ops, (list) => {
      const ranges = IndexRanges.of([[0, 20]]);
      const set = new Set(Array.from({ length: 20 }, (_, i) => i));
      for (const [add, i] of list) {
        if (add) {
          ranges.add(i);
          set.add(i);
        } else assert.equal(ranges.remove(i), set.delete(i));
      }
      const sorted = [...set].sort((a, b) => a - b);
      assert.deepEqual([...ranges.indexes()], sorted);
      assert.equal(ranges.size, set.size);
      assert.equal(ranges.lowest(), sorted[0]);
      for (let i = 0; i <= 41; i++) assert.equal(ranges.has(i), set.has(i));
      const parts = ranges.list();
      parts.forEach(([a, b], k) => {
        assert.ok(a < b);
        if (k > 0) assert.ok((parts[k - 1]?.[1] ?? 0) < a, 'parts neither touch nor overlap');
      });
    }),
    { seed },
  );
});

const machineOf: Play['machineOf'] = (pick) => MachineId(`vm-${100000 + (pick % 28)}`);

const moves = fc.array(fc.tuple(fc.nat(2), fc.nat(1000)), { maxLength: 200 });

void test('records come back as they were', () => {
  fc.assert(
    fc.property(moves, fc.boolean(), (list, aborted) => {
      const job = new Job(id, spec({ taskCount: 60 }), WallMs(5), Revision(7));
      play(job, list, { limit: 60, batch: 7, machineOf });
      if (aborted) job.cancel();
      const back = decodeJob(
        id,
        JSON.parse(JSON.stringify(encodeJob(job, Epoch(3)))),
        Revision(7),
        now,
      );
      assert.deepEqual(back.waiting.list(), job.waiting.list());
      assert.equal(back.doneCount, job.doneCount);
      assert.equal(back.cancelled, job.cancelled);
      assert.equal(back.nextAttempt, job.nextAttempt);
      assert.deepEqual(
        [...back.placements].map(([i, p]) => [i, p.machine, p.attempt]).sort(),
        [...job.placements].map(([i, p]) => [i, p.machine, p.attempt]).sort(),
      );
    }),
    { seed },
  );
});

void test('a record of 100,000 tasks stays within the size of a value', () => {
  const wide = spec({ taskCount: 100_000, image: 'x'.repeat(120), jobClass: 'y'.repeat(120) });
  const limit = openTaskLimit(wide, 8192);
  assert.ok(limit > 50, `only ${limit} tasks at once`);
  const long = fc.array(fc.tuple(fc.constantFrom(0, 0, 1, 2), fc.nat(100_000)), {
    minLength: 400,
    maxLength: 900,
  });
  fc.assert(
    fc.property(long, (list) => {
      const job = new Job(id, wide, WallMs(Date.UTC(2026, 0)), Revision(123456));
      play(job, list, { limit: limit, batch: 7, machineOf });
      assert.ok(encodedSize(encodeJob(job, Epoch(123456))) <= 8192);
    }),
    { seed, numRuns: 30 },
  );
});

void test('a record that takes the place of ours keeps what we know of the attempts that both name', () => {
  const [a, b] = [MachineId('vm-000001'), MachineId('vm-000002')];
  const ours = new Job(id, spec({ taskCount: 4 }), WallMs(5), Revision(7));
  ours.placeTasks([{ index: 0, machine: a }], now);
  const late = decodeJob(id, encodeJob(ours, Epoch(3)), Revision(8), now);
  const first = ours.placements.get(0);
  assert.ok(first);
  first.sentInReplyTo = { session: 1, sequence: 9 };
  // A later write of ours, which lost against the late one.
  ours.placeTasks([{ index: 1, machine: b }], now);
  const used = ours.version;
  late.inheritFrom(ours);
  const kept = late.placements.get(0);
  assert.deepEqual([kept?.sentInReplyTo, kept?.inherited], [{ session: 1, sequence: 9 }, false]);
  assert.equal(late.placements.has(1), false);
  assert.ok(late.version > used && late.committedVersion === late.version);
  late.placeTasks([{ index: 1, machine: a }], now);
  assert.equal(late.placements.get(1)?.attempt, 3, 'no attempt number is used twice');
});

void test('damaged records are refused rather than read as finished work', () => {
  const job = new Job(id, spec({ taskCount: 8 }), WallMs(5), Revision(7));
  job.placeTasks([{ index: 0, machine: MachineId('vm-000001') }], now);
  const record = encodeJob(job, Epoch(3));
  const cases: [string, unknown][] = [
    ['a waiting range is missing', { ...record, w: [] }],
    ['a placement is missing', { ...record, p: [] }],
    ['a task is in two states', { ...record, w: [[0, 8]] }],
    ['a placement names no machine', { ...record, m: [] }],
    ['a format to come', { ...record, f: 3 }],
    ['no record', 'x'],
  ];
  for (const [name, data] of cases) {
    assert.throws(() => decodeJob(id, data, Revision(1), now), RecordError, name);
  }
});
