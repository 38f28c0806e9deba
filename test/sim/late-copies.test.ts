/**
 * Copies of start commands that arrive late, however late: no page bounds their delay. Guards against a worker that has
 * forgotten an attempt, or has restarted, and executes its start again while the task is elsewhere, done or cancelled.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedCluster } from '../standin/simulated-cluster.js';
import {
  createClusterWithRoom,
  endTask,
  reports,
  startTasksDirectly,
  type TaskScene,
} from '../support/task-scene.js';

/** From just over three worker leases, as in the review, to far longer. */
const COPY_DELAYS_MS = [90_000, 200_000, 900_000];
/** The time in which a worker is told to forget an attempt that has exited. */
const MAX_FORGET_MS = 75_000;

/** Delays copies of the requests to the workers' own addresses. */
function delayCopies(cluster: SimulatedCluster, delayMs: number): void {
  const addresses = new Set([...cluster.workers.values()].map(({ machine }) => machine.address));
  cluster.network.duplicateDelivery = (path, to) =>
    path === '/commands' && addresses.has(to) ? { to, afterMs: delayMs } : undefined;
}

/** Runs tasks that are started by direct commands, of which copies arrive `delayMs` later. */
async function startTasks(
  cluster: SimulatedCluster,
  delayMs: number,
  taskCount = 1,
): Promise<TaskScene> {
  delayCopies(cluster, delayMs);
  return startTasksDirectly(cluster, taskCount, () => {
    cluster.network.duplicateDelivery = undefined;
  });
}

const startTask = async (seed: number, delayMs: number, taskCount = 1): Promise<TaskScene> =>
  startTasks(await createClusterWithRoom(seed), delayMs, taskCount);

for (const delayMs of COPY_DELAYS_MS) {
  void test(`a copy of a start command that is ${delayMs / 1000} s late does not run a failed task twice`, async () => {
    const scene = await startTask(31, delayMs);
    const { cluster, job } = scene;
    endTask(scene, `${job}/0`, 'error');
    await cluster.run(MAX_FORGET_MS - 7000);
    assert.equal(cluster.machinesOf(job).length, 1, 'the task runs again');
    assert.notEqual(cluster.machinesOf(job)[0], scene.machine);
    await cluster.run(delayMs);
    assert.equal(reports(scene, `${job}/0`), false, 'the worker has forgotten the failed attempt');
    assert.deepEqual(cluster.violations, []);
  });

  void test(`a copy of a start command that is ${delayMs / 1000} s late does not start a cancelled task`, async () => {
    const scene = await startTask(32, delayMs);
    const { cluster, job } = scene;
    cluster.users.cancel(job);
    await cluster.run(5000);
    const started = cluster.startCount;
    await cluster.run(delayMs + 10_000);
    assert.equal(cluster.startCount, started);
    assert.equal(reports(scene, `${job}/0`), false, 'the worker has forgotten the attempt');
    assert.deepEqual(cluster.violations, []);
  });

  void test(`a copy of a start command that is ${delayMs / 1000} s late does not start a completed task of a job that was cancelled since`, async () => {
    const scene = await startTask(33, delayMs, 2);
    const { cluster, job } = scene;
    const [completed = ''] = reports(scene, `${job}/0`) ? [`${job}/0`] : [`${job}/1`];
    endTask(scene, completed, 'done');
    await cluster.run(20_000);
    cluster.users.cancel(job);
    await cluster.run(5000);
    const started = cluster.startCount;
    await cluster.run(delayMs + 10_000);
    assert.equal(cluster.startCount, started);
    assert.deepEqual(cluster.violations, []);
  });

  void test(`a copy of a start command that is ${delayMs / 1000} s late does not run a task twice on a worker that restarted after it had forgotten the attempt`, async () => {
    const scene = await startTask(34, delayMs);
    const { cluster, job } = scene;
    endTask(scene, `${job}/0`, 'error');
    await cluster.run(Math.min(MAX_FORGET_MS, delayMs - 20_000));
    assert.equal(reports(scene, `${job}/0`), false);
    cluster.restartWorker(scene.machine);
    await cluster.run(delayMs + 10_000);
    assert.deepEqual(cluster.violations, []);
  });

  void test(`a copy of a start command that is ${delayMs / 1000} s late does not run a task twice on a worker that restarted before it was told to forget the attempt`, async () => {
    const cluster = await createClusterWithRoom(34);
    // The worker is told at once to forget an attempt of this job, and so not of the next one for a while.
    const earlier = await startTasks(cluster, delayMs);
    cluster.users.cancel(earlier.job);
    await cluster.run(3000);
    const scene = await startTasks(cluster, delayMs);
    assert.equal(scene.machine, earlier.machine);
    endTask(scene, `${scene.job}/0`, 'error');
    await cluster.run(1500);
    assert.equal(reports(scene, `${scene.job}/0`), true);
    cluster.restartWorker(scene.machine);
    await cluster.run(delayMs + 10_000);
    assert.deepEqual(cluster.violations, []);
  });
}

void test('a worker forgets the attempts that were started directly while its controllers stay the same', async () => {
  const { cluster, machine } = await startTask(35, 75_000);
  const worker = cluster.workers.get(machine)?.worker;
  const leader = cluster.leader();
  const jobs = Array.from({ length: 60 }, () => cluster.users.submit({ cpus: 0.1 }, 2000));
  await cluster.run(100_000);
  assert.deepEqual(
    jobs.filter((job) => worker?.reportedTaskNames().includes(`${job}/0`)),
    [],
  );
  assert.equal(cluster.leader(), leader);
  assert.deepEqual(cluster.violations, []);
});
