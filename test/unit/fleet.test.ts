import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  Machine,
  workerLeaseEnd,
  loadOf,
  isProvenAbsent,
  toWorkerStatus,
  type WorkerStatus,
} from '../../src/fleet/machine.js';
import { ImageCache } from '../../src/fleet/images.js';
import { Epoch, JobId, MachineId, SteadyMs, seconds, taskKey } from '../../src/units/index.js';

const epoch = Epoch(50);
const key = 'run-000001/0';
const report = (change: Partial<Parameters<typeof toWorkerStatus>[0]>): WorkerStatus =>
  toWorkerStatus({
    session: 1,
    sequence: 10,
    fencingToken: 50,
    reclaimNoticeSeconds: null,
    tasks: [],
    ...change,
  });
const machine = (): Machine =>
  new Machine(MachineId('vm-1'), { machineType: 'a', zone: 'z', spot: true }, 10, SteadyMs(0));

void test('reports are ordered by shift and tally, whichever way they came', () => {
  const cases: [string, [number, number], [number, number], boolean][] = [
    ['the next one', [1, 10], [1, 11], true],
    ['a repeat', [1, 10], [1, 10], false],
    ['one that was held back', [1, 10], [1, 9], false],
    ['a new session counts from anew', [1, 10], [2, 1], true],
    ['a late one of the session before', [2, 1], [1, 99], false],
  ];
  for (const [name, [s0, t0], [s1, t1], fresh] of cases) {
    const m = machine();
    assert.ok(m.recordStatus(report({ session: s0, sequence: t0 }), SteadyMs(1)));
    assert.equal(m.recordStatus(report({ session: s1, sequence: t1 }), SteadyMs(2)), fresh, name);
  }
});

void test('what a session left behind ends with its lease', () => {
  const m = machine();
  m.recordStatus(report({ session: 3, sequence: 5 }), SteadyMs(1));
  m.unacknowledgedStarts.add('run-000001/0#1');
  m.expireLease();
  assert.equal(m.unacknowledgedStarts.size, 0);
  // Held back on the way: the worker has long dropped these tasks.
  assert.equal(m.recordStatus(report({ session: 3, sequence: 6 }), SteadyMs(9)), false);
  assert.equal(m.recordStatus(report({ session: 4, sequence: 1 }), SteadyMs(9)), true);
});

void test('a notice that newer reports do not show was a late copy of another time', () => {
  const m = machine();
  m.recordStatus(report({ sequence: 5, reclaimNoticeSeconds: 9 }), SteadyMs(1));
  assert.ok(m.isDraining);
  m.recordStatus(report({ sequence: 6 }), SteadyMs(2));
  assert.equal(m.isDraining, false);
});

void test('a lease counts as expired only when it has on every clock', () => {
  assert.ok(workerLeaseEnd(SteadyMs(0), seconds(24)) > 24_000 * 1.0005);
});

void test('proofs of absence', () => {
  const entry = { task: key, attempt: 2, state: 'running' };
  const none = new Set<string>();
  type Case = [
    name: string,
    report: Parameters<typeof report>[0],
    beat: boolean,
    how: Parameters<typeof isProvenAbsent>[4],
    doubts: ReadonlySet<string>,
    proven: boolean,
  ];
  const never = { inherited: false, sent: undefined };
  const sent = { inherited: false, sent: { session: 1, sequence: 9 } };
  const old = { inherited: true, sent: undefined };
  const cases: Case[] = [
    ['never sent', {}, true, never, none, true],
    ['it is there', { tasks: [entry] }, true, never, none, false],
    ['another attempt is there', { tasks: [{ ...entry, attempt: 1 }] }, true, never, none, true],
    ['it has ended there', { tasks: [{ ...entry, state: 'exited' }] }, true, never, none, true],
    ['sent with the answer to an earlier report', {}, true, sent, none, true],
    ['sent with the answer to this very report', { sequence: 9 }, true, sent, none, false],
    // The answer with the start is still on its way to the worker that answered our command.
    ['only an answer to a command is newer', {}, false, sent, none, false],
    ['a new session since it was sent', { session: 2, sequence: 1 }, false, sent, none, true],
    ['a direct start may still arrive', {}, true, never, new Set([`${key}#2`]), false],
    ['a direct start of another attempt may', {}, true, never, new Set([`${key}#1`]), true],
    // What an earlier leader sent is refused only once our epoch was seen.
    ['inherited, our epoch not seen', { fencingToken: 49 }, true, old, none, false],
    ['inherited, our epoch seen', {}, true, old, none, true],
  ];
  for (const [name, r, beat, how, doubts, proven] of cases) {
    assert.equal(isProvenAbsent(report(r), beat, key, 2, how, doubts, epoch), proven, name);
  }
});

void test('the load that is kept is the load worked out anew', () => {
  const sizes = [1, 2, 4].map((cpus) => ({ cpus, gpus: 0, memoryGb: cpus }));
  const sizeOf = (job: JobId) => sizes[Number(job.slice(-1))];
  const status = fc.constantFrom('fetching', 'running', 'exited');
  const entries = fc.array(fc.tuple(fc.nat(3), fc.nat(2), status), { maxLength: 6 });
  const move = fc.tuple(
    fc.constantFrom('assign', 'unassign', 'report', 'image'),
    fc.nat(3),
    entries,
  );
  fc.assert(
    fc.property(fc.array(move, { maxLength: 40 }), (moves) => {
      const m = machine();
      let tally = 0;
      for (const [what, n, list] of moves) {
        // A job that nobody knows (3) may be reported but is never placed.
        const job = JobId(`run-${n}`);
        const task = {
          job,
          index: 0,
          attempt: 1,
          resources: sizes[n % 3]!,
          image: `img-${n % 2}`,
          placedAt: SteadyMs(0),
        };
        if (what === 'assign' && n < 3) m.assign(taskKey(job, 0), task);
        else if (what === 'unassign') m.unassign(taskKey(job, 0));
        else if (what === 'image') m.noteImageUse(`img-${n}`, 4);
        else {
          const shown = list.map(([k, t, s]) => ({ task: `run-${k}/0`, attempt: t, state: s }));
          m.recordStatus(report({ sequence: ++tally, tasks: shown }), SteadyMs(tally));
        }
        assert.deepEqual(m.load(sizeOf), loadOf(m, sizeOf));
      }
    }),
    { seed: 20261202 },
  );
});

void test('the image cache forgets what was used least lately', () => {
  const c = new ImageCache(10);
  c.use('a', 4);
  c.use('b', 4);
  c.use('a', 4);
  c.use('c', 4);
  assert.deepEqual([c.has('a'), c.has('b'), c.has('c')], [true, false, true]);
  c.use('huge', 20);
  assert.deepEqual([c.has('a'), c.has('huge')], [false, true]);
});
