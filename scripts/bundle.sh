#!/bin/sh
# Bundles gentiandeck-entry for the users' platform, with the code cache of its start.
set -eu
cd "$(dirname "$0")/.."
bundle() {
  npx rolldown "src/bin/$1.ts" --platform node --format "$2" --minify false --file "target/$3" --log-level warn
}
bundle gentiandeckEntry cjs gentiandeckEntry.cjs
bundle startCached esm startEntry.mjs
# The same flags as in deploy/system.toml: with others, V8 does not accept the cache.
node --max-old-space-size=200 target/startEntry.mjs --create-code-cache >/dev/null
