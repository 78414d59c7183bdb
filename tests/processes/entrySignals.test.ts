/**
 * Tests that signals, an error while the process starts and a store that answers nonsense do not end the process of an entry
 * VM, and that requests to stop end it with success, however they overlap.
 */
import { once } from 'node:events';
import http, { type RequestListener } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  ENTRY_PROGRAM,
  type PreparedEntry,
  prepareEntry,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  isRunning,
  spawnProgram,
  type StartedProcess,
  waitFor,
} from '../stand-ins/processes.js';

/** Longer than a signal takes to end a process. */
const LIVES_ON_MS = 400;
/** `grace_s` of the settings, and the time that a loaded machine takes. */
const STOP_MS = 5_000;
const STARTED_TEXT = 'The daemon has started.';

let store: PlatformStore;
let started: StartedProcess | null;
const servers: net.Server[] = [];

beforeEach(async () => {
  store = await startPlatformStore();
  store.put('op/config', createConfiguration(1, ['key-1']));
  started = null;
});

afterEach(async () => {
  if (started !== null) {
    await endProcess(started);
  }
  servers.splice(0).forEach((server) => server.close());
  await store.close();
});

/** Starts a process without waiting for anything. */
function start({ args, environment }: PreparedEntry, more: Record<string, string> = {}) {
  started = spawnProgram('vm-1', ENTRY_PROGRAM, args, { ...environment, ...more });
  return started;
}

async function startStoreOf(answer: RequestListener): Promise<string> {
  const server = http.createServer(answer);
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function expectEnd({ child }: StartedProcess, end: () => void): Promise<void> {
  const exited = once(child, 'exit');
  end();
  const timeout = wait(STOP_MS).then(() => 'still running');
  expect(await Promise.race([exited, timeout])).toEqual([0, null]);
}

describe('a signal that no platform sends to stop a VM', () => {
  it.each(['SIGPIPE', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGHUP'] as const)(
    'does not end a VM that serves: %s',
    async (signal) => {
      ({ vm: started } = await startEntryProcess(store.address));
      started.child.kill(signal);
      await wait(LIVES_ON_MS);
      expect(isRunning(started)).toBe(true);
    },
  );

  it('does not open a debugger', async () => {
    ({ vm: started } = await startEntryProcess(store.address));
    started.child.kill('SIGUSR1');
    await wait(LIVES_ON_MS);
    expect(started.getOutput()).not.toContain('Debugger listening');
  });
});

describe('a request to stop', () => {
  it.each([
    { name: 'SIGQUIT', signals: ['SIGQUIT'] },
    { name: 'two stops', signals: ['SIGTERM', 'SIGTERM'] },
    { name: 'two kinds of stops', signals: ['SIGINT', 'SIGTERM'] },
    { name: 'a stop within reloads', signals: ['SIGHUP', 'SIGTERM', 'SIGHUP'] },
    { name: 'a stop after 50 reloads', signals: [...Array(50).fill('SIGHUP'), 'SIGTERM'] },
  ])('ends a VM with success: $name', async ({ signals }) => {
    const { vm } = await startEntryProcess(store.address);
    started = vm;
    await expectEnd(vm, () => signals.forEach((signal: NodeJS.Signals) => vm.child.kill(signal)));
  });

  it('ends a VM with success while its store is silent', async () => {
    const { vm } = await startEntryProcess(store.address);
    started = vm;
    store.delayMs = 60_000;
    await expectEnd(vm, () => vm.child.kill('SIGTERM'));
  });

  it('ends a VM with success that never had an answer of its store', async () => {
    const vm = start(await prepareEntry(await startStoreOf(() => {})));
    await waitFor('the daemon runs', () => vm.getOutput().includes(STARTED_TEXT));
    await expectEnd(vm, () => vm.child.kill('SIGTERM'));
  });
});

describe('a VM that is starting', () => {
  it('lives on when an error is thrown while it waits for a port', async () => {
    const prepared = await prepareEntry(store.address);
    const other = net.createServer();
    servers.push(other);
    const [host, port] = prepared.address.split(':');
    other.listen(Number(port), host);
    await once(other, 'listening');
    const script = 'setTimeout(()=>{throw(new(Error)("unexpected"))},2500)';
    const vm = start(prepared, { NODE_OPTIONS: `--import=data:text/javascript,${script}` });
    await waitFor('the VM waits for its port', () => vm.getOutput().includes('cannot be used yet'));
    await waitFor('the error is thrown', () => vm.getOutput().includes('unexpected'));
    await wait(LIVES_ON_MS);
    expect(isRunning(vm)).toBe(true);
    other.close();
    await waitFor('the daemon runs', () => vm.getOutput().includes(STARTED_TEXT));
  });

  it.each<{ name: string; answer: RequestListener }>([
    { name: 'text that is no JSON', answer: (_, response) => response.end('<html>') },
    { name: 'JSON of another form', answer: (_, response) => response.end('[{"items":7}]') },
    { name: 'bytes that are no HTTP', answer: ({ socket }) => socket.end('garbage\r\n\r\n') },
    { name: 'an empty answer', answer: (_, response) => response.end() },
    { name: 'a reset', answer: ({ socket }) => socket.resetAndDestroy() },
    {
      name: 'an unknown status',
      answer: (_, response) => {
        response.writeHead(599);
        response.end('{}');
      },
    },
    {
      name: 'numbers that cannot be',
      answer: (_, response) => {
        response.writeHead(200, { 'Store-Era': '1e400' });
        response.end('{"items":[],"as_of":-1e308,"lease":-1,"rev":1e300,"ttl_ms":0}');
      },
    },
  ])('lives on and stops with success while its store answers $name', async ({ answer }) => {
    const vm = start(await prepareEntry(await startStoreOf(answer)));
    await waitFor('the daemon runs', () => vm.getOutput().includes(STARTED_TEXT));
    await wait(2 * LIVES_ON_MS);
    expect(isRunning(vm)).toBe(true);
    await expectEnd(vm, () => vm.child.kill('SIGTERM'));
  });
});
