/** A reporter of Node.js's test runner that prints one line for each failed test: `FILE: TEST NAME`. */
import { relative } from 'node:path';

/** The folder of the compiled tests, which mirrors the repository. */
const COMPILED_ROOT = 'target/test';

/** The path of a test's source. */
const sourceOf = (file) => relative(COMPILED_ROOT, file).replace(/\.js$/, '.ts');

/** Yields a line for each test that failed itself, rather than because one of its subtests failed. */
export default async function* reportFailures(events) {
  for await (const { type, data } of events) {
    if (type !== 'test:fail') continue;
    if (data.details?.error?.failureType === 'subtestsFailed') continue;
    yield `${sourceOf(data.file ?? '')}: ${data.name}\n`;
  }
}
