#!/bin/sh
# Installs packages, builds, and runs the demonstration. Arguments are passed to the program.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
npm run --silent build
exec node dist/demo/main.js "$@"
