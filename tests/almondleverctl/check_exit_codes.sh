#!/usr/bin/env bash
# Guards against exit codes of the built program that differ from its help. Usage: check_exit_codes.sh PROGRAM EXAMPLES
set -uo pipefail
program=$1
examples=$2
unset ALMONDLEVER_KV_ADDRESS ALMONDLEVER_DAEMON_ADDRESS
failures=0

# expect CODE ARGUMENT...
expect() {
  local expected=$1
  shift
  "$program" "$@" >/dev/null 2>&1
  local code=$?
  if [ "$code" -ne "$expected" ]; then
    echo "almondleverctl $*: exit code $code, expected $expected"
    failures=$((failures + 1))
  fi
}

expect 0 --help
expect 0 --version
expect 0 validate "$examples/kavango"
expect 0 validate "$examples/limmidasmidjan" --json
expect 1 validate "$examples/planted-errors"
expect 1 validate "$examples/nowhere"
expect 2
expect 2 validate
expect 2 apply "$examples/kavango"
# Nothing listens on port 1 of loopback.
expect 4 plan "$examples/kavango" --kv-address 127.0.0.1:1
expect 4 apply "$examples/kavango" --kv-address 127.0.0.1:1
expect 4 status --daemon-address 127.0.0.1:1
[ "$failures" -eq 0 ]
