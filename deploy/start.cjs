/** Starts the daemon of a scheduler process. */
const { loadBundle } = require('./load_bundle.cjs');

loadBundle().exports.runScheduler();
