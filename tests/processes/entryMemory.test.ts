/**
 * Tests that many large bodies at once do not take an entry VM beyond the memory of the smallest machines, where the platform
 * kills it.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { callEntry, getPeakMemoryKb, startEntryProcess } from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, isRunning, type StartedProcess } from '../stand-ins/processes.js';

const KB_PER_MB = 1_024;
const BODY = Buffer.alloc(500_000, 'a');
const CALLERS = 300;
const ROUNDS = 3;

let store: PlatformStore;
let vm: StartedProcess | null;

beforeEach(async () => {
  store = await startPlatformStore();
  store.put('op/config', createConfiguration(1, ['key-1']));
  vm = null;
});

afterEach(async () => {
  if (vm !== null) {
    await endProcess(vm);
  }
  await store.close();
});

describe('a VM that gets 300 bodies of 500 KB at once, three times', () => {
  it.each([{ memoryMb: 250 }, { memoryMb: 350 }])(
    'stays within its memory of $memoryMb MB',
    async ({ memoryMb }) => {
      const entry = await startEntryProcess(store.address, { memory_mb: memoryMb, max_fds: 4_100 });
      ({ vm } = entry);
      for (let round = 0; round < ROUNDS; round += 1) {
        const calls = Array.from({ length: CALLERS }, (_, index) =>
          callEntry(entry, '/v1/path', `${round}-${index}`, BODY),
        );
        await Promise.all(calls);
      }
      expect(isRunning(entry.vm)).toBe(true);
      expect(getPeakMemoryKb(entry.vm) / KB_PER_MB).toBeLessThan(memoryMb);
    },
  );
});
