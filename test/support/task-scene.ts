/** Tasks that were started by direct commands on one machine of a simulated cluster with room elsewhere. */
import assert from 'node:assert/strict';
import { SimulatedCluster } from '../standin/simulated-cluster.js';

/** Longer than any task of a scene is meant to run. */
const LONG_RUN_MS = 2_000_000;
/** Less than the time until a response to a heartbeat could start a task. */
const DIRECT_START_MS = 1500;
/** The time after which a task that was started runs. */
const IMAGE_FETCH_MS = 3000;

/** A job whose tasks run on a machine, in a cluster in which another machine has room for them too. */
export interface TaskScene {
  readonly cluster: SimulatedCluster;
  readonly job: string;
  readonly machine: string;
}

/** Starts a cluster in which several machines are in use, each with room for another task. */
export async function createClusterWithRoom(seed: number): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ seed, maxCpus: 0 });
  cluster.cloud.bootFailureShare = 0;
  await cluster.run(3000);
  cluster.users.submit({ taskCount: 8, cpus: 3 }, LONG_RUN_MS);
  await cluster.run(70_000);
  assert.ok(cluster.workers.size >= 2);
  return cluster;
}

/** Submits a job, and returns once its tasks run. `onStartsSent` is called when they have been started by direct commands. */
export async function startTasksDirectly(
  cluster: SimulatedCluster,
  taskCount = 1,
  onStartsSent: () => void = () => undefined,
): Promise<TaskScene> {
  const job = cluster.users.submit({ taskCount, cpus: 1 }, LONG_RUN_MS);
  await cluster.run(DIRECT_START_MS);
  onStartsSent();
  await cluster.run(IMAGE_FETCH_MS);
  const [machine = ''] = cluster.machinesOf(job);
  assert.ok(cluster.workers.has(machine), 'the task has started');
  return { cluster, job, machine };
}

/** Ends a running task of the scene as if by itself. */
export const endTask = (
  { cluster, machine }: TaskScene,
  task: string,
  cause: 'done' | 'error',
): void => cluster.workers.get(machine)?.worker.endTask(task, cause);

/** Whether the scene's worker reports an attempt of the task, whether that runs or has exited. */
export const reports = ({ cluster, machine }: TaskScene, task: string): boolean =>
  cluster.workers.get(machine)?.worker.reportedTaskNames().includes(task) === true;
