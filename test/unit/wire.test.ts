import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Beat,
  MAX_BODY,
  decode,
  encode,
  parseSubmission,
  submissionId,
} from '../../src/wire/index.js';
import { spec } from '../support/jobs.js';

const good = spec({});

void test('submissions: each field is checked', () => {
  const cases: [string, Record<string, unknown>, boolean][] = [
    ['as it should be', {}, true],
    ['id of another form', { name_id: 'job-000001' }, false],
    ['id with letters', { name_id: 'run-00a001' }, false],
    ['id missing', { name_id: undefined }, false],
    ['id not text', { name_id: 7 }, false],
    ['docket empty', { docket: '' }, false],
    ['docket a number', { docket: 1 }, false],
    ['desk missing', { desk: undefined }, false],
    ['unknown shape', { shape: 'spiral' }, false],
    ['unknown urgency', { urgency: 'urgent' }, false],
    ['no tasks', { entries: 0 }, false],
    ['most tasks', { entries: 100_000 }, true],
    ['too many tasks', { entries: 100_001 }, false],
    ['part of a task', { entries: 1.5 }, false],
    ['no cpus', { vcpus: 0 }, false],
    ['negative cpus', { vcpus: -1 }, false],
    ['infinite cpus', { vcpus: Infinity }, false],
    ['cpus not a number', { vcpus: NaN }, false],
    ['cpus as text', { vcpus: '4' }, false],
    ['negative gpus', { gpus: -1 }, false],
    ['negative memory', { ram_gb: -0.5 }, false],
    ['image missing', { bundle: undefined }, false],
    ['image size negative', { size_gb: -1 }, false],
    ['types null', { builds: null }, true],
    ['types missing', { builds: undefined }, true],
    ['types not a list', { builds: 'g8' }, false],
    ['types hold a number', { builds: [1] }, false],
    ['zone null', { hall: null }, true],
    ['zone a number', { hall: 3 }, false],
    ['together missing', { together: undefined }, false],
    ['together a number', { together: 1 }, false],
    ['apart as text', { apart: 'no' }, false],
    ['loaners null', { loaners: null }, false],
    ['estimate negative', { expected_s: -3 }, false],
    ['checkpoint infinite', { stamp_every_s: Infinity }, false],
    ['save time missing', { stamp_s: undefined }, false],
    ['due null', { due_s: null }, true],
    ['due missing', { due_s: undefined }, true],
    ['due negative', { due_s: -1 }, false],
    ['an unknown field', { colour: 'red' }, true],
  ];
  for (const [name, change, ok] of cases) {
    const parsed = parseSubmission(encode({ ...good, ...change }));
    assert.equal(parsed.ok, ok, `${name}: ${JSON.stringify(parsed)}`);
  }
});

void test('submissions: bodies that are no submission', () => {
  const cases: [string, Buffer][] = [
    ['empty', Buffer.alloc(0)],
    ['JSON', Buffer.from(JSON.stringify(good))],
    ['a list', encode([good])],
    ['a number', encode(4)],
    ['null', encode(null)],
    ['more than one item', Buffer.concat([encode(good), encode(1)])],
    ['cut short', encode(good).subarray(0, 40)],
    ['too long', encode({ ...good, padding: 'x'.repeat(MAX_BODY) })],
  ];
  for (const [name, body] of cases) assert.equal(parseSubmission(body).ok, false, name);
  assert.equal(submissionId(encode({ ...good, shape: 'spiral' })), 'run-000001');
  assert.equal(submissionId(encode({ ...good, name_id: 'x' })), undefined);
});

void test('integers beyond 32 bits travel as integers', () => {
  const bytes = encode({ baton: 2 ** 40 + 1 });
  assert.equal(bytes[bytes.length - 9], 0x1b);
  assert.deepEqual(decode(bytes), { baton: 2 ** 40 + 1 });
});

void test('reports: null and missing fields are alike, unknown ones are ignored', () => {
  const base = { box: 'vm-000001', addr: '10.1.0.1:9000', build: 'a', hall: 'z', loaners: true };
  const beat = { ...base, shift: 1, tally: 2, baton: 3, entries: [] };
  assert.ok(Beat.safeParse(beat).success);
  assert.ok(Beat.safeParse({ ...beat, recall_s: null, extra: 1 }).success);
  assert.ok(!Beat.safeParse({ ...beat, tally: -1 }).success);
  assert.ok(!Beat.safeParse(base).success);
});
