#!/bin/sh
# Sets up, builds and runs the demonstration; arguments go to the program.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
npm run --silent build
exec node dist/demo/main.js "$@"
