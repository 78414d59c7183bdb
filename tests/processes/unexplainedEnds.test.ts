/**
 * Tests that nothing ends the process of an entry VM for which the platform has no reason, and that nothing keeps it from its
 * start or its end: errors of any form and origin, outputs that nobody reads, nonsense at its ports, and a stop beside all that
 * it could wait for.
 */
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  rmSync,
  writeSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callEntry,
  ENTRY_PROGRAM,
  type PreparedEntry,
  prepareEntry,
} from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { findFreePort, getProgramPath, waitFor } from '../stand-ins/processes.js';

const MS_PER_SECOND = 1_000;
/** Longer than a signal or an error takes to end a process. */
const LIVES_ON_MS = 400;
/** `grace_s` of the settings. */
const GRACE_S = 4;
/** Longer than a start takes, so that the process waits for its settings. */
const LATE_SETTINGS_MS = 2_500;
/** Longer than the grace, so that a request without an answer is still there when the grace ends. */
const ROUTE_TIMEOUT_MS = 30_000;
const PIPE_FILLER = Buffer.alloc(4_096, '\n');

let store: PlatformStore;
let folder: string;
let prepared: PreparedEntry;
let child: ChildProcess | null;
let output: string;
const descriptors: number[] = [];
const servers: net.Server[] = [];

beforeEach(async () => {
  store = await startPlatformStore();
  store.put('op/config', createConfiguration(1, ['key-1']));
  folder = mkdtempSync(join(tmpdir(), 'entry-ends-'));
  prepared = await prepareEntry(store.address, {}, { grace_s: GRACE_S });
  child = null;
  output = '';
});

afterEach(async () => {
  if (child !== null && child.exitCode === null && child.signalCode === null) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
  descriptors.splice(0).forEach((descriptor) => closeSync(descriptor));
  servers.splice(0).forEach((server) => server.close());
  await store.close();
  rmSync(folder, { recursive: true, force: true });
});

/** Starts a process with outputs of the test or a script that runs in it. */
function start(
  outputs: { readonly stdout?: number; readonly stderr?: number } = {},
  script = '',
): ChildProcess {
  const { args, environment } = prepared;
  const importScript =
    script === '' ? '' : ` --import=data:text/javascript,${encodeURIComponent(script)}`;
  const started = spawn(process.execPath, [getProgramPath(ENTRY_PROGRAM), ...args], {
    stdio: ['ignore', outputs.stdout ?? 'pipe', outputs.stderr ?? 'pipe'],
    env: {
      ...process.env,
      ...environment,
      NODE_OPTIONS: `${environment.NODE_OPTIONS}${importScript}`,
    },
  });
  const append = (chunk: Buffer): void => {
    output += chunk.toString();
  };
  started.stdout?.on('data', append);
  started.stderr?.on('data', append);
  child = started;
  return started;
}

function isRunning({ exitCode, signalCode }: ChildProcess): boolean {
  return exitCode === null && signalCode === null;
}

async function isReady(): Promise<boolean> {
  try {
    return (await fetch(`http://${prepared.readyAddress}/v1/readyz`)).status === 200;
  } catch {
    return false;
  }
}

async function waitUntilReady(started: ChildProcess): Promise<void> {
  await waitFor('the VM is ready', () => {
    if (!isRunning(started)) {
      throw new Error(`ended with ${started.exitCode ?? started.signalCode}: ${output}`);
    }
    return isReady();
  });
}

/** Stops a process, and expects it to end with success within its grace. */
async function expectStop(started: ChildProcess): Promise<void> {
  const exited = once(started, 'exit');
  started.kill('SIGTERM');
  const timeout = wait(GRACE_S * MS_PER_SECOND).then(() => 'still running');
  expect(await Promise.race([exited, timeout])).toEqual([0, null]);
}

/** Opens a pipe that holds as many bytes as it can, and that nobody reads. */
function openFullPipe(): number {
  const path = join(folder, `pipe-${descriptors.length}`);
  execFileSync('mkfifo', [path]);
  // eslint-disable-next-line no-bitwise -- flags of a file
  const filler = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  const end = openSync(path, constants.O_WRONLY);
  descriptors.push(filler, end);
  try {
    while (true) {
      writeSync(filler, PIPE_FILLER);
    }
  } catch (error) {
    expect((error as NodeJS.ErrnoException).code).toBe('EAGAIN');
  }
  return end;
}

