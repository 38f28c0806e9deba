/**
 * Runs the randomised fault scenario with a range of seeds, to find faults that the few seeds of the tests miss:
 *
 *     node run-seeds.js FIRST LAST [gangs] [BUILD]
 *
 * BUILD is the folder of an older compiled version, from which the controllers are upgraded to this one.
 * Prints the violations of each seed that fails. Exits with status 1 if any seed fails.
 */
import { runFaultScenario, recoverAndVerify } from './fault-scenario.js';
import { loadOlderBuild } from './older-build.js';

/** The most lines that are printed of the message of a failed seed. */
const MAX_PRINTED_LINES = 6;

const firstSeed = Number(process.argv[2] ?? 1);
const lastSeed = Number(process.argv[3] ?? firstSeed);
const withGangs = process.argv[4] === 'gangs';
const buildFolder = process.argv[5];
const build = buildFolder === undefined ? undefined : await loadOlderBuild(buildFolder);
let failedCount = 0;
for (let seed = firstSeed; seed <= lastSeed; seed++) {
  try {
    await recoverAndVerify(
      await runFaultScenario(seed, { withGangs, ...(build ? { build } : {}) }),
      `seed ${seed}`,
    );
  } catch (error) {
    failedCount++;
    const message = error instanceof Error ? error.message : String(error);
    console.log(message.split('\n').slice(0, MAX_PRINTED_LINES).join('\n'));
  }
}
console.log(`seeds ${firstSeed} to ${lastSeed}: ${failedCount} failed`);
process.exit(failedCount > 0 ? 1 : 0);
