/** Runs the bundle beside it, with the code that V8 made of it earlier if that fits. */
'use strict';
const fs = require('node:fs');
const { createRequire, wrap } = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const file = path.join(__dirname, 'topazpin.bundle.cjs');
const cacheFile = path.join(__dirname, 'topazpin.cache');
const making = process.argv[2] === '--make-cache';

let cachedData;
try {
  if (!making) cachedData = fs.readFileSync(cacheFile);
} catch {
  // Without it the bundle is compiled as any other script.
}
const script = new vm.Script(wrap(fs.readFileSync(file, 'utf8')), { filename: file, cachedData });
const module_ = { exports: {} };
const run = () =>
  script
    .runInThisContext()
    .call(module_.exports, module_.exports, createRequire(file), module_, file, __dirname);

if (making) {
  process.argv.splice(2, 1, '--help');
  run();
  setTimeout(() => fs.writeFileSync(cacheFile, script.createCachedData()), 100);
} else run();
