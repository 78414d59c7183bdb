#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: those of the project, to dist/. The new ones in review/lib-2 need no build.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
npm run --silent build
