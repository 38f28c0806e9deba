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
  readonly job: 'live' | 'completionUnstored' | 'unknown';
  readonly spec: Partial<JobSpec>;
  readonly isStartedDirectly: boolean;
}

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
  const clearance = new AttemptClearance(tokens);
  const status = {
    task: key,
    attempt: placement.attempt,
    state: 'exited',
    exitReason: attempt.exitReason,
  };
  const liveJob = attempt.job === 'unknown' ? undefined : job;
  const canClear = (): boolean =>
    clearance.canClear(machine, status, { job: job.id, index: 0 }, liveJob);
  const atOnce = canClear();
  assert.ok(tokens.raise(machine));
  return [atOnce, canClear()];
}

void test('an attempt that was started directly may be forgotten only under a higher token, since a copy of its start may arrive at any time', () => {
  const completed: Attempt = {
    exitReason: 'done',
    job: 'live',
    spec: {},
    isStartedDirectly: false,
  };
  const startedDirectly: Attempt = { ...completed, isStartedDirectly: true };
  const failed = { exitReason: 'error' };
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
    // A copy of the start would run the task if its job is cancelled later.
    ['completed after a direct start', startedDirectly, false, true],
    [
      'completed after a direct start, which the store has not recorded',
      { ...startedDirectly, job: 'completionUnstored' },
      false,
      false,
    ],
    [
      'completed, but its job must run in one zone',
      { ...startedDirectly, spec: { singleZone: true } },
      false,
      true,
    ],
    [
      'completed after a direct start, of an unknown or finished job',
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
  assert.equal(new AttemptClearance(tokens).canClear(machine, status, ref, job), false);
});
