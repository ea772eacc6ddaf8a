#!/usr/bin/env bash
# Installs what is needed, builds, checks format and lint, and runs every test. Ends on CTest's closing lines.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C build --quiet
scripts/lint.sh build
ctest --test-dir build --output-on-failure --parallel 4
