#!/bin/sh
# Builds the stand-ins that the scripts start: those of the project, to dist/. The new ones in review/lib need no build.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
npm run --silent build
