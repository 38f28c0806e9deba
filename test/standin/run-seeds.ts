/**
 * Plays bad days by hand, for what the few seeds of the tests do not find:
 *
 *     node hunt.js FIRST LAST [gangs] [BUILD]
 *
 * BUILD is the folder of an older compiled version, from which the controllers are upgraded to this one.
 * Prints the violations of each broken day. Ends with 1 if there is any.
 */
import { runFaultScenario, recoverAndVerify } from './fault-scenario.js';
import { loadOlderBuild } from './older-build.js';

/** Of a broken day's message, so many lines are printed. */
const MAX_PRINTED_LINES = 6;

const first = Number(process.argv[2] ?? 1);
const last = Number(process.argv[3] ?? first);
const withGangs = process.argv[4] === 'gangs';
const folder = process.argv[5];
const build = folder === undefined ? undefined : await loadOlderBuild(folder);
let failedCount = 0;
for (let seed = first; seed <= last; seed++) {
  try {
    await recoverAndVerify(
      await runFaultScenario(seed, { withGangs: withGangs, ...(build ? { build } : {}) }),
      `seed ${seed}`,
    );
  } catch (error) {
    failedCount++;
    const message = error instanceof Error ? error.message : String(error);
    console.log(message.split('\n').slice(0, MAX_PRINTED_LINES).join('\n'));
  }
}
console.log(`seeds ${first} to ${last}: ${failedCount} broken`);
process.exit(failedCount > 0 ? 1 : 0);
