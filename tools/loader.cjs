/** Runs the bundle in the same directory, with its V8 code cache if that is valid. */
'use strict';
const fs = require('node:fs');
const { createRequire, wrap } = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const bundleFile = path.join(__dirname, 'topazpin.bundle.cjs');
const cacheFile = path.join(__dirname, 'topazpin.cache');
const isMakingCache = process.argv[2] === '--make-cache';

let cachedData;
try {
  if (!isMakingCache) cachedData = fs.readFileSync(cacheFile);
} catch {
  // Without a code cache, V8 compiles the bundle like any other script.
}
const script = new vm.Script(wrap(fs.readFileSync(bundleFile, 'utf8')), {
  filename: bundleFile,
  cachedData,
});
const bundleModule = { exports: {} };
const runBundle = () =>
  script
    .runInThisContext()
    .call(
      bundleModule.exports,
      bundleModule.exports,
      createRequire(bundleFile),
      bundleModule,
      bundleFile,
      __dirname,
    );

if (isMakingCache) {
  process.argv.splice(2, 1, '--help');
  runBundle();
  setTimeout(() => fs.writeFileSync(cacheFile, script.createCachedData()), 100);
} else runBundle();
