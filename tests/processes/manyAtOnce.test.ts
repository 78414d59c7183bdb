/**
 * Tests that the process of an entry VM lives within its memory and serves its other callers while many callers at once do what
 * is allowed to each of them.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callEntry,
  type CallResult,
  type EntryProcess,
  getPeakMemoryKb,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  isRunning,
  type StartedProcess,
  startProgram,
  waitFor,
} from '../stand-ins/processes.js';

/** The memory of a VM. */
const MAX_MEMORY_KB = 350 * 1_024;
/** The timeout of the route of the other callers. */
const MAX_OTHER_MS = 3_000;
const OTHER_CALLS = 30;
const OTHER_INTERVAL_MS = 100;
const HEARTBEAT_MS = 500;
const CROWD_TIMEOUT_MS = 32_000;

let store: PlatformStore;
let entry: EntryProcess;
let server: StartedProcess;
let heartbeat: NodeJS.Timeout;
let flood: StartedProcess | null = null;

const LARGE_ROUTES = ['large', 'unread', 'slow', 'event'].map((name) => ({
  ...{ name, prefix: `/${name}/`, service: 'counter', host: 'h' },
  ...{ timeout_ms: 30_000, goal_ms: 1_000, attempts: 2, public: true },
  route_kind: name === 'event' ? 'streaming' : 'idempotent',
}));

beforeEach(async () => {
  const port = await findFreePort();
  const args = ['--port', String(port)];
  server = await startProgram('server', 'tests/stand-ins/answerServerMain.js', args, 'ready');
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, ...LARGE_ROUTES],
    services: configuration.services.map((service) => ({ ...service, max_conns: 4_000 })),
  });
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    const address = `127.0.0.1:${port}`;
    store.put('servers/c1', { service: 'counter', address, slots: 4_000, ...state });
  };
  register();
  heartbeat = setInterval(register, HEARTBEAT_MS);
  entry = await startEntryProcess(store.address, { memory_mb: 350, max_fds: 4_100 });
  await waitFor(
    'a call is served',
    async () => (await callEntry(entry, '/look/x', 'try')).status === 200,
  );
});

afterEach(async () => {
  clearInterval(heartbeat);
  await Promise.all([flood, entry.vm, server].map((started) => started && endProcess(started)));
  flood = null;
  await store.close();
});

const CASES = [
  { name: '2,500 heads of 110 KB without an end', pattern: 'heads', count: 2_500 },
  { name: '2,500 headers of 130 KB', pattern: 'header', count: 2_500 },
  { name: '500 connections with 300 requests', pattern: 'pipelined', count: 500 },
  { name: '4,200 idle connections', pattern: 'idle', count: 4_200 },
  { name: '400 answers of 4 MB that are not read', pattern: 'unread', count: 400 },
  { name: '400 unfinished events of 900 KB', pattern: 'event', count: 400 },
];
/** Crowds that read their answers, which are all to arrive whole. */
const SERVED_CASES = [
  { name: '400 answers of 1 MB', pattern: 'large', count: 400 },
  { name: '400 slow readers of 4 MB', pattern: 'slow', count: 400 },
  { name: '400 unfinished events of 900 KB', pattern: 'event', count: 400 },
];

/** Starts a crowd, and returns what the calls of others and the memory of the VM came to beside it. */
async function playCrowd(
  pattern: string,
  count: number,
): Promise<{ crowd: StartedProcess; failed: number; late: number }> {
  const args = ['--address', entry.address, '--pattern', pattern, '--count', String(count)];
  const crowd = await startProgram('flood', 'tests/stand-ins/floodCallerMain.js', args, 'ready');
  flood = crowd;
  const others: Promise<CallResult>[] = [];
  for (let i = 0; i < OTHER_CALLS; i += 1) {
    others.push(callEntry(entry, '/look/x', `look-${i}`));
    await new Promise((resolve) => {
      setTimeout(resolve, OTHER_INTERVAL_MS);
    });
  }
  const answers = await Promise.all(others);
  return {
    crowd,
    failed: answers.filter(({ status }) => status !== 200).length,
    late: answers.filter(({ durationMs }) => durationMs > MAX_OTHER_MS).length,
  };
}

/** Returns the most memory that the VM has had; null if its process has ended. */
function readPeakMemoryKb(): number | null {
  return isRunning(entry.vm) ? getPeakMemoryKb(entry.vm) : null;
}

const WITHIN_MEMORY = expect.toSatisfy((kb: number | null) => kb !== null && kb < MAX_MEMORY_KB);

describe('many callers at once', () => {
  it.each(CASES)('end no process and no call of others: $name', async ({ count, pattern }) => {
    const { failed, late } = await playCrowd(pattern, count);
    expect({ failed, late, peakMemoryKb: readPeakMemoryKb() }).toEqual({
      failed: 0,
      late: 0,
      peakMemoryKb: WITHIN_MEMORY,
    });
  });

  it.each(SERVED_CASES)(
    'end no process and no call of others, and are served: $name',
    async ({ count, pattern }) => {
      const { crowd, failed, late } = await playCrowd(pattern, count);
      const [, ended = 'still waiting'] = await waitFor(
        'the crowd has ended',
        () => crowd.getOutput().includes('ended '),
        CROWD_TIMEOUT_MS,
      ).then(
        () => /^ended (.*)$/m.exec(crowd.getOutput()) ?? [],
        () => [],
      );
      expect({ failed, late, ended, peakMemoryKb: readPeakMemoryKb() }).toEqual({
        failed: 0,
        late: 0,
        ended: `whole=${count} statuses=200x${count}`,
        peakMemoryKb: WITHIN_MEMORY,
      });
    },
  );
});
