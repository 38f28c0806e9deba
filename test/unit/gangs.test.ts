import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  nextAction,
  phaseOf,
  type GangAction,
  type GangPhase,
  type GangTask,
  type GangView,
} from '../../src/leader/gang-lifecycle.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import { GangController } from '../../src/leader/gang-controller.js';
import type { CommandSender } from '../../src/leader/command-sender.js';
import { Job } from '../../src/ledger/job.js';
import {
  JobId,
  MachineId,
  Revision,
  SteadyMs,
  WallMs,
  ms,
  seconds,
  type Clock,
} from '../../src/units/index.js';
import { spec } from '../support/jobs.js';

const running: GangTask = {
  isReported: true,
  isRunning: true,
  isStopping: false,
  machineLeavesIn: undefined,
  isReachable: true,
};
const gathering: GangTask = { ...running, isRunning: false };
const placed: GangTask = { ...gathering, isReported: false };
const leaving = (inMs: number): GangTask => ({ ...running, machineLeavesIn: ms(inMs) });

/** A gang of three that saves within three seconds. */
const gang = (tasks: readonly GangTask[], change: Partial<GangView> = {}): GangView => ({
  taskCount: 3,
  waitingCount: 3 - tasks.length,
  doneCount: 0,
  tasks,
  checkpointTime: seconds(3),
  ...change,
});

void test('the life cycle of a gang: its phase, and what is to be done', () => {
  const cases: [name: string, view: GangView, phase: GangPhase, action: GangAction][] = [
    ['nothing of it is anywhere', gang([]), 'waiting', 'none'],
    ['not all reported', gang([placed, gathering, gathering]), 'placed', 'none'],
    ['waits for an image', gang([gathering, gathering, running]), 'gathering', 'none'],
    ['runs', gang([running, running, running]), 'running', 'none'],
    ['lost a task before it ran', gang([gathering, placed]), 'stopping', 'endAttempt'],
    ['lost a task as it ran', gang([running, running]), 'stopping', 'endAttempt'],
    [
      'lost a task as it saved',
      gang([{ ...running, isStopping: true }, running]),
      'stopping',
      'endAttempt',
    ],
    [
      'told to save',
      gang([running, running, { ...running, isStopping: true }]),
      'stopping',
      'none',
    ],
    ['a machine leaves late', gang([running, running, leaving(9000)]), 'running', 'none'],
    ['a machine leaves soon', gang([running, leaving(5500), running]), 'running', 'saveAndStop'],
    ['too soon to save', gang([running, leaving(2500), running]), 'running', 'none'],
    [
      'it can not save',
      gang([running, leaving(5500), running], { checkpointTime: undefined }),
      'running',
      'none',
    ],
    [
      'one could not be told',
      gang([leaving(5500), running, { ...running, isReachable: false }]),
      'running',
      'none',
    ],
    [
      'one is done, the others have not been heard of since',
      gang([running, running], { doneCount: 1, waitingCount: 0 }),
      'done',
      'complete',
    ],
    [
      'one is done, another is lost',
      gang([running], { doneCount: 1, waitingCount: 1 }),
      'done',
      'complete',
    ],
    ['all are done', gang([], { doneCount: 3, waitingCount: 0 }), 'done', 'none'],
  ];
  for (const [name, view, phase, action] of cases) {
    assert.equal(phaseOf(view), phase, name);
    assert.equal(nextAction(view), action, name);
  }
});

void test('if one task of a gang is done, all are, wherever the others were seen last', () => {
  const job = new Job(
    JobId('run-000001'),
    spec({ kind: 'ensemble', taskCount: 3 }),
    WallMs(0),
    Revision(1),
  );
  const machine = MachineId('vm-000001');
  job.placeTasks(
    [0, 1, 2].map((index) => ({ index, machine })),
    SteadyMs(0),
  );
  job.requeue(2);
  job.complete(0);
  const placements = {
    completeTask: (j: Job, index: number) => j.complete(index),
    ledger: { jobs: new Map([[job.id, job]]) },
    fleet: { machines: new Map() },
  };
  let review = (): void => undefined;
  const clock = { after: (_: unknown, run: () => void) => (review = run), steady: () => 0 };
  const gangs = new GangController(
    placements as unknown as PlacementIndex,
    {} as CommandSender,
    clock as unknown as Clock,
  );
  gangs.noteBroken(job);
  review();
  assert.ok(job.isSettled && job.doneCount === 3);
  assert.equal(job.finalState().status, 'done');
});
