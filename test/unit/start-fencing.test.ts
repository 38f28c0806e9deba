/**
 * Checks when a machine's fencing token is raised and how far. If it is raised too rarely, a start command that arrives late runs
 * a task again; if it exceeds the revisions at which the leader still led, a later leader's commands may be refused.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../src/config/settings.js';
import type { Machine } from '../../src/fleet/machine.js';
import { toWorkerStatus, type WorkerStatus } from '../../src/fleet/worker-status.js';
import { AttemptClearance } from '../../src/leader/attempt-clearance.js';
import { FencingTokens } from '../../src/leader/fencing-tokens.js';
import { StartFencing } from '../../src/leader/start-fencing.js';
import type { FinalState, Job } from '../../src/ledger/job.js';
import {
  Epoch,
  MachineId,
  Revision,
  SteadyMs,
  seconds,
  type JobId,
} from '../../src/units/index.js';
import type { TaskStatus } from '../../src/wire/index.js';
import { createPlacedTask, emptyFleet, type PlacedTask } from '../support/fleet.js';
import { settingsFile } from '../support/settings-file.js';

const EPOCH = Epoch(50);
const LEASE = seconds(24);
const machineId = MachineId('vm-1');

const statusOf = (
  tasks: TaskStatus[],
  change: { session?: number; fencingToken?: number } = {},
): WorkerStatus =>
  toWorkerStatus({
    session: 1,
    sequence: 10,
    fencingToken: EPOCH,
    reclaimNoticeSeconds: null,
    tasks,
    ...change,
  });

/** A machine with one task, whose start was sent directly under the epoch, and 100 later commits. */
class Scene {
  now = SteadyMs(1000);
  lastCommittedRevision = Revision(EPOCH + 100);
  readonly jobs = new Map<JobId, Job>();
  final: FinalState | undefined;
  readonly machine: Machine;
  readonly task: PlacedTask;
  readonly tokens = new FencingTokens(EPOCH, this);
  private readonly fencing: StartFencing;

  constructor() {
    const fleet = emptyFleet(LEASE);
    this.task = createPlacedTask(fleet, machineId, this.now, { team: 'without-quota' });
    const { job } = this.task;
    this.machine = fleet.machines.get(machineId)!;
    this.recordStart();
    const clearance = new AttemptClearance(
      { finalState: () => this.final },
      this.tokens,
      parseSettings(settingsFile()),
    );
    this.fencing = new StartFencing(this.jobs, this.tokens, clearance, { steady: () => this.now });
    this.jobs.set(job.id, job);
  }

  recordStart(): void {
    const { key, placement } = this.task;
    const fencingToken = this.tokens.tokenFor(this.machine);
    this.machine.directStarts.recordSent({ task: key, attempt: placement.attempt, fencingToken });
  }

  taskStatus(state: string, exitReason?: string): TaskStatus {
    const { key, placement } = this.task;
    return { task: key, attempt: placement.attempt, state, exitReason };
  }

  /** Returns by how much the response to a status that is older than the newest one raises the token. */
  raisedByStale(tasks: TaskStatus[], fencingToken: number): number {
    const before = this.tokens.tokenFor(this.machine);
    return (
      this.fencing.tokenForStaleStatus(this.machine, statusOf(tasks, { fencingToken })) - before
    );
  }

  /** Returns by how much a request raises the token. */
  raisedByRequest(): number {
    const before = this.tokens.tokenFor(this.machine);
    return this.fencing.tokenForRequest(this.machine) - before;
  }

  /** Returns by how much the response to a status raises the token. */
  raisedBy(tasks: TaskStatus[], fencingToken: number = EPOCH): number {
    const before = this.tokens.tokenFor(this.machine);
    this.fencing.fence(this.machine, statusOf(tasks, { fencingToken }));
    return this.tokens.tokenFor(this.machine) - before;
  }
}

/** Releases the task of the scene, so that it may be placed elsewhere. */
const requeue = ({ task }: Scene): void => {
  task.job.requeueTask(0);
  task.job.committedVersion = task.job.version;
};

