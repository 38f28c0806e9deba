/** When a worker may forget an attempt that has exited. */
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
const id = MachineId('vm-1');
const WITHOUT_QUOTA: Partial<JobSpec> = { team: 'without-quota' };

/** An attempt that has exited, and what is known of its job and of its start. */
interface Attempt {
  readonly exitReason: string;
  readonly job: 'live' | 'completionUnstored' | 'unknown' | FinalState;
  readonly spec: Partial<JobSpec>;
  readonly push: 'none' | 'unacknowledged' | 'acknowledged';
}

const finalState = (status: FinalState['status'], team: string): FinalState => ({
  status,
  taskCount: 1,
  doneCount: 1,
  team,
  reason: '',
});

/** Whether the attempt may be forgotten at once, and after so long. */
async function clearance(attempt: Attempt, after: DurationMs): Promise<[boolean, boolean]> {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const fleet = emptyFleet(lease);
  const { job, placement, key } = createPlacedTask(fleet, id, clock.steady(), attempt.spec);
  if (attempt.exitReason === 'done') job.completeTask(0);
  else job.requeueTask(0);
  if (attempt.job !== 'completionUnstored') job.committedVersion = job.version;
  const machine = fleet.machines.get(id);
  assert.ok(machine);
  const pushed = attemptKey(key, placement.attempt);
  if (attempt.push !== 'none') machine.directStarts.recordSent(pushed);
  if (attempt.push === 'acknowledged') machine.directStarts.recordAcknowledged(pushed);
  const final = typeof attempt.job === 'string' ? undefined : attempt.job;
  const isLive = attempt.job === 'live' || attempt.job === 'completionUnstored';
  const subject = new AttemptClearance({ finalState: () => final }, { clock, settings });
  const status = {
    task: key,
    attempt: placement.attempt,
    state: 'exited',
    exitReason: attempt.exitReason,
  };
  const canClear = (): boolean =>
    subject.canClear(machine, status, { job: job.id, index: 0 }, isLive ? job : undefined);
  const atOnce = canClear();
  await time.run(after);
  return [atOnce, canClear()];
}

void test('an attempt is forgotten when no start of it can be delivered that would do harm', async () => {
  const plain: Attempt = { exitReason: 'done', job: 'live', spec: WITHOUT_QUOTA, push: 'none' };
  const pushed: Attempt = { ...plain, push: 'acknowledged' };
  const failed = { exitReason: 'error' };
  const done = finalState('done', 'without-quota');
  const aborted = finalState('aborted', 'without-quota');
  const cases: [name: string, attempt: Attempt, atOnce: boolean, later: boolean][] = [
    ['completed, and the store has that', plain, true, true],
    ['completed, and the store lacks that', { ...plain, job: 'completionUnstored' }, false, false],
    ['failed', { ...plain, ...failed }, true, true],
    ['of an unknown job', { ...plain, job: 'unknown' }, true, true],
    ['a pushed start may be delivered', { ...plain, push: 'unacknowledged' }, false, false],
    ['failed, so a duplicate of its start would run', { ...pushed, ...failed }, false, true],
    ['completed, so a duplicate of its start ends at once', pushed, true, true],
    ['completed, but its team has a quota', { ...pushed, spec: { team: 'vision' } }, false, true],
    [
      'completed, but its job must be in one zone',
      { ...pushed, spec: { ...WITHOUT_QUOTA, singleZone: true } },
      false,
      true,
    ],
    [
      'completed, but its job must be in two zones',
      { ...pushed, spec: { ...WITHOUT_QUOTA, spreadZones: true } },
      false,
      true,
    ],
    ['completed, of a job that is done', { ...pushed, job: done }, true, true],
    ['completed, of a cancelled job', { ...pushed, job: aborted }, false, true],
    [
      'completed, of a job whose team has a quota',
      { ...pushed, job: finalState('done', 'vision') },
      false,
      true,
    ],
    ['completed, of an unknown job, and pushed', { ...pushed, job: 'unknown' }, false, true],
  ];
  for (const [name, attempt, atOnce, later] of cases) {
    assert.deepEqual(await clearance(attempt, ms(3 * lease)), [atOnce, later], name);
    assert.deepEqual(
      await clearance(attempt, ms(3 * lease - 1)),
      [atOnce, atOnce],
      `${name}: a duplicate may still be delivered`,
    );
  }
});
