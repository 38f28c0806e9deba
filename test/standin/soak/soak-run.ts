/** One run of the soak test: a cluster of real processes, faults, and a quiet time in which it must recover. */
import { ms, sleep } from '../../../src/units/index.js';
import { systemClock } from '../../../src/units/system-clock.js';
import { submitRandomArray, submitRandomGang } from '../fault-scenario.js';
import { controllerCommand } from './controller-process.js';
import type { SoakOptions } from './options.js';
import { injectRandomFault } from './soak-faults.js';
import { SoakCluster } from './soak-cluster.js';

/** The options of one run. */
export type SeedOptions = Pick<SoakOptions, 'workers' | 'faultSeconds' | 'quietSeconds'>;

const STARTUP_MS = 4000;
const STEP_MS = 1000;
const FAULT_PROBABILITY = 0.45;
const ARRAY_PROBABILITY = 0.5;
const GANG_PROBABILITY = 0.1;

const wait = (milliseconds: number): Promise<void> => sleep(systemClock, ms(milliseconds));

/** What users do in each step, whether or not there are faults. */
function actAsUsers(cluster: SoakCluster): void {
  const { random, users } = cluster;
  if (random() < ARRAY_PROBABILITY) submitRandomArray(cluster);
  if (random() < GANG_PROBABILITY) submitRandomGang(cluster);
  if (random() < 0.2) users.sendUnexpectedRequests();
  users.pollUnknownJob();
  void cluster.askAllControllers();
}

async function runSteps(cluster: SoakCluster, seconds: number, step: () => void): Promise<void> {
  for (let i = 0; (i * STEP_MS) / 1000 < seconds; i++) {
    actAsUsers(cluster);
    step();
    await wait(STEP_MS);
  }
}

/** The result of one seed. */
export interface SoakResult {
  readonly jobCount: number;
  readonly startCount: number;
  readonly violations: readonly string[];
}

/** Runs one seed, with settings and logs in `folder`. Ends its processes in any case, also if this process exits. */
export async function runSeed(
  seed: number,
  { workers, faultSeconds, quietSeconds }: SeedOptions,
  folder: string,
): Promise<SoakResult> {
  const command = controllerCommand();
  const cluster = await SoakCluster.create({ seed, workers, command, folder });
  const close = (): void => cluster.close();
  process.once('exit', close);
  try {
    cluster.start();
    await wait(STARTUP_MS);
    await runSteps(cluster, faultSeconds, () => {
      if (cluster.random() < FAULT_PROBABILITY) injectRandomFault(cluster);
    });
    cluster.heal();
    await runSteps(cluster, quietSeconds, () => undefined);
    const { jobs, startCount, violations } = cluster;
    return { jobCount: jobs.size, startCount, violations: [...violations] };
  } finally {
    process.off('exit', close);
    cluster.close();
  }
}
