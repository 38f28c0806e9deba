import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { toReport } from '../../src/fleet/machine.js';
import type { Board } from '../../src/leader/board.js';
import type { TermDeps } from '../../src/leader/deps.js';
import type { Gangs } from '../../src/leader/gangs.js';
import type { Orders } from '../../src/leader/orders.js';
import { Reports } from '../../src/leader/reports.js';
import { Job } from '../../src/ledger/job.js';
import { Epoch, JobId, MachineId, Revision, WallMs, seconds } from '../../src/units/index.js';
import { emptyFleet } from '../support/fleet.js';
import { spec } from '../support/jobs.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('a job that fails is held back, and kept off machines, for a minute at most', async () => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const fleet = emptyFleet(seconds(24));
  const job = new Job(JobId('run-000001'), spec({ taskCount: 1 }), WallMs(0), Revision(1));
  const board = {
    fleet,
    ledger: { jobs: new Map([[job.id, job]]) },
    unplace: (j: Job, index: number) => j.unplace(index),
  };
  const deps = { clock, log: pino({ level: 'silent' }) };
  const reports = new Reports(
    Epoch(5),
    board as unknown as Board,
    {} as Orders,
    {} as Gangs,
    deps as unknown as TermDeps,
    () => undefined,
  );
  for (let i = 0; i < 15; i++) {
    const id = MachineId(`vm-${i % 3}`);
    const m = fleet.meet(id, { type: 'small', zone: 'a', spot: true }, '');
    job.place([{ index: 0, machine: id }], clock.steady());
    const attempt = job.placed.get(0)?.attempt ?? 0;
    const entry = { task: `${job.id}/0`, attempt, state: 'exited', exitReason: 'error' };
    const beat = {
      session: 1,
      sequence: i,
      fencingToken: 5,
      reclaimNoticeSeconds: null,
      tasks: [entry],
    };
    reports.observe(m, toReport(beat), true);
    assert.equal(job.placed.size, 0);
    const most = clock.steady() + seconds(60);
    for (const until of [job.heldUntil, m.heldUntil, ...job.faultyOn.values()]) {
      assert.ok(until <= most, `failure ${i}: held until ${until} of ${most}`);
    }
    await time.run(time.now + 70_000);
  }
  assert.ok(job.holds > 0);
});
