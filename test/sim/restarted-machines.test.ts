/**
 * Copies of start commands that reach a machine after a restart, once it has got a message. Guards against a response
 * or a request that lets a restarted worker execute a start from before the restart, whose task was moved or cancelled.
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

/** When the copies arrive, after the first message to the restarted worker. */
const COPY_TIMES_MS = [0, 100, 500, 1500, 3000, 6000, 30_000];
const STEP_MS = 10;
const MAX_STEPS = 1000;
/** Longer than a worker's lease, and then the time until its tasks run elsewhere. */
const LEASE_EXPIRY_MS = 45_000;

/** Records the direct starts that a worker gets, and returns a function that delivers copies of them. */
function recordStarts({ cluster, machine }: Pick<TaskScene, 'cluster' | 'machine'>): () => void {
  const worker = cluster.workers.get(machine)?.worker;
  assert.ok(worker);
  const handle = worker.handle.bind(worker);
  const bodies: unknown[] = [];
  worker.handle = (method, path, body) => {
    const { orders = [] } = (body ?? {}) as { orders?: { verb: string }[] };
    if (path === '/commands' && orders.some(({ verb }) => verb === 'launch'))
      bodies.push(structuredClone(body));
    return handle(method, path, body);
  };
  return () => {
    for (const body of bodies) handle('POST', '/commands', structuredClone(body));
  };
}

/** By machine, what delivers copies of the direct starts that its worker gets from now on. */
const recordAllStarts = (cluster: SimulatedCluster): ReadonlyMap<string, () => void> =>
  new Map(
    [...cluster.workers.keys()].map((machine) => [machine, recordStarts({ cluster, machine })]),
  );

async function runUntil(cluster: SimulatedCluster, condition: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_STEPS && !condition(); i++) await cluster.run(STEP_MS);
  assert.ok(condition());
}

/** Waits until a heartbeat of the scene's worker gets a response. */
async function runUntilAnswered({ cluster, machine }: TaskScene): Promise<void> {
  const worker = cluster.workers.get(machine)?.worker;
  const before = worker?.renewalCount ?? 0;
  await runUntil(cluster, () => (worker?.renewalCount ?? 0) > before);
}

/** Waits until the scene's task runs on another machine only. */
const runUntilMoved = ({ cluster, job, machine }: TaskScene): Promise<void> =>
  runUntil(cluster, () => {
    const machines = cluster.machinesOf(job);
    return machines.length === 1 && machines[0] !== machine;
  });

async function failAndMove(scene: TaskScene): Promise<void> {
  endTask(scene, `${scene.job}/0`, 'error');
  await runUntilMoved(scene);
}

async function cancel({ cluster, job }: TaskScene): Promise<void> {
  cluster.users.cancel(job);
  await cluster.run(1500);
}

async function completeAndCancel(scene: TaskScene): Promise<void> {
  const { cluster, job, machine } = scene;
  const held = cluster.workers.get(machine)?.worker.reportedTaskNames() ?? [];
  endTask(scene, held.includes(`${job}/0`) ? `${job}/0` : `${job}/1`, 'done');
  await cluster.run(20_000);
  await cancel(scene);
}

/** The machine hangs until its lease has expired and its tasks are moved, and then restarts. */
async function restartAfterLease({ cluster, machine }: TaskScene): Promise<void> {
  // The cloud does not delete the silent machine.
  cluster.cloud.isUnavailable = true;
  cluster.setMachineHung(machine, true);
  await cluster.run(LEASE_EXPIRY_MS);
  cluster.restartWorker(machine);
  cluster.setMachineHung(machine, false);
}

/** The report that the task has failed arrives after the first response to the restarted worker. */
async function failWithDelayedReport(scene: TaskScene): Promise<void> {
  const { cluster, job, machine } = scene;
  let isSent = false;
  cluster.network.onSend = (from, _to, path) => {
    const isReport = from === machine && path === '/agent/beat' && !isSent;
    isSent ||= isReport;
    cluster.network.lateDeliveryMs = isReport ? () => 1000 : undefined;
  };
  endTask(scene, `${job}/0`, 'error');
  await runUntil(cluster, () => isSent);
}

