/**
 * Checks the phases of a gang and the action that each requires. Guards against a gang of which some tasks keep
 * running after another was lost, against a checkpoint that starts too late to be saved before a reclaim, and
 * against a gang that is run again although one of its tasks has completed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import {
  nextGangAction,
  gangPhase,
  type GangAction,
  type GangPhase,
  type GangTask,
  type GangState,
} from '../../src/leader/gang-lifecycle.js';
import { PlacementIndex } from '../../src/leader/placement-index.js';
import { GangManager } from '../../src/leader/gang-manager.js';
import { Job } from '../../src/ledger/job.js';
import type { Ledger } from '../../src/ledger/ledger.js';
import {
  JobId,
  MachineId,
  Revision,
  SteadyMs,
  WallMs,
  ms,
  seconds,
} from '../../src/units/index.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

const running: GangTask = {
  isReported: true,
  isRunning: true,
  isStopping: false,
  timeToReclaim: undefined,
  isReachable: true,
};
const starting: GangTask = { ...running, isRunning: false };
const placed: GangTask = { ...starting, isReported: false };
const reclaimedIn = (inMs: number): GangTask => ({ ...running, timeToReclaim: ms(inMs) });

/** Creates a gang of three tasks, each of which takes three seconds to save a checkpoint. */
const createGang = (tasks: readonly GangTask[], change: Partial<GangState> = {}): GangState => ({
  taskCount: 3,
  waitingCount: 3 - tasks.length,
  doneCount: 0,
  tasks,
  checkpointDuration: seconds(3),
  ...change,
});

void test('the states of its tasks determine the phase of a gang and the next action', () => {
  const cases: [name: string, state: GangState, phase: GangPhase, action: GangAction][] = [
    ['no task is placed', createGang([]), 'waiting', 'none'],
    ['one task is not reported yet', createGang([placed, starting, starting]), 'placed', 'none'],
    [
      'two tasks do not run yet, because they lack the image',
      createGang([starting, starting, running]),
      'starting',
      'none',
    ],
    ['all tasks run', createGang([running, running, running]), 'running', 'none'],
    [
      'a task is lost before the gang runs',
      createGang([starting, placed]),
      'stopping',
      'stopAttempt',
    ],
    [
      'a task is lost while the gang runs',
      createGang([running, running]),
      'stopping',
      'stopAttempt',
    ],
    [
      'a task is lost while another saves its checkpoint',
      createGang([{ ...running, isStopping: true }, running]),
      'stopping',
      'stopAttempt',
    ],
    [
      'a task is being stopped',
      createGang([running, running, { ...running, isStopping: true }]),
      'stopping',
      'none',
    ],
    [
      'a machine is reclaimed in 9 s: too early to stop the gang',
      createGang([running, running, reclaimedIn(9000)]),
      'running',
      'none',
    ],
    [
      'a machine is reclaimed in 5.5 s: just time for a checkpoint',
      createGang([running, reclaimedIn(5500), running]),
      'running',
      'checkpointAndStop',
    ],
    [
      'a machine is reclaimed in 2.5 s: too late for a checkpoint',
      createGang([running, reclaimedIn(2500), running]),
      'running',
      'none',
    ],
    [
      'a machine is reclaimed soon, but the gang has no checkpoints',
      createGang([running, reclaimedIn(5500), running], { checkpointDuration: undefined }),
      'running',
      'none',
    ],
    [
      'a machine is reclaimed soon, but another is unreachable',
      createGang([reclaimedIn(5500), running, { ...running, isReachable: false }]),
      'running',
      'none',
    ],
    [
      'one task is done while the others still count as running',
      createGang([running, running], { doneCount: 1, waitingCount: 0 }),
      'done',
      'complete',
    ],
    [
      'one task is done, and another is lost',
      createGang([running], { doneCount: 1, waitingCount: 1 }),
      'done',
      'complete',
    ],
    ['all tasks are done', createGang([], { doneCount: 3, waitingCount: 0 }), 'done', 'none'],
  ];
  for (const [name, state, phase, action] of cases) {
    assert.equal(gangPhase(state), phase, name);
    assert.equal(nextGangAction(state), action, name);
  }
});

void test('when one task of a gang is done, the whole job is done, in whatever state the others were seen last', async () => {
  const job = new Job(
    JobId('run-000001'),
    jobSpec({ kind: 'ensemble', taskCount: 3 }),
    WallMs(0),
    Revision(1),
  );
  const machine = MachineId('vm-000001');
  job.placeTasks(
    [0, 1, 2].map((index) => ({ index, machine })),
    SteadyMs(0),
  );
  job.requeueTask(2);
  job.completeTask(0);
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const ledger = { jobs: new Map([[job.id, job]]) };
  const placements = new PlacementIndex({
    ledger: ledger as unknown as Ledger,
    fleet: emptyFleet(seconds(24)),
    clock,
    log: pino({ level: 'silent' }),
    events: { onCapacityChanged: () => undefined, onGangBroken: () => undefined },
  });
  const unreachable = {
    canSendTo: () => false,
    scheduleDirectCommands: () => assert.fail('a task was stopped'),
  };
  const gangs = new GangManager(placements, unreachable, clock);
  gangs.onGangBroken(job);
  const wasFinishedAtOnce = job.isFinished;
  await time.run(1);
  assert.equal(wasFinishedAtOnce, false, 'the gang is reviewed in a later turn');
  assert.ok(job.isFinished && job.doneCount === 3);
  assert.equal(job.finalState().status, 'done');
});
