/**
 * Tests that the process of an entry VM lives and serves its other callers within its memory, while a faulty server sends bytes
 * without end to many callers at once.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  isRunning,
  type StartedProcess,
  startProgram,
  waitFor,
} from '../stand-ins/processes.js';

const PROGRAM = 'src/bin/gentiandeckEntry.js';
/** The heap limit of the deploy file, and the memory of a VM. */
const HEAP_OPTION = '--max-old-space-size=200';
const MAX_MEMORY_KB = 350 * 1_024;
const ENDLESS_CALLERS = 80;
const OTHER_CALLS = 30;
const OTHER_INTERVAL_MS = 100;
/** The timeout of the route of the other callers. */
const MAX_OTHER_MS = 3_000;
const HEARTBEAT_MS = 500;

const ENDLESS_ROUTE = {
  ...{ name: 'flow', prefix: '/flow/', route_kind: 'streaming', service: 'endless', host: 'h' },
  ...{ timeout_ms: 10_000, goal_ms: 500, attempts: 1, public: true },
};

let store: PlatformStore;
let vm: StartedProcess;
let address: string;
let folder: string;
const closers: (() => void | Promise<void>)[] = [];

async function startVm(): Promise<void> {
  const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
  address = `127.0.0.1:${ports[0]}`;
  const path = join(folder, 'settings.json');
  const settings = {
    node_name: 'vm-1',
    ip: '127.0.0.1',
    zone: 'fd-a',
    port_range: [ports[2], ports[2]],
    listen: { frontend_addr: address, ready_addr: `127.0.0.1:${ports[1]}` },
    platform: { address: store.address },
    bounds: { grace_s: 1, fencing: true },
  };
  writeFileSync(path, JSON.stringify(settings));
  const environment = { [SETTINGS_VARIABLE]: path, NODE_OPTIONS: HEAP_OPTION };
  const args = ['--metrics-port', String(ports[3])];
  vm = await startProgram('vm-1', PROGRAM, args, 'The VM is ready.', environment);
}

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'endless-'));
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, ENDLESS_ROUTE],
    services: [...configuration.services, { name: 'endless', max_conns: 400 }],
  });
  const runner = await startPlatformRunner({ id: 'sound', service: 'counter' });
  closers.push(() => runner.close());
  store.put('servers/sound', runner.describe());
  await startVm();
});

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
  await endProcess(vm);
  await store.close();
  rmSync(folder, { recursive: true, force: true });
});

/** Starts and registers a server that answers each request with a beginning and then a filler until it is cut off. */
async function startEndlessServer(beginning: string, filler: string): Promise<void> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    const write = (): void => {
      while (!socket.destroyed && socket.write(filler));
    };
    socket.once('data', (chunk: Buffer) => {
      const id = /^x-attempt-id: (.*)$/im.exec(chunk.toString())?.[1]?.trim() ?? '';
      socket.write(beginning.replace('ID', id));
      write();
    });
    socket.on('drain', write);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    const entry = { service: 'endless', address: `127.0.0.1:${port}`, slots: 400, ...state };
    store.put('servers/endless', entry);
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  closers.push(() => {
    clearInterval(heartbeat);
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
}

/** Sends a request and reads its answer to the end. Resolves with the status, or 0 without an answer. */
function call(path: string, id: string): Promise<{ status: number; durationMs: number }> {
  const startMs = performance.now();
  const [host = '', port = ''] = address.split(':');
  const headers = { host: 'h', 'x-attempt-id': id, 'x-api-key': 'key-1', 'x-deadline-ms': '8000' };
  return new Promise((resolve) => {
    const end = (status: number): void =>
      resolve({ status, durationMs: performance.now() - startMs });
    const request = http.request({ host, port, path, headers, agent: false }, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => end(response.statusCode ?? 0));
    });
    request.on('error', () => end(0));
    closers.push(() => {
      request.destroy();
    });
    request.end();
  });
}

function getPeakMemoryKb(): number {
  const status = readFileSync(`/proc/${vm.child.pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]);
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n';
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\n\r\n`;

const CASES = [
  { name: 'empty lines of a stream', beginning: STREAM_HEAD, filler: '\n'.repeat(16_384) },
  { name: 'comments of a stream', beginning: STREAM_HEAD, filler: ': c\n\n'.repeat(3_000) },
  { name: 'short events', beginning: STREAM_HEAD, filler: 'data:\n\n'.repeat(2_000) },
  { name: 'one event', beginning: `${STREAM_HEAD}data: `, filler: 'x'.repeat(16_384) },
  { name: 'a body', beginning: `${HEAD}\r\n`, filler: 'x'.repeat(16_384) },
  {
    name: 'a chunked body',
    beginning: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    filler: `4000\r\n${'x'.repeat(16_384)}\r\n`,
  },
  {
    name: 'informational responses',
    beginning: '',
    filler: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(300),
  },
];

describe('bytes without end to many callers', () => {
  it.each(CASES)('end no process and no call of others: $name', async ({ beginning, filler }) => {
    await startEndlessServer(beginning, filler);
    await waitFor(
      'the endless server is used',
      async () => (await call('/flow/x', 'try')).status !== 503,
    );
    for (let i = 0; i < ENDLESS_CALLERS; i += 1) {
      void call('/flow/x', `flow-${i}`);
    }
    const others: ReturnType<typeof call>[] = [];
    for (let i = 0; i < OTHER_CALLS; i += 1) {
      others.push(call('/look/x', `look-${i}`));
      await new Promise((resolve) => {
        setTimeout(resolve, OTHER_INTERVAL_MS);
      });
    }
    const answers = await Promise.all(others);
    expect(isRunning(vm)).toBe(true);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    expect(answers.filter(({ durationMs }) => durationMs > MAX_OTHER_MS)).toEqual([]);
    expect(getPeakMemoryKb()).toBeLessThan(MAX_MEMORY_KB);
  });
});
