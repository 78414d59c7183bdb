/**
 * Tests that the bundle of an entry VM starts with its code cache, and also when the cache is missing, damaged or was made with
 * other flags.
 */
import { execFile } from 'node:child_process';
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { beforeAll, describe, expect, it } from 'vitest';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const CACHE = 'gentiandeckEntry.cache';
const FILES = ['startEntry.mjs', 'gentiandeckEntry.cjs', CACHE];
const VERSION_TEXT = 'gentiandeck-entry, 0.1.0';
const run = promisify(execFile);

/** Returns the flags with which the users' platform runs the bundle. */
function readFlags(): string[] {
  const command = /^run = "node (.*?) target/m.exec(
    readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
  );
  return command![1]!.split(' ');
}

/** Prints whether V8 accepts the code cache in a folder. */
const CHECK_SCRIPT = `
  const { readFileSync } = require('node:fs');
  const text = require('node:module').wrap(readFileSync('gentiandeckEntry.cjs', 'utf8'));
  const cachedData = readFileSync('${CACHE}');
  console.log(!new (require('node:vm').Script)(text, { cachedData }).cachedDataRejected);`;

const CASES = [
  { name: 'as built', isUsed: true, flags: readFlags(), change: () => {} },
  {
    name: 'missing',
    isUsed: null,
    flags: readFlags(),
    change: (folder: string) => rmSync(join(folder, CACHE)),
  },
  {
    name: 'cut off',
    isUsed: false,
    flags: readFlags(),
    change: (folder: string) => {
      const whole = readFileSync(join(folder, CACHE));
      writeFileSync(join(folder, CACHE), whole.subarray(0, whole.length / 2));
    },
  },
  {
    name: 'empty',
    isUsed: false,
    flags: readFlags(),
    change: (folder: string) => writeFileSync(join(folder, CACHE), ''),
  },
  {
    name: 'made with other flags',
    isUsed: false,
    flags: [...readFlags(), '--no-opt'],
    change: () => {},
  },
];

describe('a code cache that is', () => {
  beforeAll(async () => {
    await run('sh', ['scripts/bundle.sh'], { cwd: ROOT });
  });

  it.each(CASES)('$name does not keep the program from starting', async (scenario) => {
    const folder = mkdtempSync(join(tmpdir(), 'bundle-'));
    FILES.forEach((file) => copyFileSync(join(ROOT, 'target', file), join(folder, file)));
    scenario.change(folder);
    const node = (...args: string[]) =>
      run(process.execPath, [...scenario.flags, ...args], { cwd: folder });
    const { stdout } = await node('startEntry.mjs', '--version');
    expect(stdout.trim()).toBe(VERSION_TEXT);
    if (scenario.isUsed !== null) {
      const check = await node('-e', CHECK_SCRIPT);
      expect(check.stdout.trim()).toBe(String(scenario.isUsed));
    }
  });
});
