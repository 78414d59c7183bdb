#!/bin/sh
# Installs packages, builds, and runs one benchmark: npm run bench -- <name>.
# The memory figures need --expose-gc.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
npm run --silent build
exec node --expose-gc dist/bench/main.js "$@"
