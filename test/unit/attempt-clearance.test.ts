/**
 * Checks when a worker may forget an attempt that has exited. If it forgets an attempt too early, a start command
 * that is still in flight, or a late duplicate of one, runs the task again. If it forgets a completion before the
 * store has it, the completion is lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../src/config/settings.js';
import { attemptKey } from '../../src/fleet/worker-status.js';
import { AttemptClearance } from '../../src/leader/attempt-clearance.js';
import type { FinalState } from '../../src/ledger/job.js';
import { MachineId, ms, type DurationMs } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { emptyFleet, createPlacedTask } from '../support/fleet.js';
import { settingsFile } from '../support/settings-file.js';

const settings = parseSettings(settingsFile());
const { lease } = settings.workers;
const machineId = MachineId('vm-1');
const WITHOUT_QUOTA: Partial<JobSpec> = { team: 'without-quota' };

/** An attempt that has exited, with the state of its job and of its direct start command. */
interface Attempt {
  readonly exitReason: string;
  readonly job: 'live' | 'completionUnstored' | 'unknown' | FinalState;
  readonly spec: Partial<JobSpec>;
  readonly directStart: 'none' | 'unacknowledged' | 'acknowledged';
}

const finalState = (status: FinalState['status'], team: string): FinalState => ({
  status,
  taskCount: 1,
  doneCount: 1,
  team,
  reason: '',
});

/** Whether the worker may forget the attempt at once, and whether it may after `delay`. */
async function clearanceOf(attempt: Attempt, delay: DurationMs): Promise<[boolean, boolean]> {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const fleet = emptyFleet(lease);
  const { job, placement, key } = createPlacedTask(fleet, machineId, clock.steady(), attempt.spec);
  if (attempt.exitReason === 'done') job.completeTask(0);
  else job.requeueTask(0);
  if (attempt.job !== 'completionUnstored') job.committedVersion = job.version;
  const machine = fleet.machines.get(machineId);
  assert.ok(machine);
  const startedAttempt = attemptKey(key, placement.attempt);
  if (attempt.directStart !== 'none') machine.directStarts.recordSent(startedAttempt);
  if (attempt.directStart === 'acknowledged')
    machine.directStarts.recordAcknowledged(startedAttempt);
  const final = typeof attempt.job === 'string' ? undefined : attempt.job;
  const isLive = attempt.job === 'live' || attempt.job === 'completionUnstored';
  const clearance = new AttemptClearance({ finalState: () => final }, { clock, settings });
  const status = {
    task: key,
    attempt: placement.attempt,
    state: 'exited',
    exitReason: attempt.exitReason,
  };
  const canClear = (): boolean =>
    clearance.canClear(machine, status, { job: job.id, index: 0 }, isLive ? job : undefined);
  const atOnce = canClear();
  await time.run(delay);
  return [atOnce, canClear()];
}

void test('an attempt may be forgotten once no start of it can arrive that would do harm', async () => {
  const completed: Attempt = {
    exitReason: 'done',
    job: 'live',
    spec: WITHOUT_QUOTA,
    directStart: 'none',
  };
  const startedDirectly: Attempt = { ...completed, directStart: 'acknowledged' };
  const failed = { exitReason: 'error' };
  const done = finalState('done', 'without-quota');
  const aborted = finalState('aborted', 'without-quota');
  const cases: [name: string, attempt: Attempt, atOnce: boolean, afterMaxDelay: boolean][] = [
    ['completed, which the store has recorded', completed, true, true],
    [
      'completed, which the store has not recorded',
      { ...completed, job: 'completionUnstored' },
      false,
      false,
    ],
    ['failed', { ...completed, ...failed }, true, true],
    ['completed, of an unknown job', { ...completed, job: 'unknown' }, true, true],
    [
      'its direct start may still be delivered',
      { ...completed, directStart: 'unacknowledged' },
      false,
      false,
    ],
    [
      'failed: a duplicate of its start would run again',
      { ...startedDirectly, ...failed },
      false,
      true,
    ],
    ['completed: a duplicate of its start would exit at once', startedDirectly, true, true],
    [
      'completed, but its team has a quota',
      { ...startedDirectly, spec: { team: 'vision' } },
      false,
      true,
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
    ['completed, of a finished job', { ...startedDirectly, job: done }, true, true],
    ['completed, of a cancelled job', { ...startedDirectly, job: aborted }, false, true],
    [
      'completed, of a finished job whose team has a quota',
      { ...startedDirectly, job: finalState('done', 'vision') },
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
  for (const [name, attempt, atOnce, afterMaxDelay] of cases) {
    assert.deepEqual(await clearanceOf(attempt, ms(3 * lease)), [atOnce, afterMaxDelay], name);
    assert.deepEqual(
      await clearanceOf(attempt, ms(3 * lease - 1)),
      [atOnce, atOnce],
      `${name}: a duplicate may still be delivered`,
    );
  }
});