void test('the token is raised if a start that arrives late would run a task, or if an attempt could be forgotten', () => {
  type Case = [
    name: string,
    change: (scene: Scene) => void,
    tasks: (scene: Scene) => TaskStatus[],
    isRaised: boolean,
  ];
  const none = (): TaskStatus[] => [];
  const failed = (scene: Scene): TaskStatus[] => [scene.taskStatus('exited', 'error')];
  const complete = ({ task }: Scene): void => {
    task.job.completeTask(0);
    task.job.committedVersion = task.job.version;
  };
  const finish =
    (status: FinalState['status']) =>
    (scene: Scene): void => {
      const { job } = scene.task;
      scene.jobs.clear();
      scene.final = { ...job.finalState(), status };
    };
  const cases: Case[] = [
    ['the task should run there', () => undefined, none, false],
    ['the task runs there', () => undefined, (scene) => [scene.taskStatus('running')], false],
    ['the job is cancelled', ({ task }) => task.job.cancel(), none, true],
    ['the task is evicted', ({ task }) => (task.placement.evictionGraceSeconds = 0), none, true],
    [
      'the task is evicted and still runs',
      ({ task }) => (task.placement.evictionGraceSeconds = 0),
      (scene) => [scene.taskStatus('running')],
      false,
    ],
    ['the machine is draining', ({ machine }) => (machine.isDecommissioning = true), none, true],
    ['the task is placed elsewhere, and the worker no longer knows it', requeue, none, true],
    ['the task failed', requeue, failed, true],
    ['the task is done, which is stored, and the worker has forgotten it', complete, none, false],
    [
      'the task is done, and its job was cancelled since the worker has forgotten it',
      (scene) => {
        complete(scene);
        scene.task.job.cancel();
      },
      none,
      true,
    ],
    ['the job is done', finish('done'), none, false],
    ['the job has ended by a cancellation', finish('aborted'), none, true],
    ['the task failed, and is still placed there', () => undefined, failed, false],
    [
      'the task failed, and a command is on its way',
      (scene) => {
        requeue(scene);
        scene.machine.hasCommandInFlight = true;
      },
      failed,
      false,
    ],
    [
      'the session with the start has ended',
      ({ machine }) => {
        machine.recordStatus(statusOf([]), SteadyMs(1));
        machine.recordStatus(statusOf([], { session: 2 }), SteadyMs(2));
      },
      none,
      true,
    ],
    [
      'the worker has restarted',
      ({ machine }) => machine.onRestart(statusOf([]), SteadyMs(1)),
      () => [],
      true,
    ],
    ['the lease has expired', ({ machine }) => machine.expireLease(), none, true],
    [
      'nothing was committed since the epoch',
      (scene) => {
        requeue(scene);
        scene.lastCommittedRevision = Revision(EPOCH);
      },
      failed,
      false,
    ],
  ];
  for (const [name, change, tasks, isRaised] of cases) {
    const scene = new Scene();
    change(scene);
    assert.equal(scene.raisedBy(tasks(scene)), isRaised ? 1 : 0, name);
    if (isRaised) assert.equal(scene.raisedBy(tasks(scene)), 0, `${name}: raised once`);
  }
});

void test('a machine whose attempts end one after the other gets a higher token only now and then, unless a late start would do harm', () => {
  const scene = new Scene();
  const { task, machine } = scene;
  task.job.requeueTask(0);
  const failed = [scene.taskStatus('exited', 'error')];
  assert.equal(scene.raisedBy(failed), 1);
  scene.recordStart();
  scene.now = SteadyMs(scene.now + 59_000);
  assert.equal(scene.raisedBy(failed), 0);
  scene.now = SteadyMs(scene.now + 1000);
  assert.equal(scene.raisedBy(failed), 1);
  scene.recordStart();
  machine.hasCommandInFlight = true;
  assert.equal(scene.raisedBy([]), 1, 'the worker has lost the attempt');
});

void test('a token is never lower than an earlier one, and never above the last commit of the term', () => {
  const scene = new Scene();
  const { tokens, machine } = scene;
  scene.lastCommittedRevision = Revision(EPOCH + 2);
  assert.deepEqual(
    [
      tokens.raise(machine, SteadyMs(1)),
      tokens.raise(machine, SteadyMs(1)),
      tokens.raise(machine, SteadyMs(1)),
    ],
    [true, true, false],
  );
  assert.equal(tokens.tokenFor(machine), EPOCH + 2);
  tokens.recordSent(machine, EPOCH + 1);
  assert.equal(tokens.tokenFor(machine), EPOCH + 2);
  // A worker that reports the token of a later leader.
  machine.recordStatus({ ...statusOf([]), fencingToken: EPOCH + 3 }, SteadyMs(1));
  assert.equal(tokens.tokenFor(machine), EPOCH + 2);
  // A worker that was told a higher token before this machine was forgotten.
  scene.lastCommittedRevision = Revision(EPOCH + 9);
  assert.equal(tokens.tokenFor(machine), EPOCH + 3);
});

