import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { toWorkerStatus } from '../../src/fleet/machine.js';
import type { PlacementIndex } from '../../src/leader/placement-index.js';
import type { TermDependencies } from '../../src/leader/dependencies.js';
import type { GangController } from '../../src/leader/gang-controller.js';
import type { CommandSender } from '../../src/leader/command-sender.js';
import { HeartbeatHandler } from '../../src/leader/heartbeat-handler.js';
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
  const placements = {
    fleet,
    ledger: { jobs: new Map([[job.id, job]]) },
    requeueTask: (j: Job, index: number) => j.requeue(index),
  };
  const deps = { clock, log: pino({ level: 'silent' }) };
  const heartbeats = new HeartbeatHandler(
    Epoch(5),
    placements as unknown as PlacementIndex,
    {} as CommandSender,
    {} as GangController,
    deps as unknown as TermDependencies,
    () => undefined,
  );
  for (let i = 0; i < 15; i++) {
    const id = MachineId(`vm-${i % 3}`);
    const m = fleet.observe(id, { machineType: 'small', zone: 'a', spot: true }, '');
    job.placeTasks([{ index: 0, machine: id }], clock.steady());
    const attempt = job.placements.get(0)?.attempt ?? 0;
    const entry = { task: `${job.id}/0`, attempt, state: 'exited', exitReason: 'error' };
    const beat = {
      session: 1,
      sequence: i,
      fencingToken: 5,
      reclaimNoticeSeconds: null,
      tasks: [entry],
    };
    heartbeats.observe(m, toWorkerStatus(beat), true);
    assert.equal(job.placements.size, 0);
    const most = clock.steady() + seconds(60);
    for (const until of [job.heldBackUntil, m.quarantinedUntil, ...job.avoidedMachines.values()]) {
      assert.ok(until <= most, `failure ${i}: held until ${until} of ${most}`);
    }
    await time.run(time.now + 70_000);
  }
  assert.ok(job.holdCount > 0);
});
