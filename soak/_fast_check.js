/**
 * Stands in for fast-check in soak runs: every property runs with the seed from
 * the environment. Failures are not shrunk: each step of a shrink simulates an
 * hour, so that a failure would never be reported. ENDIVESTAND_SOAK_PATH
 * repeats the single run that a report names.
 */
const fastCheck = require('../node_modules/fast-check/lib/cjs/fast-check.js');

const seed = Number(process.env.ENDIVESTAND_SOAK_SEED);

const path = process.env.ENDIVESTAND_SOAK_PATH;

const assert = (property, parameters) =>
  fastCheck.assert(property, { ...parameters, seed, path, endOnFailure: true });

const replaced = { ...fastCheck, assert };

module.exports = { ...replaced, __esModule: true, default: replaced };
