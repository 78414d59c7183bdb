import { defineConfig } from 'vitest/config';

/** Tests that start processes, that need a processor of their own to end in time, or that bound times over sockets. */
const ONE_BY_ONE = [
  'tests/processes/**/*.test.ts',
  'tests/coordination/rateLimit.test.ts',
  'tests/entry/relays.test.ts',
  'tests/entry/requestCrash.test.ts',
  'tests/entry/backendAgent.test.ts',
  'tests/entry/serverStatements.test.ts',
];

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', ['json', { outputFile: 'coverage/tests.json' }]],
    projects: [
      {
        extends: true,
        test: {
          name: 'in process',
          include: ['tests/**/*.test.ts'],
          exclude: ONE_BY_ONE,
          maxWorkers: '50%',
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'one by one',
          include: ONE_BY_ONE,
          // Tests that start processes would distort each other's timing if they ran in parallel.
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
