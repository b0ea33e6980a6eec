/** Writes the code cache of the bundle; run with the flags of the daemon, since V8 refuses a cache made under others. */
const fs = require('node:fs');
const { loadBundle, CACHE_PATH } = require('./load_bundle.cjs');

fs.rmSync(CACHE_PATH, { force: true });
fs.writeFileSync(CACHE_PATH, loadBundle().script.createCachedData());
