import base from '../jest.config.mjs';

/** Runs the tests of the project, except those that start processes, with the seed of the soak run. */
export default {
  ...base,
  rootDir: '..',
  testPathIgnorePatterns: [...base.testPathIgnorePatterns, '/demo/'],
  moduleNameMapper: { '^fast-check$': '<rootDir>/soak/_fast_check.js' },
};
