/**
 * Checks the backoff of jobs and machines after failed tasks, which the statuses of machines contain. A job that
 * keeps failing on every machine must not grow a backoff or a quarantine that outlasts a minute, during which it and
 * other jobs would wait although resources are free.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { toWorkerStatus } from '../../src/fleet/worker-status.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import { StatusReconciler } from '../../src/leader/status-reconciler.js';
import { Job } from '../../src/ledger/job.js';
import { Epoch, JobId, MachineId, Revision, WallMs, seconds } from '../../src/units/index.js';
import { emptyFleet } from '../support/fleet.js';
import { jobSpec } from '../support/job-spec.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';

void test('a job that keeps failing is delayed, and kept off machines, for a minute at most', async () => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  const fleet = emptyFleet(seconds(24));
  const job = new Job(JobId('run-000001'), jobSpec({ taskCount: 1 }), WallMs(0), Revision(1));
  const placements = {
    fleet,
    ledger: { jobs: new Map([[job.id, job]]) },
    requeueTask: (requeued: Job, index: number) => requeued.requeueTask(index),
  };
  const reconciler = new StatusReconciler(Epoch(5), placements as unknown as PlacementIndex, {
    clock,
    log: pino({ level: 'silent' }),
  });
  for (let i = 0; i < 15; i++) {
    const machineId = MachineId(`vm-${i % 3}`);
    const machine = fleet.upsertMachine(
      machineId,
      { machineType: 'small', zone: 'a', spot: true },
      '',
    );
    job.placeTasks([{ index: 0, machine: machineId }], clock.steady());
    const attempt = job.placements.get(0)?.attempt ?? 0;
    const task = { task: `${job.id}/0`, attempt, state: 'exited', exitReason: 'error' };
    const heartbeat = {
      session: 1,
      sequence: i,
      fencingToken: 5,
      reclaimNoticeSeconds: null,
      tasks: [task],
    };
    reconciler.observe(machine, toWorkerStatus(heartbeat), 'heartbeat');
    assert.equal(job.placements.size, 0);
    const latestAllowed = clock.steady() + seconds(60);
    const backoffEnds = [
      job.backoffUntil,
      machine.quarantinedUntil,
      ...job.avoidedMachines.values(),
    ];
    for (const until of backoffEnds) {
      assert.ok(
        until <= latestAllowed,
        `failure ${i}: delayed until ${until}, allowed until ${latestAllowed}`,
      );
    }
    await time.run(time.now + 70_000);
  }
  assert.ok(job.backoffCount > 0);
});
