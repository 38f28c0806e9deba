/**
 * Runs the compiled tests. Exits with status 0 if every test passes that KNOWN-RED.txt does not list. An entry of
 * that file begins with `- FILE: TEST NAME`; the indented lines after it describe the failure.
 *
 *     node tools/run-tests.mjs FOLDER...
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, rmSync } from 'node:fs';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const MAX_KNOWN_FAILURES = 3;
const FAILURES_FILE = 'target/test-failures.txt';

/** The lines of a file that are not empty; none if it does not exist. */
const linesOf = (file) =>
  existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter(Boolean) : [];

function readKnownFailures() {
  const entries = linesOf(KNOWN_FAILURES_FILE).filter((line) => line.startsWith('- '));
  return entries.map((line) => line.slice(2).trim());
}

function runTests(folders) {
  rmSync(FAILURES_FILE, { force: true });
  const reporters = [
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=./tools/failure-reporter.mjs',
    `--test-reporter-destination=${FAILURES_FILE}`,
  ];
  const { status } = spawnSync(process.execPath, ['--test', ...reporters, ...folders], {
    stdio: 'inherit',
  });
  return { status: status ?? 1, failures: linesOf(FAILURES_FILE) };
}

const knownFailures = readKnownFailures();
if (knownFailures.length > MAX_KNOWN_FAILURES) {
  console.error(`${KNOWN_FAILURES_FILE} lists more than ${MAX_KNOWN_FAILURES} tests`);
  process.exit(1);
}
const { status, failures } = runTests(process.argv.slice(2));
for (const test of knownFailures) {
  console.log(`known red, ${failures.includes(test) ? 'failed' : 'passed in this run'}: ${test}`);
}
const newFailures = failures.filter((test) => !knownFailures.includes(test));
for (const test of newFailures) console.log(`failed: ${test}`);
const areAllFailuresKnown = failures.length > 0 && newFailures.length === 0;
process.exit(areAllFailuresKnown ? 0 : status);