void test('the token is raised for a worker that may have restarted, if it may execute a start that it has forgotten', () => {
  const nothingCommitted = (scene: Scene): void => {
    scene.lastCommittedRevision = Revision(EPOCH);
  };
  type Case = [
    name: string,
    change: (scene: Scene) => void,
    isReported: boolean,
    fencingToken: number,
    isRaised: boolean,
  ];
  const cases: Case[] = [
    ['no token yet, and the task should run there', () => undefined, false, 0, true],
    ['a token of an earlier leader', () => undefined, false, EPOCH - 1, true],
    ['overtaken by the response to the start', () => undefined, false, EPOCH, false],
    ['no token yet, and the task is placed elsewhere', requeue, false, 0, true],
    ['the present token, and the task is placed elsewhere', requeue, false, EPOCH, true],
    ['the attempt is known, and the task is placed elsewhere', requeue, true, EPOCH, false],
    ['the attempt is known from a copy that came first', requeue, true, 0, false],
    ['the job is cancelled', ({ task }) => task.job.cancel(), false, EPOCH, true],
    [
      'the start has a lower token than the next message',
      ({ tokens, machine }) => void tokens.raise(machine, SteadyMs(1)),
      false,
      0,
      false,
    ],
    ['no direct start was sent', ({ machine }) => machine.directStarts.clear(), false, 0, false],
    ['the lease has expired', ({ machine }) => machine.expireLease(), false, 0, true],
    ['nothing was committed since the epoch', nothingCommitted, false, 0, false],
  ];
  for (const [name, change, isReported, fencingToken, isRaised] of cases) {
    const scene = new Scene();
    change(scene);
    const tasks = isReported ? [scene.taskStatus('exited', 'error')] : [];
    assert.equal(scene.raisedByStale(tasks, fencingToken), isRaised ? 1 : 0, name);
    if (isRaised) assert.equal(scene.raisedByStale(tasks, fencingToken), 0, `${name}: raised once`);
  }
  const scene = new Scene();
  nothingCommitted(scene);
  assert.equal(scene.raisedByStale([], 0), 0);
  scene.lastCommittedRevision = Revision(EPOCH + 1);
  assert.equal(
    scene.raisedByStale([scene.taskStatus('running')], EPOCH),
    1,
    'raised once possible',
  );
});

void test('the token is raised for a worker without a token of the term, whether or not its status is the newest', () => {
  for (const fencingToken of [0, EPOCH - 1, EPOCH]) {
    const scene = new Scene();
    const isRaised = fencingToken < EPOCH;
    assert.equal(scene.raisedBy([], fencingToken), isRaised ? 1 : 0);
    assert.equal(scene.raisedBy([], fencingToken), 0, 'raised once');
    const known = new Scene();
    assert.equal(known.raisedBy([known.taskStatus('running')], fencingToken), 0);
  }
});

void test('a request raises the token if a worker that has restarted could execute a start with it', () => {
  const cases: [name: string, change: (scene: Scene) => void, isRaised: boolean][] = [
    ['the task should run there', () => undefined, false],
    ['the task failed, and the worker still knew the attempt', requeue, true],
    ['the job is cancelled', ({ task }) => task.job.cancel(), true],
    ['the task is evicted', ({ task }) => (task.placement.evictionGraceSeconds = 0), true],
    [
      'the start has a lower token',
      (scene) => {
        requeue(scene);
        scene.tokens.raise(scene.machine, SteadyMs(1));
      },
      false,
    ],
    [
      'the worker has restarted',
      ({ machine }) => machine.onRestart(statusOf([]), SteadyMs(1)),
      true,
    ],
  ];
  for (const [name, change, isRaised] of cases) {
    const scene = new Scene();
    change(scene);
    assert.equal(scene.raisedByRequest(), isRaised ? 1 : 0, name);
    assert.equal(scene.raisedByRequest(), 0, `${name}: raised once`);
  }
});

void test('the token is raised once more than 100 direct starts are kept track of, unless a command is on its way', () => {
  const scene = new Scene();
  const { machine } = scene;
  const running = [scene.taskStatus('running')];
  const startAnother = (): void => {
    const task = `run-000002/${running.length}`;
    running.push({ task, attempt: 1, state: 'running', exitReason: undefined });
    machine.directStarts.recordSent({ task, attempt: 1, fencingToken: EPOCH });
  };
  while (machine.directStarts.size < 100) startAnother();
  assert.equal(scene.raisedBy(running), 0);
  startAnother();
  machine.hasCommandInFlight = true;
  assert.equal(scene.raisedBy(running), 0);
  machine.hasCommandInFlight = false;
  assert.equal(scene.raisedBy(running), 1);
});
