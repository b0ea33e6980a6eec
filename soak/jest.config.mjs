import base from '../jest.config.mjs';

/** The tests of the project with fresh seeds, without those that start processes. */
export default {
  ...base,
  rootDir: '..',
  testPathIgnorePatterns: [...base.testPathIgnorePatterns, '/demo/'],
  moduleNameMapper: { '^fast-check$': '<rootDir>/soak/_fast_check.js' },
};
