/**
 * Tests that no caller takes a stream for complete that was cut, whatever cuts it, with many callers that read fast and slowly.
 */
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type EntryProcess, startEntryProcess } from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  type StartedProcess,
  startProgram,
  waitFor,
} from '../stand-ins/processes.js';
import { looksComplete, readStream, type StreamResult } from '../stand-ins/streamCaller.js';

const CALLERS = 60;
const EVENTS = 400;
const RESUMED_EVENTS = 100;
const LIMIT_CALLERS = 6;
const LIMIT_DEADLINE_MS = 8_000;
const HEARTBEAT_MS = 500;
const CUT_AFTER_MS = 1_500;
/** Time in which data and the reset after it wait unread. */
const UNREAD_MS = 200;
const LONG_DEADLINE_MS = 20_000;

let store: PlatformStore;
let entry: EntryProcess;
let servers: StartedProcess[] = [];
let ports: number[] = [];
const successors: net.Server[] = [];
const heartbeats: NodeJS.Timeout[] = [];

async function startServer(
  id: string,
  framing: string,
  eventBytes: number,
  events = EVENTS,
): Promise<void> {
  const port = await findFreePort();
  ports.push(port);
  const flags = { port, framing, 'event-bytes': eventBytes, 'interval-ms': 30, events };
  const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
  servers.push(await startProgram(id, 'tests/stand-ins/streamServerMain.js', args, 'ready'));
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    const address = `127.0.0.1:${port}`;
    store.put(`servers/${id}`, { service: 'flow', address, slots: 400, ...state });
  };
  register();
  heartbeats.push(setInterval(register, HEARTBEAT_MS));
}

beforeEach(async () => {
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  const route = {
    ...{ name: 'flow', prefix: '/flow/', route_kind: 'streaming', service: 'flow', host: 'h' },
    ...{ timeout_ms: LONG_DEADLINE_MS, goal_ms: 1_000, attempts: 2, public: true },
  };
  const resumable = { ...route, name: 'resumed', prefix: '/resumed/', resumable: true };
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, route, resumable],
    services: [...configuration.services, { name: 'flow', max_conns: 400 }],
  });
  entry = await startEntryProcess(store.address, {}, { retry_slack: 500 });
});

afterEach(async () => {
  heartbeats.splice(0).forEach((heartbeat) => clearInterval(heartbeat));
  await Promise.all([entry.vm, ...servers].map((started) => endProcess(started)));
  servers = [];
  ports = [];
  successors.splice(0).forEach((successor) => successor.close());
  await store.close();
});

function openStreams(
  deadlineMs: number,
  path = '/flow/x',
  protocol = 'HTTP/1.1',
  count = CALLERS,
): Promise<StreamResult[]> {
  const streams = Array.from({ length: count }, (_, i) =>
    readStream(
      entry.address,
      [
        ...[`GET ${path} ${protocol}`, 'Host: h', `X-Attempt-Id: c${i}`],
        ...[`X-Deadline-Ms: ${deadlineMs}`, 'Connection: close'],
      ],
      i % 2 === 0,
    ),
  );
  return Promise.all(streams);
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function waitForStream(): Promise<void> {
  await waitFor('a stream begins', async () => {
    const head = ['GET /flow/x HTTP/1.1', 'Host: h', 'X-Attempt-Id: try', 'X-Deadline-Ms: 300'];
    return (await readStream(entry.address, head, false)).status === 200;
  });
}

/** Listens on a port as soon as the process that has it has ended. */
function succeed(port: number): void {
  const successor = net.createServer((socket) => socket.on('error', () => {}));
  successor.on('error', () => setTimeout(() => successor.listen(port, '127.0.0.1'), 1));
  successor.listen(port, '127.0.0.1');
  successors.push(successor);
}

/** What cuts the streams. */
const CUTS: readonly {
  cut: string;
  deadlineMs: number;
  protocol?: string;
  eventBytes?: number;
  callers?: number;
  run: () => void | Promise<void>;
}[] = [
  {
    cut: 'the grace period of a stop',
    deadlineMs: LONG_DEADLINE_MS,
    run: () => {
      entry.vm.child.kill('SIGTERM');
    },
  },
  { cut: 'the deadline of the requests', deadlineMs: 2_000, run: () => {} },
  {
    cut: 'the deadline of HTTP/1.0 requests',
    deadlineMs: 2_000,
    protocol: 'HTTP/1.0',
    run: () => {},
  },
  {
    cut: 'the limit on the length of an answer',
    deadlineMs: LIMIT_DEADLINE_MS,
    eventBytes: 500_000,
    callers: LIMIT_CALLERS,
    run: () => {},
  },
  {
    cut: 'the end of the servers',
    deadlineMs: LONG_DEADLINE_MS,
    run: () => servers.forEach(({ child }) => child.kill('SIGKILL')),
  },
  {
    cut: 'the end of the servers, at whose addresses others listen at once',
    deadlineMs: LONG_DEADLINE_MS,
    run: () => {
      servers.forEach(({ child }) => child.kill('SIGKILL'));
      ports.forEach(succeed);
    },
  },
  {
    cut: 'a reset by the servers that the VM reads late',
    deadlineMs: LONG_DEADLINE_MS,
    eventBytes: 500,
    run: async () => {
      entry.vm.child.kill('SIGSTOP');
      await wait(UNREAD_MS);
      servers.forEach(({ child }) => child.kill('SIGUSR2'));
      await wait(UNREAD_MS);
      entry.vm.child.kill('SIGCONT');
    },
  },
  {
    cut: 'the end of the VM',
    deadlineMs: LONG_DEADLINE_MS,
    run: () => {
      entry.vm.child.kill('SIGKILL');
    },
  },
];

const CASES = CUTS.flatMap((cut) => ['chunks', 'none'].flatMap((framing) => ({ ...cut, framing })));

describe('a stream that is cut', () => {
  it.each(CASES)(
    'does not look complete to any caller: $cut, framing $framing',
    async ({ callers = CALLERS, deadlineMs, eventBytes = 20_000, framing, protocol, run }) => {
      await startServer('s1', framing, eventBytes);
      await startServer('s2', framing, eventBytes);
      await waitForStream();
      const streams = openStreams(deadlineMs, '/flow/x', protocol, callers);
      await wait(CUT_AFTER_MS);
      await run();
      const results = await streams;
      const begun = results.filter(({ status }) => status === 200);
      expect(begun.length).toBeGreaterThan(callers / 2);
      expect(begun.filter(looksComplete).map(({ eventIds }) => eventIds.length)).toEqual([]);
    },
  );
});

describe('a stream that may be resumed', () => {
  it.each(['chunks', 'none'])(
    'is complete at every caller although one of two servers is killed: framing %s',
    async (framing) => {
      await startServer('s1', framing, 2_000, RESUMED_EVENTS);
      await startServer('s2', framing, 2_000, RESUMED_EVENTS);
      await waitForStream();
      const streams = openStreams(LONG_DEADLINE_MS, '/resumed/x');
      await wait(CUT_AFTER_MS);
      servers[0]?.child.kill('SIGKILL');
      const results = await streams;
      const eventIds = Array.from({ length: RESUMED_EVENTS }, (_, index) => index + 1);
      const broken = results.filter(
        (result) => !looksComplete(result) || result.eventIds.join() !== eventIds.join(),
      );
      expect(broken.map((result) => [result.end, result.eventIds.length])).toEqual([]);
    },
  );
});
