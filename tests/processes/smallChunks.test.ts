/**
 * Tests that the process of an entry VM lives and serves its other callers while servers and callers send bodies in chunks of one byte,
 * and that whole bodies in such chunks arrive as they are.
 */
import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callEntry,
  type CallResult,
  type EntryProcess,
  getPeakMemoryKb,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformRunner, startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  isRunning,
  type StartedProcess,
  startProgram,
  waitFor,
} from '../stand-ins/processes.js';
import { formatEvents, SOUND_BYTES, toSmallChunks } from '../stand-ins/smallChunks.js';

/** The memory of a VM. */
const MAX_MEMORY_KB = 350 * 1_024;
/** The timeout of the route of the other callers. */
const MAX_OTHER_MS = 3_000;
const OTHER_CALLS = 40;
const OTHER_INTERVAL_MS = 100;
const HEARTBEAT_MS = 500;
const LARGE_BODY = Buffer.from(`${toSmallChunks('x'.repeat(1_000_000))}0\r\n\r\n`);

const ROUTE_KINDS = {
  endless: 'idempotent',
  rejected: 'idempotent',
  whole: 'idempotent',
  flow: 'streaming',
  events: 'streaming',
} as const;
const ROUTES = Object.entries(ROUTE_KINDS).map(([name, routeKind]) => ({
  ...{ name, prefix: `/${name}/`, route_kind: routeKind, service: 'chunks', host: 'h' },
  ...{ timeout_ms: 10_000, goal_ms: 500, attempts: 2, public: true },
}));

let store: PlatformStore;
let entry: EntryProcess;
let sound: PlatformRunner;
let server: StartedProcess;
let heartbeat: NodeJS.Timeout;
const sockets = new Set<net.Socket>();

beforeEach(async () => {
  const port = await findFreePort();
  const args = ['--port', String(port)];
  server = await startProgram('server', 'tests/stand-ins/smallChunkServerMain.js', args, 'ready');
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, ...ROUTES],
    services: [...configuration.services, { name: 'chunks', max_conns: 400 }],
  });
  sound = await startPlatformRunner({ id: 'sound', service: 'counter' });
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    const address = `127.0.0.1:${port}`;
    store.put('servers/chunks', { service: 'chunks', address, slots: 400, ...state });
    store.put('servers/sound', { ...sound.describe(), seq });
  };
  register();
  heartbeat = setInterval(register, HEARTBEAT_MS);
  entry = await startEntryProcess(store.address, { memory_mb: 350 });
  await waitFor(
    'both servers are used',
    async () =>
      (await callEntry(entry, '/look/x', 'try')).status === 200 &&
      (await callEntry(entry, '/whole/x', 'try-2')).status === 200,
  );
});

afterEach(async () => {
  clearInterval(heartbeat);
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
  await Promise.all([entry.vm, server].map((started) => endProcess(started)));
  await sound.close();
  await store.close();
});

/** Starts to send a request with a large body in chunks of one byte. */
function sendSmallChunks(id: string): void {
  const [host = '', port = ''] = entry.address.split(':');
  const head = ['POST /look/x HTTP/1.1', 'Host: h', 'X-Api-Key: key-1', `X-Attempt-Id: ${id}`];
  const socket = net.connect(Number(port), host, () => {
    socket.write(`${head.join('\r\n')}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    socket.write(LARGE_BODY);
  });
  sockets.add(socket);
  socket.on('error', () => {});
  socket.resume();
}

const CROWDS = [
  { sender: 'a server, of an answer', start: (id: string) => callEntry(entry, '/endless/x', id) },
  { sender: 'a server, of a stream', start: (id: string) => callEntry(entry, '/flow/x', id) },
  {
    sender: 'a server, of a rejection',
    start: (id: string) => callEntry(entry, '/rejected/x', id),
  },
  { sender: 'a caller', start: sendSmallChunks },
] as const;
const CASES = CROWDS.flatMap((crowd) => [1, 40].map((count) => ({ ...crowd, count })));

describe('bodies in chunks of one byte', () => {
  it.each(CASES)(
    'end no process and no call of others: $count from $sender',
    async ({ count, start }) => {
      Array.from({ length: count }, (_, i) => start(`crowd-${i}`));
      const others: Promise<CallResult>[] = [];
      for (let i = 0; i < OTHER_CALLS; i += 1) {
        others.push(callEntry(entry, '/look/x', `look-${i}`));
        await new Promise((resolve) => {
          setTimeout(resolve, OTHER_INTERVAL_MS);
        });
      }
      const answers = await Promise.all(others);
      expect(isRunning(entry.vm)).toBe(true);
      expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
      expect(answers.filter(({ durationMs }) => durationMs > MAX_OTHER_MS)).toEqual([]);
      expect(getPeakMemoryKb(entry.vm)).toBeLessThan(MAX_MEMORY_KB);
    },
  );
});

/** Sends a request, and returns the body of its answer, or its status if that is no success. */
function fetchBody(path: string, body: string): Promise<string> {
  const [host = '', port = ''] = entry.address.split(':');
  const headers = { host: 'h', 'x-attempt-id': 'sound', 'x-api-key': 'key-1' };
  return new Promise((resolve, reject) => {
    const method = body === '' ? 'GET' : 'POST';
    const request = http.request(
      { host, port, path, method, headers, agent: false },
      (response) => {
        let text = '';
        response.setEncoding('latin1');
        response.on('data', (part: string) => {
          text += part;
        });
        response.on('error', reject);
        response.on('end', () =>
          resolve(response.statusCode === 200 ? text : `${response.statusCode}`),
        );
      },
    );
    request.on('error', reject);
    Array.from(body, (byte) => request.write(byte));
    request.end();
  });
}

const SOUND_CASES = [
  { name: 'an answer', path: '/whole/x', expected: () => 'x'.repeat(SOUND_BYTES) },
  { name: 'a stream', path: '/events/x', expected: formatEvents },
] as const;

describe('a whole body in chunks of one byte', () => {
  it.each(SOUND_CASES)('arrives as it is: $name', async ({ expected, path }) => {
    const body = await fetchBody(path, '');
    expect(body.length).toBe(expected().length);
    expect(body === expected()).toBe(true);
  });

  it('arrives as it is: that of a request', async () => {
    const body = 'x'.repeat(SOUND_BYTES);
    expect(await fetchBody('/look/x', body)).toBe('whole');
    expect(sound.seen.map((request) => request.body === body)).toContain(true);
  });
});
