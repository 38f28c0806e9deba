/**
 * Checks which records are due to be written, in which order, and when waiters for a commit are resolved. Guards
 * against admissions that wait behind progress updates, against overlapping writes of one job, and against waiters
 * that are never resolved.
 */
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

/** Creates a queue. `addJob` adds a job whose record is committed; `due` returns the numbers of the jobs to write. */
function createQueue() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 0, 0);
  let changeCount = 0;
  const queue = new CommitQueue(clock, () => changeCount++);
  const addJob = (number: number, change: Partial<JobSpec> = {}): Job => {
    const id = JobId(`run-00000${number}`);
    const job = new Job(id, jobSpec({ id, ...change }), WallMs(0), Revision(1));
    job.committedVersion = job.version;
    queue.track(job);
    return job;
  };
  const due = () => {
    const { jobs, checkAfter } = queue.dueJobs(clock.steady());
    return { jobs: jobs.map(({ id }) => Number(id.slice(4))), checkAfter };
  };
  return { time, queue, addJob, due, changeCount: () => changeCount };
}

void test('changes are written in the order of the deadlines that their kinds set, admissions first', async () => {
  const { time, addJob, due, changeCount } = createQueue();
  const progress = addJob(1);
  const completion = addJob(2);
  const placement = addJob(3);
  const urgent = addJob(4, { priority: 'high' });
  const admission = addJob(5);
  addJob(6);
  assert.deepEqual(due(), { jobs: [], checkAfter: Infinity });
  progress.markChanged(WritePriority.progress);
  completion.markChanged(WritePriority.jobEnd);
  await time.run(500);
  placement.markChanged(WritePriority.placement);
  urgent.markChanged(WritePriority.placement);
  admission.markChanged(WritePriority.userRequest);
  assert.equal(changeCount(), 5);
  // Jobs 1 to 4 must be written by 5000, 1000, 900 and 500 ms; job 5 must be written at once.
  assert.deepEqual(due().jobs, [5, 4, 3, 2, 1]);
  placement.hasWriteInFlight = true;
  urgent.committedVersion = urgent.version;
  assert.deepEqual(due(), { jobs: [5, 2, 1], checkAfter: Infinity });
});

void test('progress of a job is written at most every two seconds, other changes at once', async () => {
  const { time, queue, addJob, due } = createQueue();
  const first = addJob(1);
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

void test('a record that is too large is not due before its retry time, and needs its own transaction', async () => {
  const { time, queue, addJob, due } = createQueue();
  const large = addJob(1);
  large.markChanged(WritePriority.placement);
  queue.retryInOwnTransaction(large, SteadyMs(2000));
  assert.deepEqual(due(), { jobs: [], checkAfter: 2000 });
  await time.run(2000);
  assert.deepEqual(due(), { jobs: [1], checkAfter: Infinity });
  assert.ok(queue.needsOwnTransaction(large));
  queue.recordCommit(large);
  assert.ok(!queue.needsOwnTransaction(large));
});

void test('waiters are resolved once the outcome for their version is known, and all when the term ends', async () => {
  const waiters = new CommitWaiters();
  const [id, other] = [JobId('run-000001'), JobId('run-000002')];
  const waiterOfVersion2 = waiters.wait(id, 2);
  const waiterOfVersion3 = waiters.wait(id, 3);
  const waiterOfOtherJob = waiters.wait(other, 1);
  waiters.resolveUpTo(id, 2, true);
  assert.equal(await waiterOfVersion2, true);
  assert.ok(waiters.has(id));
  waiters.resolveAll(id, false);
  assert.equal(await waiterOfVersion3, false);
  assert.ok(!waiters.has(id));
  waiters.close();
  assert.equal(await waiterOfOtherJob, false);
  assert.equal(await waiters.wait(id, 4), false);
  assert.ok(!waiters.has(id));
});

void test('the cache keeps the most recently set final states', () => {
  const cache = new FinalStateCache(2);
  const ids = ['run-000001', 'run-000002', 'run-000003'].map(JobId);
  const final = new Job(ids[0]!, jobSpec({}), WallMs(0), Revision(1)).finalState();
  for (const id of [ids[0]!, ids[1]!, ids[0]!, ids[2]!])
    cache.set(id, { final, storedBy: SteadyMs(0) });
  assert.deepEqual(
    ids.map((id) => cache.get(id)?.final),
    [final, undefined, final],
  );
});
