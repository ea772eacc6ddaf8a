#!/usr/bin/env bash
# Installs a build into a temporary folder, builds examples/package against it with find_package and runs that program.
# Usage: scripts/check_install.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
folder=$(mktemp -d "${TMPDIR:-/tmp}/almondlever-install.XXXXXX")
trap 'rm -rf "$folder"' EXIT

cmake --install "$build" --prefix "$folder/prefix" >/dev/null
for file in bin/almondleverd bin/almondleverctl share/man/man8/almondleverd.8 share/man/man1/almondleverctl.1 \
  lib/systemd/system/almondleverd.service; do
  if [ ! -s "$folder/prefix/$file" ]; then
    echo "check_install: $file is missing" >&2
    exit 1
  fi
done
"$folder/prefix/bin/almondleverctl" --version >/dev/null
cmake -G Ninja -S examples/package -B "$folder/build" -DCMAKE_PREFIX_PATH="$folder/prefix" >/dev/null
ninja -C "$folder/build" --quiet
"$folder/build/check_inventory" examples/kavango
# Guards against a program that accepts everything.
if "$folder/build/check_inventory" examples/planted-errors >/dev/null; then
  echo "check_install: the example accepted examples/planted-errors" >&2
  exit 1
fi
