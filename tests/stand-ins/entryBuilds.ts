/**
 * Builds the entry program as the platform does: the present version, and earlier ones from the history of the repository for an upgrade.
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const SOURCES = ['src', 'platform', 'deploy', 'package.json', 'tsconfig.json'];
const BUNDLE = 'target/gentiandeckEntry.cjs';

const RUN_PATTERN = /^run = "(.+)"$/m;

/** Earlier versions by what callers of mixed fleets may notice of them. */
export const EarlierCommit = {
  /** Takes no requests that other VMs pass. */
  WithoutPassing: '2e2cd22',
  /** The last landing before this test was written. */
  LastLanding: '21bbfdc',
} as const;
export type EarlierCommit = (typeof EarlierCommit)[keyof typeof EarlierCommit];

/** A program as the platform builds and starts it. */
export interface EntryBuild {
  /** The path of its first file. */
  readonly program: string;
  /** The options of Node.js with which its deploy file starts it. */
  readonly nodeOptions: string;
}

/** An earlier version, in a folder of its own. */
export interface EarlierBuild extends EntryBuild {
  readonly remove: () => void;
}

/** Bundles the program in a folder with its sources. */
function bundle(folder: string): EntryBuild {
  execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: folder, stdio: 'ignore' });
  const deployFile = readFileSync(join(folder, 'deploy/system.toml'), 'utf8');
  const words = (RUN_PATTERN.exec(deployFile)?.[1] ?? '').split(' ');
  const nodeOptions = words.slice(1, words.indexOf(BUNDLE)).join(' ');
  return { program: join(folder, BUNDLE), nodeOptions };
}

/** Builds the present version. */
export function buildPresent(): EntryBuild {
  return bundle(ROOT);
}

/** Returns whether the repository has a commit, and says so if not: a clone may have no history, and an archive none at all. */
export function hasCommit(commit: string): boolean {
  const args = ['cat-file', '-e', `${commit}^{commit}`];
  const isFound = spawnSync('git', args, { cwd: ROOT, stdio: 'ignore' }).status === 0;
  if (!isFound) {
    process.stdout.write(`not run: the repository has no commit ${commit} to build\n`);
  }
  return isFound;
}

/**
 * Builds the program as of a commit in a folder of its own, with the packages that are installed.
 *
 * @throws Error if the repository does not have the commit.
 */
export function buildEarlier(commit: string): EarlierBuild {
  const folder = mkdtempSync(join(tmpdir(), 'entry-earlier-'));
  const archive = join(folder, 'sources.tar');
  execFileSync('git', ['archive', '--output', archive, commit, ...SOURCES], { cwd: ROOT });
  execFileSync('tar', ['-xf', archive], { cwd: folder });
  symlinkSync(join(ROOT, 'node_modules'), join(folder, 'node_modules'));
  return {
    ...bundle(folder),
    remove: () => rmSync(folder, { recursive: true, force: true }),
  };
}
