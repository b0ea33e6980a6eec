/**
 * Replaces fast-check in soak runs: every property runs with the seed in
 * ENDIVESTAND_SOAK_SEED. Failures are not shrunk, because each shrinking step
 * simulates an hour and the failure would never be reported.
 * ENDIVESTAND_SOAK_PATH repeats only the run whose path a failure report gives.
 */
const fastCheck = require('../node_modules/fast-check/lib/cjs/fast-check.js');

const seed = Number(process.env.ENDIVESTAND_SOAK_SEED);

const path = process.env.ENDIVESTAND_SOAK_PATH;

const assert = (property, parameters) =>
  fastCheck.assert(property, { ...parameters, seed, path, endOnFailure: true });

const replaced = { ...fastCheck, assert };

module.exports = { ...replaced, __esModule: true, default: replaced };
