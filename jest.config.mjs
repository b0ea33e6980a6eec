/** @type {import('jest').Config} */
export default {
  testEnvironment: 'node',
  testMatch: ['**/*_test.ts'],
  testPathIgnorePatterns: ['/node_modules/', '/dist/'],
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' } }],
  },
  testTimeout: 30000,
  maxWorkers: 4,
};
