#!/bin/sh
# Installs the packages of package-lock.json if that file is newer than the last installation.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund
  touch node_modules/.package-lock.json
fi
