/**
 * Starts the bundle of `gentiandeck-entry` with the code cache that the build has made, so that a start does not compile the
 * whole bundle. Without a cache, or with one of another version of Node.js, the bundle starts as well, only more slowly.
 *
 * With the argument `--create-code-cache` it makes the cache instead. V8 only accepts it in a process with the same flags.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

const CREATE_ARGUMENT = '--create-code-cache';
/** What the bundle runs while its code cache is made: all of its modules, and no daemon. */
const RUN_WHILE_CREATING = '--version';

type RunBundle = (
  exports: object,
  require: NodeJS.Require,
  module: { readonly exports: object },
  filename: string,
  dirname: string,
) => void;

const directory = fileURLToPath(new URL('.', import.meta.url));
const bundlePath = join(directory, 'gentiandeckEntry.cjs');
const cachePath = join(directory, 'gentiandeckEntry.cache');
const isCreating = process.argv.includes(CREATE_ARGUMENT);

const script = new Script(Module.wrap(readFileSync(bundlePath, 'utf8')), {
  filename: bundlePath,
  ...(!isCreating && existsSync(cachePath) && { cachedData: readFileSync(cachePath) }),
});
if (isCreating) {
  process.argv.splice(2, process.argv.length, RUN_WHILE_CREATING);
}
const bundleModule = { exports: {} };
const runBundle = script.runInThisContext() as RunBundle;
runBundle.call(
  bundleModule.exports,
  bundleModule.exports,
  createRequire(bundlePath),
  bundleModule,
  bundlePath,
  directory,
);
if (isCreating) {
  // After the run, so that the cache also has the functions that a start compiles only when it calls them.
  writeFileSync(cachePath, script.createCachedData());
}