/** After the restart a command that stops another task reaches the worker, but none of its heartbeats is answered. */
async function commandAfterRestart(scene: TaskScene): Promise<void> {
  const { cluster, machine } = scene;
  const [otherJob = ''] = cluster.jobs.keys();
  assert.ok(cluster.machinesOf(otherJob).includes(machine));
  await failAndMove(scene);
  cluster.cloud.isUnavailable = true;
  cluster.setHeartbeatsBlocked(machine, true);
  cluster.restartWorker(machine);
  await cancel({ ...scene, job: otherJob });
}

async function restartLeader({ cluster }: TaskScene): Promise<void> {
  const leader = cluster.leader() ?? 0;
  cluster.killController(leader);
  await cluster.run(300);
  cluster.startController(leader);
}

type Change = (scene: TaskScene) => Promise<void>;

const inTurn =
  (...changes: Change[]): Change =>
  async (scene) => {
    for (const change of changes) await change(scene);
  };

const restart: Change = ({ cluster, machine }) => {
  cluster.restartWorker(machine);
  return Promise.resolve();
};

/** What happens before the copies arrive. */
const CASES: [name: string, taskCount: number, change: Change][] = [
  ['its task failed and runs elsewhere', 1, inTurn(failAndMove, restart, runUntilAnswered)],
  ['its task was cancelled', 1, inTurn(cancel, restart, runUntilAnswered)],
  [
    'its task was cancelled after the restart',
    1,
    inTurn(restart, runUntilAnswered, cancel, runUntilAnswered),
  ],
  [
    'its task was done and the job cancelled since',
    2,
    inTurn(completeAndCancel, restart, runUntilAnswered),
  ],
  ['its lease had expired', 1, inTurn(restartAfterLease, runUntilAnswered)],
  [
    'the report of the failed task arrives after its restart',
    1,
    inTurn(failWithDelayedReport, restart, runUntilAnswered, runUntilMoved),
  ],
  ['only a direct command has reached it', 1, commandAfterRestart],
  [
    'the leader was back within a second, and the task failed and runs elsewhere',
    1,
    inTurn(failAndMove, restartLeader, restart, runUntilAnswered),
  ],
  [
    'the leader is back within a second after its restart',
    1,
    inTurn(failAndMove, restart, runUntilAnswered, restartLeader),
  ],
];

for (const [name, taskCount, change] of CASES) {
  for (const seed of [41, 42, 43]) {
    void test(`copies of start commands do not start a task on a machine that restarted and then got a message: ${name} (seed ${seed})`, async () => {
      const cluster = await createClusterWithRoom(seed);
      // The worker is told at once to forget an attempt of this job, and so not of the next one for a while.
      const earlier = await startTasksDirectly(cluster);
      await cancel(earlier);
      await runUntil(cluster, () => !reports(earlier, `${earlier.job}/0`));
      const deliveries = recordAllStarts(cluster);
      const scene = await startTasksDirectly(cluster, taskCount);
      assert.equal(scene.machine, earlier.machine);
      await change(scene);
      let elapsedMs = 0;
      for (const timeMs of COPY_TIMES_MS) {
        await cluster.run(timeMs - elapsedMs);
        elapsedMs = timeMs;
        const worker = cluster.workers.get(scene.machine)?.worker;
        assert.ok(worker, `the machine is there after ${timeMs} ms`);
        const held = worker.taskNames();
        deliveries.get(scene.machine)?.();
        assert.deepEqual(worker.taskNames(), held, `copies after ${timeMs} ms`);
      }
      assert.deepEqual(cluster.violations, []);
    });
  }
}

void test('copies of start commands do not run a task twice on a machine that restarted and has got no message yet (seed 41)', async () => {
  const cluster = await createClusterWithRoom(41);
  const deliveries = recordAllStarts(cluster);
  const scene = await startTasksDirectly(cluster);
  await failAndMove(scene);
  cluster.restartWorker(scene.machine);
  deliveries.get(scene.machine)?.();
  await cluster.run(30_000);
  assert.deepEqual(cluster.violations, []);
});
