#!/usr/bin/env bash
# Installs what is needed, builds, checks format, lint and layers, runs ThreadSanitizer, fuzzers and every test. Ends on CTest's
# closing lines. Tests that KNOWN-RED.txt names in a line `ctest: NAME` are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

# part NAME COMMAND...: runs it and prints how long it took.
part() {
  local name=$1 start=$SECONDS
  shift
  echo "== $name"
  "$@"
  echo "== $name: $((SECONDS - start)) s"
}

build_all() {
  cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  ninja -C build --quiet
}

# Prints the processes that run a program of this checkout's build folders.
list_own_processes() {
  local process program
  for process in /proc/[0-9]*; do
    program=$(readlink "$process/exe" 2>/dev/null) || continue
    case $program in
    "$PWD"/build/* | "$PWD"/build-*/*) echo "${process##*/} $program" ;;
    esac
  done
}

before=$(list_own_processes)
part packages scripts/install_packages.sh
part build build_all
part lint scripts/lint.sh build
part fuzz scripts/fuzz.sh
part sanitize scripts/sanitize.sh thread build

known_red=()
if [ -e KNOWN-RED.txt ]; then
  echo "== known faults"
  cat KNOWN-RED.txt
  mapfile -t known_red < <(sed -n 's/^ *ctest: *\([A-Za-z0-9_-]*\) *$/\1/p' KNOWN-RED.txt)
fi
exclude=()
if [ "${#known_red[@]}" -gt 0 ]; then
  exclude=(--exclude-regex "^($(IFS='|' && echo "${known_red[*]}"))\$")
fi
status=0
ctest --test-dir build --output-on-failure --parallel 4 "${exclude[@]}" || status=$?

# Processes of another run in this checkout were there before and are not this run's.
left=$(comm -13 <(sort <<<"$before") <(list_own_processes | sort))
if [ -n "$left" ]; then
  echo "processes left behind:" >&2
  echo "$left" >&2
  exit 1
fi
exit "$status"
