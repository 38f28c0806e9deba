/**
 * Recovery of a new leader with thousands of live jobs, whose records and users' polls together exceed the request
 * rate of the store.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from '../standin/simulated-cluster.js';
import { CONTROLLERS } from '../standin/cluster-settings.js';
import { jobSpec } from '../support/job-spec.js';
import { storeLiveJobs } from '../support/live-records.js';

const JOB_COUNT = 2400;
/** The limits of the store that the settings of the simulated cluster state. */
const STORE_LIMITS = { requestRate: 80, writeRate: 15, valueBytes: 8192, transactionOps: 8 };
/** Users may wait this long for a response once all faults have ended, and as long again for the next one. */
const OBSERVATION_MS = 160_000;

/** Creates a cluster whose store holds live jobs, and whose users poll them. */
async function clusterWithLiveJobs(seed: number): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ seed });
  await cluster.run(2);
  const specs = Array.from({ length: JOB_COUNT }, (_, i) =>
    jobSpec({ id: `run-${String(i + 1).padStart(6, '0')}`, taskCount: 2, cpus: 2 }),
  );
  await storeLiveJobs(cluster.store, STORE_LIMITS, specs);
  for (const { taskCount, cpus } of specs) {
    cluster.time.after(cluster.random() * 5000, () =>
      cluster.users.submit({ taskCount, cpus }, 60_000),
    );
  }
  await cluster.run(15_000);
  return cluster;
}

void test('polls are answered after all controllers restart, although thousands of live jobs exceed the rate of the store', async () => {
  for (const seed of [1, 2]) {
    const cluster = await clusterWithLiveJobs(seed);
    for (const controller of CONTROLLERS) cluster.killController(controller);
    for (const controller of CONTROLLERS) cluster.startController(controller);
    cluster.markFaultsEnded();
    await cluster.run(OBSERVATION_MS);
    assert.deepEqual(cluster.violations.slice(0, 3), [], `seed ${seed}`);
  }
});
