import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', ['json', { outputFile: 'coverage/tests.json' }]],
    // Tests with processes of their own would disturb each other's times.
    fileParallelism: false,
  },
});
