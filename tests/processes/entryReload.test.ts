/**
 * Tests that an entry VM reloads settings that are being written when it is told of them, and keeps its settings until then.
 */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ENTRY_PROGRAM, prepareEntry } from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  isRunning,
  type StartedProcess,
  startProgram,
  waitFor,
} from '../stand-ins/processes.js';

const RELOADED_TEXT = 'The settings were reloaded.';
const FAILED_TEXT = 'The settings could not be reloaded.';
const WRITE_MS = 700;

let store: PlatformStore;
let vm: StartedProcess;
let settingsPath: string;
let settingsText: string;

beforeEach(async () => {
  store = await startPlatformStore();
  store.put('op/config', createConfiguration(1, ['key-1']));
  const prepared = await prepareEntry(store.address);
  ({ settingsPath } = prepared);
  settingsText = readFileSync(settingsPath, 'utf8');
  const { args, environment } = prepared;
  vm = await startProgram('vm-1', ENTRY_PROGRAM, args, 'The VM is ready.', environment);
});

afterEach(async () => {
  await endProcess(vm);
  await store.close();
});

const INCOMPLETE_FILES = [
  { name: 'half written', text: () => settingsText.slice(0, 60) },
  { name: 'empty', text: () => '' },
  { name: 'an empty list', text: () => '[]' },
  { name: 'an empty object', text: () => '{}' },
] as const;

describe('a VM that is told of new settings', () => {
  it.each(INCOMPLETE_FILES)('applies them once they are written: $name', async ({ text }) => {
    writeFileSync(settingsPath, text());
    vm.child.kill('SIGHUP');
    await wait(WRITE_MS);
    writeFileSync(settingsPath, settingsText);
    await waitFor('the settings are reloaded', () => vm.getOutput().includes(RELOADED_TEXT));
    expect(vm.getOutput()).not.toContain(FAILED_TEXT);
  });

  it('applies them without another signal when they are written long after it', async () => {
    writeFileSync(settingsPath, '{}');
    vm.child.kill('SIGHUP');
    await waitFor('the failure is logged', () => vm.getOutput().includes(FAILED_TEXT));
    expect(isRunning(vm)).toBe(true);
    renameSync(settingsPath, `${settingsPath}.old`);
    writeFileSync(settingsPath, settingsText);
    await waitFor('the settings are reloaded', () => vm.getOutput().includes(RELOADED_TEXT));
    expect(vm.getOutput().split(FAILED_TEXT)).toHaveLength(2);
  });
});
