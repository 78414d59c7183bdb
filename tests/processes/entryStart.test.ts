/**
 * Tests that the process of an entry VM starts and lives on where others would end it: signals before it has started, ports
 * that an earlier process still has, and a settings file that is not written yet.
 */
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import { VERSION } from '../../src/transport/version.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { findFreePort, getProgramPath, waitFor } from '../stand-ins/processes.js';

const PROGRAM = 'src/bin/gentiandeckEntry.js';
const RELOADED_TEXT = 'The settings were reloaded.';
/** An earlier process may have its ports for some time after the next one has started. */
const PORT_IN_USE_MS = 1_500;
/** Longer than a start takes, so that the settings are read before they are completed. */
const INCOMPLETE_SETTINGS_MS = 2_500;

/** `grace_s` of the settings, and the time that a loaded machine takes. */
const STOP_MS = 8_000;
const FULL_DEVICE = openSync('/dev/full', 'w');

const PortName = { Callers: 0, Readiness: 1, Peers: 2, Metrics: 3 } as const;

let store: PlatformStore;
let folder: string;
let child: ChildProcess | null;
let output: string;
let ports: number[];

beforeEach(async () => {
  store = await startPlatformStore();
  store.put('op/config', createConfiguration(1, ['key-1']));
  folder = mkdtempSync(join(tmpdir(), 'entry-start-'));
  ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
  child = null;
  output = '';
});

afterEach(async () => {
  if (child !== null && child.exitCode === null && child.signalCode === null) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
  await store.close();
  rmSync(folder, { recursive: true, force: true });
});

function createSettings(): string {
  return JSON.stringify({
    node_name: 'vm-1',
    ip: '127.0.0.1',
    zone: 'fd-a',
    port_range: [ports[PortName.Peers], ports[PortName.Peers]],
    listen: {
      frontend_addr: `127.0.0.1:${ports[PortName.Callers]}`,
      ready_addr: `127.0.0.1:${ports[PortName.Readiness]}`,
    },
    platform: { address: store.address },
    bounds: { grace_s: 1, fencing: true },
  });
}

function createSettingsWith(fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ ...(JSON.parse(createSettings()) as object), ...fields });
}

