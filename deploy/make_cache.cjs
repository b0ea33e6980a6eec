/**
 * Writes the code cache of the bundle. Run it with the same V8 flags as the
 * daemon, since V8 rejects a cache created under other flags.
 */
const fs = require('node:fs');
const { loadBundle, CACHE_PATH } = require('./load_bundle.cjs');

fs.rmSync(CACHE_PATH, { force: true });
fs.writeFileSync(CACHE_PATH, loadBundle().script.createCachedData());
