/**
 * Tests that each end of the process of an entry VM is told by its last line, and each start by a line with its times.
 */
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  ENTRY_PROGRAM,
  type PreparedEntry,
  prepareEntry,
  startEntryProcess,
} from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, spawnProgram, type StartedProcess, waitFor } from '../stand-ins/processes.js';

/** `grace_s` of the settings. */
const GRACE_S = 2;
const MS_PER_SECOND = 1_000;
/** The steps of each stop. */
const STOP_TEXTS = [
  'A stop was requested.',
  'A graceful shutdown has started.',
  'The VM accepts no more connections.',
  'The graceful shutdown has ended.',
  'The deregistration has ended.',
] as const;
const OVER_ALL_START_PARTS = {
  programMs: expect.any(Number),
  settingsMs: expect.any(Number),
  portsMs: expect.any(Number),
  configurationMs: expect.any(Number),
  serversMs: expect.any(Number),
  totalMs: expect.any(Number),
};

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

function spawnEntry({ args, environment }: PreparedEntry): StartedProcess {
  vm = spawnProgram('vm-1', ENTRY_PROGRAM, args, environment);
  return vm;
}

function getLines(started: StartedProcess): string[] {
  return started.getOutput().trim().split('\n');
}

function getLastLine(started: StartedProcess): string {
  return getLines(started).at(-1) ?? '';
}

/** Opens a connection of a caller whose request is not complete. */
async function connect(address: string, text: string): Promise<net.Socket> {
  const [host, port] = address.split(':');
  const socket = net.connect(Number(port), host);
  socket.on('error', () => {});
  await once(socket, 'connect');
  socket.write(text);
  return socket;
}

describe('a process that is stopped', () => {
  it.each<{ name: string; signals: readonly NodeJS.Signals[]; text: string }>([
    { name: 'by SIGTERM', signals: ['SIGTERM'], text: '' },
    { name: 'twice', signals: ['SIGTERM', 'SIGTERM'], text: '' },
    { name: 'and reloaded meanwhile', signals: ['SIGTERM', 'SIGHUP', 'SIGHUP'], text: '' },
    { name: 'beside a caller that sends nothing', signals: ['SIGTERM'], text: '' },
    {
      name: 'beside a caller that never completes its head',
      signals: ['SIGTERM'],
      text: 'GET /look/x HTTP/1.1\r\nhost: h\r\n',
    },
    {
      name: 'beside a caller that never completes its body',
      signals: ['SIGTERM', 'SIGINT'],
      text: 'POST /book/x HTTP/1.1\r\nhost: h\r\nx-attempt-id: a1\r\nx-api-key: key-1\r\ncontent-length: 9\r\n\r\n1',
    },
  ])('ends with status 0 within its grace and says so last: $name', async (row) => {
    const entry = await startEntryProcess(store.address, {}, { grace_s: GRACE_S });
    ({ vm } = entry);
    const socket = await connect(entry.address, row.text);
    const startMs = performance.now();
    const ended = once(entry.vm.child, 'close');
    row.signals.forEach((signal) => entry.vm.child.kill(signal));
    expect(await ended).toEqual([0, null]);
    expect(performance.now() - startMs).toBeLessThan(GRACE_S * MS_PER_SECOND);
    socket.destroy();
    const last = JSON.parse(getLastLine(entry.vm)) as { stopMs: number };
    expect(last).toMatchObject({
      msg: '[lifecycle] The process ends.',
      reason: 'stop_requested',
      signal: expect.stringMatching(row.signals.join('|')),
      status: 0,
    });
    expect(last.stopMs).toBeLessThan(GRACE_S * MS_PER_SECOND);
    const output = entry.vm.getOutput();
    STOP_TEXTS.forEach((text) => expect(output).toContain(text));
  });

  it('ends with status 0 and names the signal while it waits for a port', async () => {
    const prepared = await prepareEntry(store.address);
    const other = net.createServer();
    const [host, port] = prepared.address.split(':');
    other.listen(Number(port), host);
    await once(other, 'listening');
    const started = spawnEntry(prepared);
    await waitFor('it waits', () => started.getOutput().includes('cannot be used yet'));
    const ended = once(started.child, 'close');
    started.child.kill('SIGTERM');
    expect(await ended).toEqual([0, null]);
    expect(started.getOutput()).toContain('since SIGTERM requested a stop');
    other.close();
  });
});

describe('a process that cannot start', () => {
  it('ends with status 1 and a last line that names the address', async () => {
    const prepared = await prepareEntry(store.address);
    const settings = {
      ...{ node_name: 'vm-1', ip: '127.0.0.1', zone: 'fd-a', port_range: [1, 1] },
      listen: { frontend_addr: prepared.address, ready_addr: 'no.such.host.invalid:1' },
      platform: { address: store.address },
    };
    writeFileSync(prepared.settingsPath, JSON.stringify(settings));
    const started = spawnEntry(prepared);
    expect(await once(started.child, 'close')).toEqual([1, null]);
    expect(getLines(started).join('\n')).toContain('no.such.host.invalid');
  });
});

describe('a process that has started', () => {
  it('logs how long each part of its start took', async () => {
    const { vm: started } = await startEntryProcess(store.address);
    vm = started;
    await waitFor('the line', () => started.getOutput().includes('The start has ended.'));
    await wait(MS_PER_SECOND);
    const line = getLines(started).filter((text) => text.includes('The start has ended.'));
    expect(line).toHaveLength(1);
    expect(JSON.parse(line[0]!)).toMatchObject(OVER_ALL_START_PARTS);
    const parts = getLines(started)
      .filter((text) => text.includes('A part of the start has ended.'))
      .map((text) => (JSON.parse(text) as { part: string }).part);
    expect(parts).toEqual(['program', 'settings', 'ports', 'configuration', 'servers']);
  });
});
