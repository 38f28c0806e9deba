import { loadOlderBuild } from './older-build.js';
import { badDay, settle } from './day.js';

/** Days of the stand-ins by hand, for what a few seeds do not find: `node hunt.js FIRST LAST [gangs] [BUILD]`;
 * BUILD: the folder of another version, from which the controllers are upgraded to this one. */
const first = Number(process.argv[2] ?? 1);
const last = Number(process.argv[3] ?? first);
const gangs = process.argv[4] === 'gangs';
const folder = process.argv[5];
const build = folder === undefined ? undefined : await loadOlderBuild(folder);
let broken = 0;
for (let seed = first; seed <= last; seed++) {
  try {
    await settle(await badDay(seed, { gangs, ...(build ? { build } : {}) }), `seed ${seed}`);
  } catch (e) {
    broken++;
    console.log(
      String((e as Error).message)
        .split('\n')
        .slice(0, 6)
        .join('\n'),
    );
  }
}
console.log(`seeds ${first} to ${last}: ${broken} broken`);
process.exit(broken > 0 ? 1 : 0);
