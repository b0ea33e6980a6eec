/**
 * Loads the bundled daemon with the V8 code cache from the build, which saves
 * the processor time of compiling it at each start.
 */
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');

const BUNDLE_PATH = path.join(__dirname, '..', 'target', 'scheduler.js');
const CACHE_PATH = path.join(__dirname, '..', 'target', 'scheduler.cache');

/** Runs the bundle; returns its exports, and the script from which a new code cache can be created. */
function loadBundle() {
  const source = `(function (exports, require, module, __filename, __dirname) {${fs.readFileSync(BUNDLE_PATH, 'utf8')}\n})`;
  const cachedData = fs.existsSync(CACHE_PATH) ? fs.readFileSync(CACHE_PATH) : undefined;
  const script = new vm.Script(source, { filename: BUNDLE_PATH, cachedData });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, require, module, BUNDLE_PATH, path.dirname(BUNDLE_PATH));
  return { script, exports: module.exports };
}

module.exports = { loadBundle, CACHE_PATH };
