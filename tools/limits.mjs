/**
 * Compares the EXCEPTIONS of `eslint.config.js` with what the files need: prints a line to add for each limit
 * that a file exceeds without one, and the lines whose file needs less. Ends with 1 if there is any.
 *
 *     npm run limits
 */
import { ESLint } from 'eslint';
import { relative } from 'node:path';
import { EXCEPTIONS, LIMITS, limits } from '../eslint.config.js';

const RULES = new Set(LIMITS.flatMap(({ values }) => Object.keys(values)));

/** The measure that a message states: a complexity, or a number of lines in brackets. */
const measureOf = (message) =>
  Number(/complexity of (\d+)|\((\d+)\)/.exec(message).slice(1).join(''));

const eslint = new ESLint({
  // The limits once more, after the exceptions, so that these don't count.
  overrideConfig: LIMITS.map(({ files, values }) => ({ files, rules: limits(values) })),
  ruleFilter: ({ ruleId }) => RULES.has(ruleId),
});

const needed = new Map();
for (const { filePath, messages } of await eslint.lintFiles(['.'])) {
  const file = relative(process.cwd(), filePath);
  for (const { ruleId, message } of messages) {
    if (!RULES.has(ruleId)) continue;
    const key = `${file} ${ruleId}`;
    needed.set(key, Math.max(needed.get(key) ?? 0, measureOf(message)));
  }
}

const wrong = [];
for (const [file, rule, value] of EXCEPTIONS) {
  const key = `${file} ${rule}`;
  const need = needed.get(key);
  needed.delete(key);
  if (need === undefined) wrong.push(`remove: ${key}, now within the limit`);
  else if (need < value) wrong.push(`lower: ${key}, ${value} to ${need}`);
  else if (need > value) wrong.push(`exceeds its exception: ${key}, ${need} of ${value}`);
}
for (const [key, need] of needed) {
  const [file, rule] = key.split(' ');
  wrong.push(`add or divide: ['${file}', '${rule}', ${need}, 'REASON'],`);
}
for (const line of wrong) console.log(line);
process.exit(wrong.length > 0 ? 1 : 0);
