/** Replaces the fixed seeds of all properties by one from the environment. */
const fastCheck = require('fast-check').default;

const seed = Number(process.env.ENDIVESTAND_SOAK_SEED);
const assertWithOwnSeed = fastCheck.assert;

fastCheck.assert = (property, parameters) =>
  assertWithOwnSeed(property, { ...parameters, seed, path: undefined });