function startEntry(settingsPath: string, stdout: 'pipe' | number = 'pipe'): ChildProcess {
  const args = [getProgramPath(PROGRAM), '--metrics-port', String(ports[PortName.Metrics])];
  const started = spawn(process.execPath, args, {
    stdio: ['ignore', stdout, 'pipe'],
    env: { ...process.env, [SETTINGS_VARIABLE]: settingsPath },
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
    return (await fetch(`http://127.0.0.1:${ports[PortName.Readiness]}/v1/readyz`)).status === 200;
  } catch {
    return false;
  }
}

function waitUntilReady(started: ChildProcess): Promise<void> {
  return waitFor(`the VM is ready; output: ${output}`, () => {
    if (!isRunning(started)) {
      throw new Error(`ended with ${started.exitCode ?? started.signalCode}: ${output}`);
    }
    return isReady();
  });
}

/** Opens a pipe once a process waits to read its settings from it. Writing fails before that. */
async function openPipe(path: string): Promise<number> {
  let pipe = -1;
  await waitFor('the settings are read', () => {
    try {
      // eslint-disable-next-line no-bitwise -- flags of a file
      pipe = openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
      return true;
    } catch {
      return false;
    }
  });
  return pipe;
}

function supplySettings(pipe: number, text: string): void {
  writeFileSync(pipe, text);
  closeSync(pipe);
}

/** Starts a process that waits for its settings to be written to a pipe. */
async function startReading(): Promise<{ started: ChildProcess; path: string; pipe: number }> {
  const path = join(folder, 'settings');
  execFileSync('mkfifo', [path]);
  const started = startEntry(path);
  return { started, path, pipe: await openPipe(path) };
}

describe('a process that is starting', () => {
  it('lives on and reloads its settings when SIGHUP comes while it reads them', async () => {
    const { path, pipe, started } = await startReading();
    started.kill('SIGHUP');
    supplySettings(pipe, createSettings());
    await waitUntilReady(started);
    supplySettings(await openPipe(path), createSettings());
    await waitFor('the settings are reloaded', () => output.includes(RELOADED_TEXT));
    expect(isRunning(started)).toBe(true);
  });

  it.each(['SIGTERM', 'SIGINT'] as const)(
    'ends with success when %s comes while it reads its settings',
    async (signal) => {
      const { pipe, started } = await startReading();
      const exited = once(started, 'close');
      started.kill(signal);
      supplySettings(pipe, createSettings());
      expect(await exited).toEqual([0, null]);
      expect(output).toContain(signal);
    },
  );

  it.each(Object.entries(PortName))(
    'waits for the port that another process still has: %s',
    async (_name, index) => {
      const other = net.createServer();
      await new Promise<void>((resolve) => {
        other.listen(ports[index], '127.0.0.1', resolve);
      });
      setTimeout(() => other.close(), PORT_IN_USE_MS);
      const path = join(folder, 'settings.json');
      writeFileSync(path, createSettings());
      const started = startEntry(path);
      await waitFor('the other process has ended', () => !other.listening);
      await waitUntilReady(started);
    },
  );

  it('is ready while another process keeps the port of the metrics', async () => {
    const other = net.createServer();
    await new Promise<void>((resolve) => {
      other.listen(ports[PortName.Metrics], '127.0.0.1', resolve);
    });
    const path = join(folder, 'settings.json');
    writeFileSync(path, createSettings());
    await waitUntilReady(startEntry(path));
    other.close();
  });

  it.each([
    { name: 'half written', text: () => createSettings().slice(0, 80) },
    { name: 'empty', text: () => '' },
  ])('reads settings again that are $name', async ({ text }) => {
    const { path, pipe, started } = await startReading();
    const completePath = join(folder, 'complete');
    writeFileSync(completePath, createSettings());
    renameSync(completePath, path);
    supplySettings(pipe, text());
    await waitUntilReady(started);
  });

  it.each<{ name: string; text: () => string | null }>([
    { name: 'missing', text: () => null },
    { name: 'cut short', text: () => createSettings().slice(0, 80) },
    { name: 'an empty list', text: () => '[]' },
    { name: 'null', text: () => 'null' },
    { name: 'an empty object', text: () => '{}' },
    { name: 'without a key', text: () => createSettingsWith({ zone: undefined }) },
    { name: 'without a port for peers', text: () => createSettingsWith({ port_range: [] }) },
    { name: 'with an empty name', text: () => createSettingsWith({ node_name: '' }) },
    {
      name: 'with half an address',
      text: () => createSettingsWith({ platform: { address: '127.0.0.1' } }),
    },
  ])('is ready after its settings are completed that were $name', async ({ text }) => {
    const path = join(folder, 'settings.json');
    const incomplete = text();
    if (incomplete !== null) {
      writeFileSync(path, incomplete);
    }
    const started = startEntry(path);
    await wait(INCOMPLETE_SETTINGS_MS);
    expect(await isReady()).toBe(false);
    writeFileSync(path, createSettings());
    await waitUntilReady(started);
  });

  it.each<{ name: string; text: string; expected: readonly string[] }>([
    { name: 'missing keys', text: '{"node_name":"vm-1"}', expected: ['Missing key', 'ip'] },
    { name: 'another shape', text: '[]', expected: ['Expected object'] },
    { name: 'no JSON', text: '{"node_name":"vm', expected: ['is not complete JSON'] },
  ])('ends with a line that says why when its settings stay wrong: $name', async (row) => {
    const path = join(folder, 'settings.json');
    writeFileSync(path, row.text);
    const started = startEntry(path);
    const [code] = await once(started, 'exit');
    expect(code).toBe(2);
    const lastLine = output.trim().split('\n').at(-1) ?? '';
    [path, ...row.expected].forEach((part) => expect(lastLine).toContain(part));
    expect(output).not.toContain('request body');
  });

  it.each<{ name: string; stdout: 'pipe' | number; closed: readonly ('stdout' | 'stderr')[] }>([
    { name: 'its log cannot be written', stdout: FULL_DEVICE, closed: [] },
    { name: 'the reader of its log has gone', stdout: 'pipe', closed: ['stdout'] },
    { name: 'nobody reads its errors', stdout: 'pipe', closed: ['stderr'] },
    { name: 'nobody reads anything', stdout: 'pipe', closed: ['stdout', 'stderr'] },
  ])('waits for settings, serves and stops with success while $name', async (row) => {
    const path = join(folder, 'settings.json');
    const started = startEntry(path, row.stdout);
    row.closed.forEach((name) => started[name]?.destroy());
    await wait(INCOMPLETE_SETTINGS_MS);
    writeFileSync(path, createSettings());
    await waitUntilReady(started);
    const exited = once(started, 'exit');
    started.kill('SIGTERM');
    expect(await Promise.race([exited, wait(STOP_MS).then(() => 'still running')])).toEqual([
      0,
      null,
    ]);
  });

  it('logs its version, its settings, and the signal that stops it', async () => {
    const path = join(folder, 'settings.json');
    writeFileSync(path, createSettings());
    const started = startEntry(path);
    await waitUntilReady(started);
    const exited = once(started, 'close');
    started.kill('SIGINT');
    await exited;
    const lines = output
      .trim()
      .split('\n')
      .map((line) => JSON.parse(line) as object);
    expect(lines[0]).toMatchObject({
      msg: '[lifecycle] The daemon is starting.',
      version: VERSION,
      nodeVersion: process.version,
      failureDomain: 'fd-a',
      storeAddress: store.address,
      stopGraceMs: 1_000,
    });
    expect(lines).toContainEqual(
      expect.objectContaining({ msg: '[lifecycle] A stop was requested.', signal: 'SIGINT' }),
    );
  });
});
