/**
 * Checks when a worker may forget an attempt that has exited. If it forgets an attempt too early, a start command
 * that is still in flight, or a late copy of one, runs the task again. If it forgets a completion before the
 * store has it, the completion is lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../src/config/settings.js';
import { AttemptClearance } from '../../src/leader/attempt-clearance.js';
import { FencingTokens } from '../../src/leader/fencing-tokens.js';
import type { FinalState } from '../../src/ledger/job.js';
import { Epoch, MachineId, Revision, SteadyMs } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { emptyFleet, createPlacedTask } from '../support/fleet.js';
import { settingsFile } from '../support/settings-file.js';

const settings = parseSettings(settingsFile());
const epoch = Epoch(50);
const machineId = MachineId('vm-1');

/** An attempt that has exited, with the state of its job and of its direct start command. */
interface Attempt {
  readonly exitReason: string;
  readonly job: 'live' | 'completionUnstored' | 'unknown' | FinalState;
  readonly spec: Partial<JobSpec>;
  readonly isStartedDirectly: boolean;
}

const WITHOUT_QUOTA: Partial<JobSpec> = { team: 'without-quota' };

const finalState = (status: FinalState['status'], team: string): FinalState => ({
  status,
  taskCount: 1,
  doneCount: 1,
  team,
  reason: '',
});

/** Whether the worker may forget the attempt at once, and whether it may with a response that raises its token. */
function clearanceOf(attempt: Attempt): [boolean, boolean] {
  const fleet = emptyFleet(settings.workers.lease);
  const { job, placement, key } = createPlacedTask(fleet, machineId, SteadyMs(0), attempt.spec);
  if (attempt.exitReason === 'done') job.completeTask(0);
  else job.requeueTask(0);
  if (attempt.job !== 'completionUnstored') job.committedVersion = job.version;
  const machine = fleet.machines.get(machineId);
  assert.ok(machine);
  const tokens = new FencingTokens(epoch, { lastCommittedRevision: Revision(epoch + 1) });
  if (attempt.isStartedDirectly)
    machine.directStarts.recordSent({
      task: key,
      attempt: placement.attempt,
      fencingToken: tokens.tokenFor(machine),
    });
  const final = typeof attempt.job === 'string' ? undefined : attempt.job;
  const clearance = new AttemptClearance({ finalState: () => final }, tokens, settings);
  const status = {
    task: key,
    attempt: placement.attempt,
    state: 'exited',
    exitReason: attempt.exitReason,
  };
  const isLive = attempt.job === 'live' || attempt.job === 'completionUnstored';
  const liveJob = isLive ? job : undefined;
  const canClear = (): boolean =>
    clearance.canClear(machine, status, { job: job.id, index: 0 }, liveJob);
  const atOnce = canClear();
  assert.ok(tokens.raise(machine, SteadyMs(1)));
  return [atOnce, canClear()];
}

void test('an attempt whose start would do harm may be forgotten only under a higher token, since a copy of it may arrive at any time', () => {
  const completed: Attempt = {
    exitReason: 'done',
    job: 'live',
    spec: WITHOUT_QUOTA,
    isStartedDirectly: false,
  };
  const startedDirectly: Attempt = { ...completed, isStartedDirectly: true };
  const failed = { exitReason: 'error' };
  const done = finalState('done', 'without-quota');
  const aborted = finalState('aborted', 'without-quota');
  const cases: [name: string, attempt: Attempt, atOnce: boolean, withHigherToken: boolean][] = [
    ['completed, which the store has recorded', completed, true, true],
    [
      'completed, which the store has not recorded',
      { ...completed, job: 'completionUnstored' },
      false,
      false,
    ],
    ['failed', { ...completed, ...failed }, true, true],
    ['completed, of an unknown job', { ...completed, job: 'unknown' }, true, true],
    ['failed after a direct start', { ...startedDirectly, ...failed }, false, true],
    ['completed: a copy of its start would exit at once', startedDirectly, true, true],
    [
      'completed, but its team has a quota',
      { ...startedDirectly, spec: { team: 'vision' } },
      false,
      true,
    ],
    ['completed, of a finished job', { ...startedDirectly, job: done }, true, true],
    ['completed, of a cancelled job', { ...startedDirectly, job: aborted }, false, true],
    ['failed, of a finished job', { ...startedDirectly, ...failed, job: done }, true, true],
    ['failed, of a cancelled job', { ...startedDirectly, ...failed, job: aborted }, false, true],
    [
      'completed, of a finished job whose team has a quota',
      { ...startedDirectly, job: finalState('done', 'vision') },
      false,
      true,
    ],
    [
      'completed after a direct start, which the store has not recorded',
      { ...startedDirectly, job: 'completionUnstored' },
      false,
      false,
    ],
    [
      'completed, but its job must run in one zone',
      { ...startedDirectly, spec: { ...WITHOUT_QUOTA, singleZone: true } },
      false,
      true,
    ],
    [
      'completed, but its job must be spread over two zones',
      { ...startedDirectly, spec: { ...WITHOUT_QUOTA, spreadZones: true } },
      false,
      true,
    ],
    [
      'completed after a direct start, of an unknown job',
      { ...startedDirectly, job: 'unknown' },
      false,
      true,
    ],
  ];
  for (const [name, attempt, atOnce, withHigherToken] of cases)
    assert.deepEqual(clearanceOf(attempt), [atOnce, withHigherToken], name);
});

void test('an attempt that is still placed on its machine is not forgotten', () => {
  const fleet = emptyFleet(settings.workers.lease);
  const { job, placement, key } = createPlacedTask(fleet, machineId, SteadyMs(0));
  const machine = fleet.machines.get(machineId);
  assert.ok(machine);
  const tokens = new FencingTokens(epoch, { lastCommittedRevision: Revision(epoch) });
  const status = { task: key, attempt: placement.attempt, state: 'exited', exitReason: 'error' };
  const ref = { job: job.id, index: 0 };
  const clearance = new AttemptClearance({ finalState: () => undefined }, tokens, settings);
  assert.equal(clearance.canClear(machine, status, ref, job), false);
});
