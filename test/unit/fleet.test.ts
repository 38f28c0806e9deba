/**
 * Checks what the controller knows of a machine: its newest status, its lease, its load, and which attempts are
 * proven absent. A late or duplicate message must not replace newer facts: if an attempt counts as absent too early,
 * its task runs twice.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isProvenAbsent, type StartRecord } from '../../src/fleet/attempt-absence.js';
import { DirectStarts, type DirectStart } from '../../src/fleet/direct-starts.js';
import { ImageCache } from '../../src/fleet/image-cache.js';
import { computeLoad } from '../../src/fleet/machine-load.js';
import { Machine } from '../../src/fleet/machine.js';
import { workerLeaseEnd } from '../../src/fleet/worker-lease.js';
import {
  attemptKey,
  toWorkerStatus,
  type StatusSource,
  type WorkerStatus,
} from '../../src/fleet/worker-status.js';
import { Epoch, JobId, MachineId, SteadyMs, seconds, taskKey } from '../../src/units/index.js';

const epoch = Epoch(50);
const key = 'run-000001/0';
const statusWith = (change: Partial<Parameters<typeof toWorkerStatus>[0]>): WorkerStatus =>
  toWorkerStatus({
    session: 1,
    sequence: 10,
    fencingToken: 50,
    reclaimNoticeSeconds: null,
    tasks: [],
    ...change,
  });
const directStart = (attempt: number, fencingToken: number): DirectStart => ({
  task: taskKey(JobId('run-000001'), 0),
  attempt,
  fencingToken,
});
const createMachine = (): Machine =>
  new Machine(MachineId('vm-1'), { machineType: 'a', zone: 'z', spot: true }, 10, SteadyMs(0));

void test('statuses are ordered by session and sequence number, not by their arrival', () => {
  type Order = [session: number, sequence: number];
  const cases: [name: string, first: Order, second: Order, isFresh: boolean][] = [
    ['the next status', [1, 10], [1, 11], true],
    ['a duplicate', [1, 10], [1, 10], false],
    ['a delayed status', [1, 10], [1, 9], false],
    ['a new session, whose sequence numbers start again', [1, 10], [2, 1], true],
    ['a late status of the previous session', [2, 1], [1, 99], false],
  ];
  const tokens: [name: string, first: number, second: number, isFresh: boolean][] = [
    ['a higher token', 50, 51, true],
    ['the same token', 51, 51, true],
    ['a lower token, as only before or just after a restart', 51, 50, false],
  ];
  for (const [name, first, second, isFresh] of tokens) {
    const machine = createMachine();
    machine.recordStatus(statusWith({ sequence: 10, fencingToken: first }), SteadyMs(1));
    const next = statusWith({ sequence: 11, fencingToken: second });
    assert.equal(machine.recordStatus(next, SteadyMs(2)), isFresh, name);
  }
  for (const [name, [session1, sequence1], [session2, sequence2], isFresh] of cases) {
    const machine = createMachine();
    const first = statusWith({ session: session1, sequence: sequence1 });
    assert.ok(machine.recordStatus(first, SteadyMs(1)));
    const second = statusWith({ session: session2, sequence: sequence2 });
    assert.equal(machine.recordStatus(second, SteadyMs(2)), isFresh, name);
  }
});

void test('when a lease expires, direct starts and late statuses of its session are dropped', () => {
  const machine = createMachine();
  machine.recordStatus(statusWith({ session: 3, sequence: 5 }), SteadyMs(1));
  machine.directStarts.recordSent(directStart(1, 50));
  machine.expireLease();
  assert.equal(machine.directStarts.size, 0);
  // This status was delayed: the worker has dropped these tasks since.
  const late = statusWith({ session: 3, sequence: 6 });
  assert.equal(machine.recordStatus(late, SteadyMs(9)), false);
  const next = statusWith({ session: 4, sequence: 1 });
  assert.equal(machine.recordStatus(next, SteadyMs(9)), true);
});

void test('a reclaim notice that newer statuses lack is dropped as a late copy', () => {
  const machine = createMachine();
  machine.recordStatus(statusWith({ sequence: 5, reclaimNoticeSeconds: 9 }), SteadyMs(1));
  assert.ok(machine.isDraining);
  machine.recordStatus(statusWith({ sequence: 6 }), SteadyMs(2));
  assert.equal(machine.isDraining, false);
});

void test('a lease counts as expired only when it has expired by every clock', () => {
  assert.ok(workerLeaseEnd(SteadyMs(0), seconds(24)) > 24_000 * 1.0005);
});

void test('an attempt is proven absent only if none of its starts can still be delivered', () => {
  const task = { task: key, attempt: 2, state: 'running' };
  const noStarts: readonly DirectStart[] = [];
  type Case = [
    name: string,
    change: Parameters<typeof statusWith>[0],
    source: StatusSource,
    start: StartRecord,
    directStarts: readonly DirectStart[],
    isProven: boolean,
  ];
  const unsent = { isInherited: false };
  const sent = { isInherited: false, startSentInResponseTo: { session: 1, sequence: 9 } };
  const inherited = { isInherited: true };
  const heartbeat = 'heartbeat';
  const cases: Case[] = [
    ['its start was never sent', {}, heartbeat, unsent, noStarts, true],
    ['the status lists it', { tasks: [task] }, heartbeat, unsent, noStarts, false],
    [
      'the status lists another attempt',
      { tasks: [{ ...task, attempt: 1 }] },
      heartbeat,
      unsent,
      noStarts,
      true,
    ],
    [
      'the status lists it as exited',
      { tasks: [{ ...task, state: 'exited' }] },
      heartbeat,
      unsent,
      noStarts,
      true,
    ],
    ['its start was sent in response to an earlier heartbeat', {}, heartbeat, sent, noStarts, true],
    [
      'its start was sent in response to this heartbeat',
      { sequence: 9 },
      heartbeat,
      sent,
      noStarts,
      false,
    ],
    // The response with the start may still be in flight to the worker that responded to the direct commands.
    ['only a response to direct commands is newer', {}, 'commandResponse', sent, noStarts, false],
    [
      'a new session since its start was sent',
      { session: 2, sequence: 1 },
      'commandResponse',
      sent,
      noStarts,
      true,
    ],
    ['its direct start may be delivered', {}, heartbeat, unsent, [directStart(2, 50)], false],
    [
      'its direct start may be delivered after newer messages',
      { fencingToken: 51 },
      heartbeat,
      unsent,
      [directStart(2, 51)],
      false,
    ],
    [
      'the worker has seen a higher token than that of its direct start',
      { fencingToken: 51 },
      heartbeat,
      unsent,
      [directStart(2, 50)],
      true,
    ],
    [
      'the worker says so in a response to direct commands',
      { fencingToken: 51 },
      'commandResponse',
      unsent,
      [directStart(2, 50)],
      true,
    ],
    [
      'a direct start of another attempt may be delivered',
      {},
      heartbeat,
      unsent,
      [directStart(1, 50)],
      true,
    ],
    [
      'its direct start is a repeat, since the status lists it as exited',
      { tasks: [{ ...task, state: 'exited' }] },
      heartbeat,
      unsent,
      [directStart(2, 50)],
      true,
    ],
    // The worker refuses the commands of an earlier leader only once it has seen the current epoch.
    [
      'inherited, and the worker has not seen the epoch',
      { fencingToken: 49 },
      heartbeat,
      inherited,
      noStarts,
      false,
    ],
    ['inherited, and the worker has seen the epoch', {}, heartbeat, inherited, noStarts, true],
  ];
  for (const [name, change, source, start, starts, isProven] of cases) {
    const directStarts = new DirectStarts();
    for (const each of starts) directStarts.recordSent(each);
    const evidence = {
      status: statusWith(change),
      source,
      attempt: attemptKey(key, 2),
      start,
      directStarts,
      epoch,
    };
    assert.equal(isProvenAbsent(evidence), isProven, name);
  }
});

void test('a copy of a status from before a restart, however late and highly numbered, proves no attempt absent', () => {
  const machine = createMachine();
  machine.recordStatus(statusWith({ sequence: 100 }), SteadyMs(1));
  machine.onRestart(statusWith({ sequence: 2 }), SteadyMs(2));
  assert.ok(machine.fencing.isRaiseDue);
  // The response to this heartbeat raised the token and started the attempt.
  assert.ok(machine.recordStatus(statusWith({ sequence: 3 }), SteadyMs(3)));
  const start = { isInherited: false, startSentInResponseTo: { session: 1, sequence: 3 } };
  const running = { task: key, attempt: 2, state: 'running' };
  const current = statusWith({ sequence: 4, fencingToken: 51, tasks: [running] });
  assert.ok(machine.recordStatus(current, SteadyMs(4)));
  const copy = statusWith({ sequence: 60 });
  assert.equal(machine.recordStatus(copy, SteadyMs(5)), false);
  const evidence = { source: 'heartbeat' as const, attempt: attemptKey(key, 2), start, epoch };
  const { status, directStarts } = machine;
  assert.ok(status);
  assert.equal(isProvenAbsent({ ...evidence, status, directStarts }), false);
});

void test('a worker that has restarted may execute starts that were fenced before', () => {
  const machine = createMachine();
  machine.recordStatus(statusWith({ sequence: 5 }), SteadyMs(1));
  machine.directStarts.recordSent(directStart(2, 50));
  machine.recordStatus(statusWith({ sequence: 6, fencingToken: 51 }), SteadyMs(2));
  const isProven = (fencingToken: number): boolean =>
    isProvenAbsent({
      status: statusWith({ sequence: 7, fencingToken }),
      source: 'heartbeat',
      attempt: attemptKey(key, 2),
      start: { isInherited: false },
      directStarts: machine.directStarts,
      epoch,
    });
  assert.equal(isProven(51), true);
  assert.equal(isProven(0), false, 'it has restarted and has seen no token');
  assert.equal(isProven(50), false);
});

void test('the load that is updated incrementally equals the load computed from scratch', () => {
  const sizes = [1, 2, 4].map((cpus) => ({ cpus, gpus: 0, memoryGb: cpus }));
  const resourcesOf = (job: JobId) => sizes[Number(job.slice(-1))];
  const stateArbitrary = fc.constantFrom('fetching', 'running', 'exited');
  const tasksArbitrary = fc.array(fc.tuple(fc.nat(3), fc.nat(2), stateArbitrary), { maxLength: 6 });
  const stepArbitrary = fc.tuple(
    fc.constantFrom('assign', 'unassign', 'status', 'image'),
    fc.nat(3),
    tasksArbitrary,
  );
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const machine = createMachine();
      let sequence = 0;
      for (const [kind, number, randomTasks] of steps) {
        // Job 3, of unknown size, may be reported but is never placed.
        const job = JobId(`run-${number}`);
        const task = {
          job,
          index: 0,
          attempt: 1,
          resources: sizes[number % 3]!,
          image: `img-${number % 2}`,
          placedAt: SteadyMs(0),
        };
        if (kind === 'assign' && number < 3) machine.assign(taskKey(job, 0), task);
        else if (kind === 'unassign') machine.unassign(taskKey(job, 0));
        else if (kind === 'image') machine.recordImageUse(`img-${number}`, 4);
        else {
          const reported = randomTasks.map(([jobNumber, attempt, taskState]) => ({
            task: `run-${jobNumber}/0`,
            attempt,
            state: taskState,
          }));
          const status = statusWith({ sequence: ++sequence, tasks: reported });
          machine.recordStatus(status, SteadyMs(sequence));
        }
        assert.deepEqual(machine.load(resourcesOf), computeLoad(machine, resourcesOf));
      }
    }),
    { seed: 20261202 },
  );
});

void test('the image cache evicts the least recently used images', () => {
  const cache = new ImageCache(10);
  cache.recordUse('a', 4);
  cache.recordUse('b', 4);
  cache.recordUse('a', 4);
  cache.recordUse('c', 4);
  assert.deepEqual([cache.has('a'), cache.has('b'), cache.has('c')], [true, false, true]);
  cache.recordUse('huge', 20);
  assert.deepEqual([cache.has('a'), cache.has('huge')], [false, true]);
});
