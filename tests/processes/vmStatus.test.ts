/**
 * Tests the command that prints the status of an entry VM: against a running daemon, without one, and with an invalid port.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  findFreePort,
  getProgramPath,
  type StartedProcess,
  startProgram,
} from '../stand-ins/processes.js';

const PROGRAM = 'src/bin/gentiandeckEntry.js';
const READY_TEXT = 'The daemon has started.';

interface Outcome {
  readonly exitCode: number;
  readonly output: string;
}

describe('gentiandeck-entry status', () => {
  let store: PlatformStore;
  let daemon: StartedProcess;
  let settingsPath = '';
  const ports = { metrics: 0, unused: 0 };

  beforeAll(async () => {
    store = await startPlatformStore();
    store.put('op/config', createConfiguration(7, ['key-1']));
    const [callers, ready, peers, metrics, unused] = await Promise.all(
      Array.from({ length: 5 }, () => findFreePort()),
    );
    Object.assign(ports, { metrics, unused });
    settingsPath = join(mkdtempSync(join(tmpdir(), 'status-')), 'settings.json');
    const settings = {
      node_name: 'vm-1',
      ip: '127.0.0.1',
      zone: 'fd-a',
      port_range: [peers, peers],
      listen: { frontend_addr: `127.0.0.1:${callers}`, ready_addr: `127.0.0.1:${ready}` },
      platform: { address: store.address },
      bounds: { grace_s: 1 },
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const environment = { [SETTINGS_VARIABLE]: settingsPath };
    const args = ['--metrics-port', String(ports.metrics)];
    daemon = await startProgram('vm-1', PROGRAM, args, READY_TEXT, environment);
  });

  afterAll(async () => {
    daemon.child.kill('SIGKILL');
    await store.close();
  });

  const runStatus = (port: string): Promise<Outcome> =>
    new Promise((resolve) => {
      const env = { ...process.env, [SETTINGS_VARIABLE]: settingsPath };
      execFile(
        process.execPath,
        [getProgramPath(PROGRAM), 'status', '--metrics-port', port],
        { env },
        (error, out, err) => {
          resolve({ exitCode: Number(error?.code ?? 0), output: out + err });
        },
      );
    });

  const CASES = [
    {
      name: 'prints the status of a daemon',
      port: () => ports.metrics,
      exitCode: 0,
      text: 'vm vm-1\n',
    },
    {
      name: 'says that no daemon answers',
      port: () => ports.unused,
      exitCode: 1,
      text: 'gentiandeck-entry: ',
    },
    {
      name: 'rejects an invalid port',
      port: () => 'none',
      exitCode: 2,
      text: '--metrics-port has the value "none"',
    },
  ];

  it.each(CASES)('$name', async ({ exitCode, port, text }) => {
    const outcome = await runStatus(String(port()));
    expect(outcome.output).toContain(text);
    expect(outcome.exitCode).toBe(exitCode);
  });
});
