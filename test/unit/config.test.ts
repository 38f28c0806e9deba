/**
 * Checks the settings files of the platform and of operators, and the command line that names them. An error must
 * name the wrong field, so that an operator finds it, and no setting may let a cancelled task run for longer than
 * allowed.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseCommandLine } from '../../src/cli/command-line.js';
import { defaultOperatorSettingsFor, maxLeaderLease } from '../../src/config/operator-settings.js';
import {
  checkLeaderLease,
  parseOperatorSettings,
} from '../../src/config/operator-settings-file.js';
import { SettingsError } from '../../src/config/settings-error.js';
import { parseSettings } from '../../src/config/settings.js';
import { seconds, lowerBoundUnderDrift, upperBoundUnderDrift } from '../../src/units/index.js';
import { settingsFile } from '../support/settings-file.js';

void test('the settings file is checked, and an error names the field', () => {
  const file = settingsFile();
  const cases: [string, unknown, RegExp | undefined][] = [
    ['valid', file, undefined],
    ['unknown fields', { ...file, colour: 'red' }, undefined],
    ['no name of the controller', { ...file, node: undefined }, /node/],
    ['a host name instead of an address', { ...file, api_addr: 'localhost:80' }, /api_addr/],
    ['the same address twice', { ...file, cluster_listen: file.api_addr }, /cluster_listen/],
    ['a controller listed twice', { ...file, others: [file.others[0], file.others[0]] }, /others/],
    ['a controller missing', { ...file, others: [file.others[0]] }, /params\.nodes/],
    [
      'no endpoint of the store',
      { ...file, endpoints: { cloud: '10.2.0.2:1' } },
      /endpoints\.state/,
    ],
    [
      'a limit below a guarantee',
      withParam(file, 'teams', [{ name: 't', cpus: 9, cpus_max: 4 }]),
      /teams/,
    ],
    [
      'a negative rate',
      withParam(file, 'state', { ...file.params.state, rps: -1 }),
      /params\.state\.rps/,
    ],
    [
      'a time for a cancellation below the worker lease',
      withParam(file, 'workers', { report_s: 3, lease_s: 24, cancel_s: 20 }),
      /cancel_s/,
    ],
    ['not an object', 7, /settings/],
  ];
  for (const [name, json, error] of cases) {
    if (!error) assert.doesNotThrow(() => parseSettings(json), name);
    else {
      assert.throws(
        () => parseSettings(json),
        (thrown: Error) =>
          thrown instanceof SettingsError &&
          error.test(thrown.message) &&
          !thrown.message.includes('\n'),
        name,
      );
    }
  }
});

function withParam(file: ReturnType<typeof settingsFile>, field: string, value: unknown): unknown {
  return { ...file, params: { ...file.params, [field]: value } };
}

void test('a cancelled task ends in time even if its worker stops it only when the worker lease expires', () => {
  const durations = fc.record({
    lease: fc.integer({ min: 2, max: 60 }),
    spare: fc.integer({ min: 4, max: 60 }),
  });
  fc.assert(
    fc.property(durations, ({ lease, spare }) => {
      const times = { lease: seconds(lease), cancellationTime: seconds(lease + spare) };
      const { lease: leaderLease, renewInterval } = defaultOperatorSettingsFor(times);
      // At worst, a worker gets its last response just before authority ends, this long after the last renewal.
      const authority = lowerBoundUnderDrift(leaderLease);
      assert.ok(authority + upperBoundUnderDrift(times.lease) < times.cancellationTime);
      assert.ok(leaderLease >= 1000 && leaderLease <= 4000 && renewInterval <= leaderLease / 3);
    }),
    { seed: 20261202 },
  );
  // No leader lease is short enough here: the controller starts nevertheless and logs a warning.
  const tooShort = { lease: seconds(24), cancellationTime: seconds(25) };
  assert.ok(defaultOperatorSettingsFor(tooShort).lease > maxLeaderLease(tooShort));
});

void test("the operators' file is checked, and an error names the element or attribute", () => {
  const cases: [string, string, RegExp | undefined][] = [
    ['nothing set', '<topazpin></topazpin>', /topazpin/],
    [
      'a valid leader lease',
      '<topazpin><leadership lease-s="8" renew-s="2"/></topazpin>',
      undefined,
    ],
    ['an unknown element', '<topazpin><colour x="1"/></topazpin>', /colour|nrecognized/],
    ['not a number', '<topazpin><leadership lease-s="long"/></topazpin>', /lease-s/],
    ['out of range', '<topazpin><leadership lease-s="0.1"/></topazpin>', /lease-s/],
    ['renewed too seldom', '<topazpin><leadership lease-s="5" renew-s="4"/></topazpin>', /renew-s/],
    ['not XML', '<topazpin>', /XML/],
  ];
  for (const [name, text, error] of cases) {
    if (!error) assert.doesNotThrow(() => parseOperatorSettings(text), name);
    else assert.throws(() => parseOperatorSettings(text), error, name);
  }
  const longLease = parseOperatorSettings('<topazpin><leadership lease-s="30"/></topazpin>');
  assert.throws(() => checkLeaderLease(parseSettings(settingsFile()), longLease), /cancel_s/);
});

void test('the command line is parsed, and a wrong one gives an exit code and a message', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'topazpin-'));
  try {
    const validFile = join(dir, 'good.json');
    writeFileSync(validFile, JSON.stringify(settingsFile()));
    const invalidFile = join(dir, 'bad.json');
    writeFileSync(invalidFile, '{');
    const cases: [string[], number, RegExp][] = [
      [['--help'], 0, /Usage: topazpin/],
      [['--version'], 0, /^\d+\.\d+\.\d+/],
      [[], 2, /usage: topazpin/],
      [['--colour'], 2, /usage: topazpin/],
      [['--config', validFile, 'more'], 2, /usage: topazpin/],
      [['--config', validFile, '--check'], 0, /valid/],
      [['--config', invalidFile], 1, /not JSON/],
      [['--config', join(dir, 'none.json')], 1, /cannot read/],
    ];
    for (const [argv, code, text] of cases) {
      const commandLine = await parseCommandLine(argv);
      assert.ok(commandLine.kind === 'exit', argv.join(' '));
      assert.equal(commandLine.exitCode, code, argv.join(' '));
      assert.match(`${commandLine.stdout}${commandLine.stderr}`, text);
    }
    assert.equal((await parseCommandLine(['--config', validFile])).kind, 'run');
    // The deployed program is a bundle, which must contain every library that it needs.
    const runBundle = (...argv: string[]) =>
      spawnSync(process.execPath, ['target/topazpin.cjs', ...argv], { encoding: 'utf8' });
    assert.match(runBundle('--version').stdout, /^\d+\.\d+\.\d+/);
    const failedRun = runBundle('--config', invalidFile);
    assert.deepEqual(
      [failedRun.status, failedRun.stderr.split('\n').length],
      [1, 2],
      failedRun.stderr,
    );
  } finally {
    rmSync(dir, { recursive: true });
  }
});
