/** What is due to be written, in which order, and who is answered when it was. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CommitQueue } from '../../src/ledger/commit-queue.js';
import { CommitWaiters } from '../../src/ledger/commit-waiters.js';
import { FinalStateCache } from '../../src/ledger/final-state-cache.js';
import { Job, WritePriority } from '../../src/ledger/job.js';
import { JobId, Revision, SteadyMs, WallMs } from '../../src/units/index.js';
import type { JobSpec } from '../../src/wire/index.js';
import { ProcessClock, VirtualTime } from '../standin/clock.js';
import { jobSpec } from '../support/job-spec.js';

/** A queue, and jobs in it that are in the store. */
function queueOfJobs() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  let changes = 0;
  const queue = new CommitQueue(clock, () => changes++);
  const job = (number: number, change: Partial<JobSpec> = {}): Job => {
    const id = JobId(`run-00000${number}`);
    const made = new Job(id, jobSpec({ id, ...change }), WallMs(0), Revision(1));
    made.committedVersion = made.version;
    queue.track(made);
    return made;
  };
  const due = () => {
    const { jobs, checkAfter } = queue.dueJobs(clock.steady());
    return { jobs: jobs.map(({ id }) => Number(id.slice(4))), checkAfter };
  };
  return { time, queue, job, due, changes: () => changes };
}

void test('changes are written by the time that their kind allows, admissions first', async () => {
  const { time, job, due, changes } = queueOfJobs();
  const progress = job(1);
  const completion = job(2);
  const placement = job(3);
  const urgent = job(4, { priority: 'high' });
  const admission = job(5);
  job(6);
  assert.deepEqual(due(), { jobs: [], checkAfter: Infinity });
  progress.markChanged(WritePriority.progress);
  completion.markChanged(WritePriority.jobEnd);
  await time.run(500);
  placement.markChanged(WritePriority.placement);
  urgent.markChanged(WritePriority.placement);
  admission.markChanged(WritePriority.userRequest);
  assert.equal(changes(), 5);
  // By then: 5000, 1000, 900, 500 ms, at once.
  assert.deepEqual(due().jobs, [5, 4, 3, 2, 1]);
  placement.hasWriteInFlight = true;
  urgent.committedVersion = urgent.version;
  assert.deepEqual(due(), { jobs: [5, 2, 1], checkAfter: Infinity });
});

void test('progress of a job is written every two seconds, other changes at once', async () => {
  const { time, queue, job, due } = queueOfJobs();
  const first = job(1);
  first.markChanged(WritePriority.progress);
  assert.deepEqual(due().jobs, [1]);
  queue.take(first);
  queue.recordCommit(first);
  await time.run(500);
  first.markChanged(WritePriority.progress);
  assert.deepEqual(due(), { jobs: [], checkAfter: 1500 });
  await time.run(2000);
  assert.deepEqual(due(), { jobs: [1], checkAfter: Infinity });
  queue.recordCommit(first);
  first.markChanged(WritePriority.jobEnd);
  assert.deepEqual(due(), { jobs: [1], checkAfter: Infinity });
  queue.untrack(first);
  queue.putBack(first);
  assert.deepEqual(due(), { jobs: [], checkAfter: Infinity });
});

void test('a record that is too large is not due before its time, and is written alone', async () => {
  const { time, queue, job, due } = queueOfJobs();
  const large = job(1);
  large.markChanged(WritePriority.placement);
  queue.retryInOwnTransaction(large, SteadyMs(2000));
  assert.deepEqual(due(), { jobs: [], checkAfter: 2000 });
  await time.run(2000);
  assert.deepEqual(due(), { jobs: [1], checkAfter: Infinity });
  assert.ok(queue.needsOwnTransaction(large));
  queue.recordCommit(large);
  assert.ok(!queue.needsOwnTransaction(large));
});

void test('waiters are answered once their version is settled, and all when it ends', async () => {
  const waiters = new CommitWaiters();
  const [id, other] = [JobId('run-000001'), JobId('run-000002')];
  const early = waiters.wait(id, 2);
  const late = waiters.wait(id, 3);
  const elsewhere = waiters.wait(other, 1);
  waiters.resolveUpTo(id, 2, true);
  assert.equal(await early, true);
  assert.ok(waiters.has(id));
  waiters.resolveAll(id, false);
  assert.equal(await late, false);
  assert.ok(!waiters.has(id));
  waiters.close();
  assert.equal(await elsewhere, false);
  assert.equal(await waiters.wait(id, 4), false);
  assert.ok(!waiters.has(id));
});

void test('of the final states the latest are kept', () => {
  const cache = new FinalStateCache(2);
  const ids = ['run-000001', 'run-000002', 'run-000003'].map(JobId);
  const final = new Job(ids[0]!, jobSpec({}), WallMs(0), Revision(1)).finalState();
  for (const id of [ids[0]!, ids[1]!, ids[0]!, ids[2]!]) cache.set(id, final);
  assert.deepEqual(
    ids.map((id) => cache.get(id)),
    [final, undefined, final],
  );
});
