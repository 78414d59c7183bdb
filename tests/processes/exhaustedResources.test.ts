/**
 * Tests that the process of an entry VM lives, and serves its callers again, when its descriptors run out, and when callers send more
 * large bodies at once than it has memory for.
 */
import { execFileSync } from 'node:child_process';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callEntry,
  type EntryProcess,
  Framing,
  getPeakMemoryKb,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, isRunning, waitFor } from '../stand-ins/processes.js';

const MAX_MEMORY_KB = 350 * 1_024;
const MAX_DESCRIPTORS = 80;
const CONNECTIONS = 200;
const LARGE_BODY = Buffer.alloc(4_000_000, 'x');
const LARGE_CALLS = 120;
const HEARTBEAT_MS = 500;

let store: PlatformStore;
let entry: EntryProcess;
let server: http.Server;
let heartbeat: NodeJS.Timeout;
/** Time after which the server answers. */
let workMs = 0;

beforeEach(async () => {
  workMs = 0;
  server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () =>
      setTimeout(() => {
        const id = request.headers['x-attempt-id'];
        response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': 's', 'content-length': 2 });
        response.end('ok');
      }, workMs),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  store.put('op/config', {
    ...configuration,
    services: configuration.services.map((service) => ({ ...service, max_conns: 400 })),
  });
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    store.put('servers/c1', {
      service: 'counter',
      address: `127.0.0.1:${port}`,
      slots: 400,
      ...state,
    });
  };
  register();
  heartbeat = setInterval(register, HEARTBEAT_MS);
  entry = await startEntryProcess(store.address);
});

afterEach(async () => {
  clearInterval(heartbeat);
  await endProcess(entry.vm);
  await store.close();
  server.closeAllConnections();
  server.close();
});

async function isServed(): Promise<boolean> {
  return (await callEntry(entry, '/look/x', 'look')).status === 200;
}

describe('a process whose callers take more than it has', () => {
  it('lives and serves again after its descriptors have run out', async () => {
    await waitFor('a call is served', isServed);
    execFileSync('prlimit', [
      `--pid=${entry.vm.child.pid}`,
      `--nofile=${MAX_DESCRIPTORS}:${MAX_DESCRIPTORS}`,
    ]);
    const [host = '', port = ''] = entry.address.split(':');
    const sockets = Array.from({ length: CONNECTIONS }, () => {
      const socket = net.connect(Number(port), host);
      socket.on('error', () => {});
      return socket;
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 3_000);
    });
    expect(isRunning(entry.vm)).toBe(true);
    sockets.forEach((socket) => socket.destroy());
    await waitFor('a call is served again', isServed);
  });

  it.each([
    { name: 'a length', getFraming: Framing.Length },
    { name: 'chunks', getFraming: Framing.Chunks },
  ])(
    'keeps within its memory and rejects what it cannot hold, with $name',
    async ({ getFraming }) => {
      await waitFor('a call is served', isServed);
      workMs = 1_000;
      const large = Array.from({ length: LARGE_CALLS }, (_, i) =>
        callEntry(entry, '/book/x', `book-${i}`, LARGE_BODY, getFraming),
      );
      const answers = await Promise.all(large);
      expect(isRunning(entry.vm)).toBe(true);
      expect(getPeakMemoryKb(entry.vm)).toBeLessThan(MAX_MEMORY_KB);
      expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(0);
      const others = answers.filter(({ status }) => status !== 200);
      expect(others.filter(({ retryAfter, status }) => status !== 503 || !retryAfter)).toEqual([]);
      workMs = 0;
      await waitFor('a call is served again', isServed);
    },
  );
});
