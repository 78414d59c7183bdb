/**
 * Tests that the process of an entry VM lives and serves its other callers within its memory, while a faulty server sends bytes
 * without end to many callers at once.
 */
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callEntry,
  type CallResult,
  type EntryProcess,
  getPeakMemoryKb,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, isRunning, waitFor } from '../stand-ins/processes.js';

/** The memory of a VM. */
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
let entry: EntryProcess;
const closers: (() => void | Promise<void>)[] = [];

beforeEach(async () => {
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
  entry = await startEntryProcess(store.address);
});

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
  await endProcess(entry.vm);
  await store.close();
});

/** The same again and again, or a part by its index. */
type Filler = string | ((index: number) => string);

/** Starts and registers a server that answers each request with a beginning and then a filler until it is cut off. */
async function startEndlessServer(beginning: string, filler: Filler): Promise<void> {
  const sockets = new Set<Socket>();
  const getPart = typeof filler === 'string' ? () => filler : filler;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let index = 0;
    const writePart = (): boolean => {
      index += 1;
      return socket.write(getPart(index - 1));
    };
    const write = (): void => {
      while (!socket.destroyed && writePart());
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
    const fields = { service: 'endless', address: `127.0.0.1:${port}`, slots: 400, ...state };
    store.put('servers/endless', fields);
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  closers.push(() => {
    clearInterval(heartbeat);
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n';
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\n\r\n`;

const EVENTS_OF_PART = 2_000;

function formatPart(index: number): string {
  const first = index * EVENTS_OF_PART + 1;
  return Array.from({ length: EVENTS_OF_PART }, (_, i) => `id: ${first + i}\ndata:\n\n`).join('');
}

const CASES: readonly {
  readonly name: string;
  readonly beginning: string;
  readonly filler: Filler;
}[] = [
  { name: 'empty lines of a stream', beginning: STREAM_HEAD, filler: '\n'.repeat(16_384) },
  { name: 'comments of a stream', beginning: STREAM_HEAD, filler: ': c\n\n'.repeat(3_000) },
  {
    name: 'short events without numbers',
    beginning: STREAM_HEAD,
    filler: 'data:\n\n'.repeat(2_000),
  },
  { name: 'short events', beginning: STREAM_HEAD, filler: formatPart },
  { name: 'a short event again', beginning: STREAM_HEAD, filler: 'id: 1\ndata:\n\n'.repeat(2_000) },
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
      async () => (await callEntry(entry, '/flow/x', 'try')).status !== 503,
    );
    for (let i = 0; i < ENDLESS_CALLERS; i += 1) {
      void callEntry(entry, '/flow/x', `flow-${i}`);
    }
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
  });
});
