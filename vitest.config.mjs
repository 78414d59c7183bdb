import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', ['json', { outputFile: 'coverage/tests.json' }]],
    // Tests that start processes would distort each other's timing if they ran in parallel.
    fileParallelism: false,
  },
});
