/**
 * Tests the bundle that the deploy file runs: its first file holds the signals before anything else is loaded, and the whole
 * starts as the platform starts it.
 */
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  copyFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, dirname, extname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { prepareEntry } from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { startPlatformStore } from '../stand-ins/platformStore.js';
import { waitFor } from '../stand-ins/processes.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
/** More than the first file needs, and little enough to be read and compiled at once. */
const MAX_FIRST_FILE_BYTES = 4_096;
/** Within the start of Node.js, before any file of the program is read. */
const START_OF_NODE_MS = 50;
/** Time for which the first file is kept from being read; its half is longer than the start of Node.js. */
const READING_MS = 1_200;
/** Longer than a signal takes to end a process. */
const LIVES_ON_MS = 400;
const RUN_PATTERN = /^run = "(.+)"$/m;
/** What the first file loads next. */
const PROGRAM_FILE = 'entryProgram.cjs';

let folder: string;
/** The words with which the platform starts the program. */
let words: string[];
let firstFile: string;

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT, stdio: 'ignore' });
  folder = mkdtempSync(join(tmpdir(), 'entry-bundle-'));
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  words = (RUN_PATTERN.exec(deployFile)?.[1] ?? '').split(' ');
  firstFile = words.find((word) => word.startsWith('target/')) ?? '';
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe('the first file of the bundle', () => {
  it('is a small CommonJS file, which Node.js loads sooner than an ES module', () => {
    expect(extname(firstFile)).toBe('.cjs');
    expect(statSync(join(ROOT, firstFile)).size).toBeLessThan(MAX_FIRST_FILE_BYTES);
  });

  it.each(['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGQUIT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const)(
    'holds a signal before anything else is loaded: %s',
    async (signal) => {
      const copy = join(folder, basename(firstFile));
      copyFileSync(join(ROOT, firstFile), copy);
      const program = `process.kill(process.pid, '${signal}'); setTimeout(() => process.exit(7), 100);`;
      writeFileSync(join(folder, PROGRAM_FILE), program);
      const child = spawn(process.execPath, [copy], { stdio: 'ignore' });
      expect(await once(child, 'exit')).toEqual([7, null]);
    },
  );
});

describe('a signal before the first file has been read', () => {
  it('is held, and no report is written', async () => {
    const copy = join(folder, 'held.cjs');
    const reports = mkdtempSync(join(folder, 'reports-'));
    copyFileSync(join(ROOT, firstFile), copy);
    writeFileSync(join(folder, PROGRAM_FILE), 'setTimeout(() => process.exit(7), 100);');
    const slow = join(folder, 'slow.cjs');
    const read = `const until = Date.now() + ${READING_MS}; while (Date.now() < until); require('./held.cjs');`;
    writeFileSync(slow, read);
    const options = words.slice(1, words.indexOf(firstFile));
    const child = spawn(process.execPath, [...options, `--report-directory=${reports}`, slow], {
      stdio: 'ignore',
    });
    const exited = once(child, 'exit');
    await wait(READING_MS / 2);
    child.kill('SIGHUP');
    expect(await exited).toEqual([7, null]);
    expect(readdirSync(reports)).toEqual([]);
  });
});

describe('the bundle', () => {
  it('starts with the command of the deploy file, survives SIGHUP and stops with success', async () => {
    const store = await startPlatformStore();
    store.put('op/config', createConfiguration(1, ['key-1']));
    const { environment } = await prepareEntry(store.address);
    const child = spawn(process.execPath, words.slice(1), {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment, NODE_OPTIONS: '' },
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const exited = once(child, 'exit');
    await waitFor('the VM is ready', () => output.includes('The VM is ready.'));
    child.kill('SIGHUP');
    await waitFor('it reloads', () => output.includes('The settings were reloaded.'));
    child.kill('SIGTERM');
    expect(await exited).toEqual([0, null]);
    await store.close();
  });

  it('lives on when SIGHUP comes while Node.js itself starts', async () => {
    const { environment } = await prepareEntry('127.0.0.1:9');
    const child = spawn(process.execPath, words.slice(1), {
      cwd: ROOT,
      stdio: 'ignore',
      env: { ...process.env, ...environment, NODE_OPTIONS: '' },
    });
    const exited = once(child, 'exit');
    await wait(START_OF_NODE_MS);
    child.kill('SIGHUP');
    const end = await Promise.race([exited, wait(LIVES_ON_MS).then(() => 'running')]);
    child.kill('SIGKILL');
    expect(end).toBe('running');
  });
});
