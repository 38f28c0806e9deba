/**
 * Compares the EXCEPTIONS in `eslint.config.js` with the actual size of the files. Prints an entry to add for each
 * limit that a file exceeds without an exception, and each entry that is out of date. Exits with status 1 if it prints
 * anything.
 *
 *     npm run limits
 */
import { ESLint } from 'eslint';
import { relative } from 'node:path';
import { EXCEPTIONS, LIMITS, limits } from '../eslint.config.js';

const RULES = new Set(LIMITS.flatMap(({ values }) => Object.keys(values)));

/** Extracts the measured value from a lint message: a complexity, or a number of lines in parentheses. */
const measuredValue = (message) =>
  Number(/complexity of (\d+)|\((\d+)\)/.exec(message).slice(1).join(''));

const eslint = new ESLint({
  // Repeats the limits after the exceptions, which overrides the exceptions.
  overrideConfig: LIMITS.map(({ files, values }) => ({ files, rules: limits(values) })),
  ruleFilter: ({ ruleId }) => RULES.has(ruleId),
});

const actualValues = new Map();
for (const { filePath, messages } of await eslint.lintFiles(['.'])) {
  const file = relative(process.cwd(), filePath);
  for (const { ruleId, message } of messages) {
    if (!RULES.has(ruleId)) continue;
    const key = `${file} ${ruleId}`;
    actualValues.set(key, Math.max(actualValues.get(key) ?? 0, measuredValue(message)));
  }
}

const problems = [];
for (const [file, rule, value] of EXCEPTIONS) {
  const key = `${file} ${rule}`;
  const actual = actualValues.get(key);
  actualValues.delete(key);
  if (actual === undefined) problems.push(`remove: ${key}, the file is within the limit`);
  else if (actual < value) problems.push(`lower: ${key}, ${value} to ${actual}`);
  else if (actual > value) problems.push(`exceeds its exception: ${key}, ${actual} of ${value}`);
}
for (const [key, actual] of actualValues) {
  const [file, rule] = key.split(' ');
  problems.push(`add, or split the code: ['${file}', '${rule}', ${actual}, 'REASON'],`);
}
for (const line of problems) console.log(line);
process.exit(problems.length > 0 ? 1 : 0);