const FULL_OUTPUTS: readonly { name: string; open: () => { stdout?: number; stderr?: number } }[] =
  [
    { name: 'standard output', open: () => ({ stdout: openFullPipe() }) },
    { name: 'standard error', open: () => ({ stderr: openFullPipe() }) },
    {
      name: 'both, in one pipe',
      open: () => {
        const stdout = openFullPipe();
        return { stdout, stderr: stdout };
      },
    },
  ];

describe('a process whose full output nobody reads', () => {
  it.each(FULL_OUTPUTS)('starts, serves and stops within its grace: $name', async ({ open }) => {
    const started = start(open());
    await waitUntilReady(started);
    await expectStop(started);
  });

  it.each(FULL_OUTPUTS)('starts although its settings come late: $name', async ({ open }) => {
    const { settingsPath } = prepared;
    renameSync(settingsPath, `${settingsPath}.later`);
    const started = start(open());
    await wait(LATE_SETTINGS_MS);
    renameSync(`${settingsPath}.later`, settingsPath);
    await waitUntilReady(started);
    await expectStop(started);
  });

  it.each(FULL_OUTPUTS)('stops while it waits for its settings: $name', async ({ open }) => {
    renameSync(prepared.settingsPath, `${prepared.settingsPath}.later`);
    const started = start(open());
    await wait(LATE_SETTINGS_MS);
    await expectStop(started);
  });
});

/** What a script in the process throws. */
const THROWN: readonly { name: string; value: string }[] = [
  { name: 'an error', value: 'new Error("unexpected")' },
  { name: 'nothing', value: 'undefined' },
  { name: 'a symbol', value: 'Symbol("unexpected")' },
  { name: 'an object without a prototype', value: 'Object.create(null)' },
  {
    name: 'an error whose stack cannot be read',
    value: 'Object.defineProperty(new Error("x"),"stack",{get(){throw new Error("unreadable")}})',
  },
  { name: 'an error whose stack is no text', value: 'Object.assign(new Error("x"),{stack:1n})' },
];

/** Where a script in the process throws it. */
const ORIGINS: readonly { name: string; getScript: (value: string) => string }[] = [
  { name: 'a timer', getScript: (value) => `throw ${value};` },
  { name: 'a promise', getScript: (value) => `Promise.reject(${value});` },
  { name: 'a microtask', getScript: (value) => `queueMicrotask(() => { throw ${value}; });` },
  {
    name: 'the callback of a socket',
    getScript: (value) => `
      const server = net.createServer(() => { throw ${value}; });
      server.listen(0, '127.0.0.1', () => net.connect(server.address().port, '127.0.0.1'));
      setTimeout(() => server.close(), 200);`,
  },
];

const ERRORS = ORIGINS.flatMap(({ getScript, name: origin }) =>
  THROWN.map(({ name, value }) => ({ name: `${name} in ${origin}`, script: getScript(value) })),
);

/** Runs a script in the process when it gets SIGUSR2, which it ignores otherwise. */
function onRequest(script: string): string {
  return `import net from 'node:net'; process.on('SIGUSR2', () => setTimeout(() => { ${script} }));`;
}

describe('a process in which something is thrown', () => {
  it.each(ERRORS)('lives on, serves and stops with success: $name', async ({ script }) => {
    const started = start({}, onRequest(script));
    await waitUntilReady(started);
    started.kill('SIGUSR2');
    await waitFor('it is logged', () => {
      expect(isRunning(started), output).toBe(true);
      return output.includes('An unexpected error was caught.');
    });
    await wait(LIVES_ON_MS);
    expect(await isReady()).toBe(true);
    await expectStop(started);
  });

  it('lives on although it is thrown while it waits for its settings', async () => {
    const { settingsPath } = prepared;
    renameSync(settingsPath, `${settingsPath}.later`);
    const started = start({}, onRequest('throw new Error("unexpected");'));
    await waitFor('it waits for its settings', () => output.includes('It is read again'));
    started.kill('SIGUSR2');
    await wait(LIVES_ON_MS);
    expect(isRunning(started), output).toBe(true);
    renameSync(`${settingsPath}.later`, settingsPath);
    await waitUntilReady(started);
    expect(output).toContain('unexpected');
  });
});

