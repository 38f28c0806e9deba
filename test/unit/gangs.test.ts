/** The life cycle of gangs, and what is done about it. */
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
import { spec } from '../support/jobs.js';
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
const leaving = (inMs: number): GangTask => ({ ...running, timeToReclaim: ms(inMs) });

/** A gang of three tasks that takes three seconds to save a checkpoint. */
const gang = (tasks: readonly GangTask[], change: Partial<GangState> = {}): GangState => ({
  taskCount: 3,
  waitingCount: 3 - tasks.length,
  doneCount: 0,
  tasks,
  checkpointDuration: seconds(3),
  ...change,
});

void test('the phase of a gang and the action that follows from the states of its tasks', () => {
  const cases: [name: string, state: GangState, phase: GangPhase, action: GangAction][] = [
    ['no task is placed', gang([]), 'waiting', 'none'],
    ['not all reported', gang([placed, starting, starting]), 'placed', 'none'],
    [
      'one has not started, for want of its image',
      gang([starting, starting, running]),
      'starting',
      'none',
    ],
    ['all run', gang([running, running, running]), 'running', 'none'],
    ['lost a task before it ran', gang([starting, placed]), 'stopping', 'stopAttempt'],
    ['lost a task while running', gang([running, running]), 'stopping', 'stopAttempt'],
    [
      'lost a task while saving',
      gang([{ ...running, isStopping: true }, running]),
      'stopping',
      'stopAttempt',
    ],
    ['being saved', gang([running, running, { ...running, isStopping: true }]), 'stopping', 'none'],
    [
      'a machine is reclaimed much later',
      gang([running, running, leaving(9000)]),
      'running',
      'none',
    ],
    [
      'a machine is reclaimed soon',
      gang([running, leaving(5500), running]),
      'running',
      'checkpointAndStop',
    ],
    ['too soon to save', gang([running, leaving(2500), running]), 'running', 'none'],
    [
      'it has no checkpoints',
      gang([running, leaving(5500), running], { checkpointDuration: undefined }),
      'running',
      'none',
    ],
    [
      'one machine can not be reached',
      gang([leaving(5500), running, { ...running, isReachable: false }]),
      'running',
      'none',
    ],
    [
      'one is done, the others still count as running',
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
  for (const [name, state, phase, action] of cases) {
    assert.equal(gangPhase(state), phase, name);
    assert.equal(nextGangAction(state), action, name);
  }
});

void test('when one task of a gang is done, all are, wherever the others were seen last', async () => {
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
    scheduleDirectCommands: () => assert.fail('stops a task'),
  };
  const gangs = new GangManager(placements, unreachable, clock);
  gangs.onGangBroken(job);
  const wasFinishedAtOnce = job.isFinished;
  await time.run(1);
  assert.equal(wasFinishedAtOnce, false, 'it is reviewed in a later turn');
  assert.ok(job.isFinished && job.doneCount === 3);
  assert.equal(job.finalState().status, 'done');
});
