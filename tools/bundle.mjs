/**
 * Makes what is deployed of what was compiled: one file with all libraries in it, and the code that V8
 * makes of it. On a small share of a processor, reading and compiling a few hundred files takes seconds,
 * in which a restarted controller can't answer.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const ENTRY = 'target/main.js';
const BUNDLE = 'target/topazpin.bundle.cjs';

const result = await build({
  entryPoints: [ENTRY],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'external',
  logLevel: 'warning',
});
if (result.errors.length > 0) process.exit(1);
// A first line for the shell is no script for the loader.
writeFileSync(BUNDLE, readFileSync(BUNDLE, 'utf8').replace(/^#!.*\n/, ''));
writeFileSync('target/topazpin.cjs', readFileSync(new URL('loader.cjs', import.meta.url)));

// Compiled by the flags that the service runs with: V8 takes no cache that was made with others.
const flags = process.argv.slice(2);
const made = spawnSync(process.execPath, [...flags, 'target/topazpin.cjs', '--make-cache'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
process.exit(made.status ?? 1);