const NONSENSE: readonly { name: string; bytes: Buffer | string }[] = [
  { name: 'zeros', bytes: Buffer.alloc(100_000) },
  { name: 'the start of TLS', bytes: Buffer.from('16030100a5010000a10303', 'hex') },
  { name: 'the start of HTTP/2', bytes: 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' },
  { name: 'a head that is too large', bytes: `GET / HTTP/1.1\r\nx: ${'y'.repeat(200_000)}` },
  { name: 'a path that is none', bytes: 'GET %%%//[:: HTTP/1.1\r\nhost: h\r\n\r\n' },
  {
    name: 'an upgrade',
    bytes: 'GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nzz',
  },
  { name: 'a tunnel', bytes: 'CONNECT h:1 HTTP/1.1\r\nhost: h:1\r\n\r\nzz' },
  {
    name: 'a call that a peer does not make',
    bytes:
      'POST /gentiandeck.entry.v1.EntryPeerService/Exchange HTTP/1.1\r\nhost: h\r\ncontent-type: application/proto\r\ncontent-length: 6\r\n\r\n\xff\xff\xff\xff\xff\xff',
  },
  {
    name: 'chunks that are none',
    bytes: 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  },
];

describe('a process that gets nonsense at its ports', () => {
  it.each(NONSENSE)('lives on, serves and stops with success: $name', async ({ bytes }) => {
    const started = start();
    await waitUntilReady(started);
    const settings = prepared;
    const { port_range: ports } = JSON.parse(readFileSync(settings.settingsPath, 'utf8')) as {
      port_range: readonly number[];
    };
    const peers = `127.0.0.1:${ports[0]}`;
    [settings.address, settings.readyAddress, settings.metricsAddress, peers].forEach((address) => {
      const [host, port] = address.split(':');
      const socket = net.connect(Number(port), host);
      socket.on('error', () => {});
      socket.write(bytes);
      setTimeout(() => socket.resetAndDestroy(), LIVES_ON_MS / 2);
    });
    await wait(LIVES_ON_MS);
    expect(await isReady(), output).toBe(true);
    await expectStop(started);
  });
});

/** Registers a server that begins no answer. */
async function startSilentServer(): Promise<void> {
  const server = http.createServer((request) => request.resume());
  servers.push(server);
  const port = await findFreePort();
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  const life = { state: 'ready', cold_left_ms: 0, born: Date.now(), seq: 1, version: 'v1' };
  const place = { service: 'counter', address: `127.0.0.1:${port}`, slots: 4, zone: 'fd-a' };
  store.put('servers/c1', { ...place, ...life });
  const configuration = createConfiguration(2, ['key-1']);
  const routes = configuration.routes.map((route) => ({ ...route, timeout_ms: ROUTE_TIMEOUT_MS }));
  store.put('op/config', { ...configuration, routes });
}

describe('a stop', () => {
  it.each<{ name: string; isStoreSilent: boolean; isLogFull: boolean; isRequestLeft: boolean }>([
    { name: 'a silent store', isStoreSilent: true, isLogFull: false, isRequestLeft: false },
    { name: 'a full log', isStoreSilent: false, isLogFull: true, isRequestLeft: false },
    { name: 'a silent server', isStoreSilent: false, isLogFull: false, isRequestLeft: true },
    { name: 'all of these', isStoreSilent: true, isLogFull: true, isRequestLeft: true },
  ])('ends within its grace beside $name', async ({ isLogFull, isRequestLeft, isStoreSilent }) => {
    await startSilentServer();
    const started = start(isLogFull ? { stdout: openFullPipe() } : {});
    await waitUntilReady(started);
    await wait(MS_PER_SECOND);
    const entry = { vm: { name: 'vm-1', child: started, getOutput: () => output }, ...prepared };
    const call = isRequestLeft ? callEntry(entry, '/book/x', 'book') : null;
    await wait(LIVES_ON_MS);
    store.delayMs = isStoreSilent ? 60_000 : 0;
    await expectStop(started);
    await call;
    expect(output.includes('"requests":1,"phases":"dispatched=1"')).toBe(
      isRequestLeft && !isLogFull,
    );
  });

  it.each<{ name: string; signals: readonly NodeJS.Signals[] }>([
    { name: 'reloads at the same moment', signals: ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM'] },
    { name: 'a hundred reloads meanwhile', signals: ['SIGTERM', ...Array(100).fill('SIGHUP')] },
  ])('ends within its grace beside $name', async ({ signals }) => {
    const started = start();
    await waitUntilReady(started);
    const storm = setInterval(() => started.kill('SIGHUP'), 20);
    signals.forEach((signal) => started.kill(signal));
    await expectStop(started);
    clearInterval(storm);
  });
});
