/** Stands in for fast-check in soak runs: every property runs with the seed from the environment. */
const fastCheck = require('../node_modules/fast-check/lib/cjs/fast-check.js');

const seed = Number(process.env.ENDIVESTAND_SOAK_SEED);

const assert = (property, parameters) => fastCheck.assert(property, { ...parameters, seed, path: undefined });

const replaced = { ...fastCheck, assert };

module.exports = { ...replaced, __esModule: true, default: replaced };
