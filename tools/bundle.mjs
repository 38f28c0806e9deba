/**
 * Builds the deployed artifacts from the compiled sources: one bundle that includes all libraries, and its V8 code
 * cache. With a small share of a CPU, reading and compiling a few hundred files takes seconds, during which a restarted
 * controller can't respond.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const ENTRY = 'target/main.js';
const BUNDLE = 'target/topazpin.bundle.cjs';

const buildResult = await build({
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
if (buildResult.errors.length > 0) process.exit(1);
// The loader wraps the bundle in a function, where a shebang line is a syntax error.
writeFileSync(BUNDLE, readFileSync(BUNDLE, 'utf8').replace(/^#!.*\n/, ''));
writeFileSync('target/topazpin.cjs', readFileSync(new URL('loader.cjs', import.meta.url)));

// V8 rejects a code cache that was created with other flags, so the cache is created with those of the service.
const flags = process.argv.slice(2);
const cacheProcess = spawnSync(
  process.execPath,
  [...flags, 'target/topazpin.cjs', '--make-cache'],
  {
    stdio: ['ignore', 'ignore', 'inherit'],
  },
);
process.exit(cacheProcess.status ?? 1);
