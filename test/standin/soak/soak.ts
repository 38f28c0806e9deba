/**
 * The soak test: real controller processes on loopback under random faults, with jobs that are submitted, polled and
 * cancelled throughout. Prints one line for each seed, and exits with status 1 if an invariant was violated. A seed
 * determines the faults and jobs, but not the order of events in real processes.
 *
 *     npm run soak -- --seed 1 --seeds 5 --workers 24 --fault-seconds 30 --quiet-seconds 95
 */
import { controllerCommand } from './controller-process.js';
import { parseOptions } from './options.js';
import { runSeed } from './soak-run.js';

const MAX_PRINTED_VIOLATIONS = 5;

async function main(): Promise<void> {
  const options = parseOptions(process.argv.slice(2));
  controllerCommand();
  let failedCount = 0;
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    const folder = `target/soak/seed-${seed}`;
    const { jobCount, startCount, violations } = await runSeed(seed, options, folder);
    console.log(
      `seed ${seed}: ${jobCount} jobs, ${startCount} tasks started, ${violations.length} violations`,
    );
    if (violations.length === 0) continue;
    failedCount++;
    const { workers, faultSeconds, quietSeconds } = options;
    console.log(
      `repeat: npm run soak -- --seed ${seed} --workers ${workers} ` +
        `--fault-seconds ${faultSeconds} --quiet-seconds ${quietSeconds}; logs: ${folder}`,
    );
    for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS)) console.log(violation);
  }
  console.log(`soak: ${options.seeds - failedCount} passed, ${failedCount} failed`);
  process.exit(failedCount > 0 ? 1 : 0);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
main().catch((error: unknown) => {
  console.error(error instanceof Error ? error.message : String(error));
  process.exit(1);
});
