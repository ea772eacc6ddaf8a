#!/usr/bin/env bash
# Runs every `sh` block of docs/CALLERS.md against stand-ins and three daemons, in order and in one shell, each block at the
# next daemon. Checks the block's last answer against the jq condition of the comment that follows the block.
# Usage: scripts/caller_examples.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
ALMONDLEVER_BUILD=$(cd "${1:-build}" && pwd)
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

# split_blocks FILE FOLDER: writes the blocks as 01.sh, 02.sh, ... and their conditions as 01.jq, 02.jq, ...
split_blocks() {
  awk -v folder="$2" '
    /^```sh$/ { block = sprintf("%s/%02d", folder, ++count); isInside = 1; next }
    /^```$/ { isInside = 0; next }
    isInside { print > (block ".sh") }
    /^<!-- answers: .* -->$/ { sub(/^<!-- answers: /, ""); sub(/ -->$/, ""); print > (block ".jq") }
  ' "$1"
}

begin_run
mkdir "$almondlever_work/blocks"
split_blocks docs/CALLERS.md "$almondlever_work/blocks"
prepare_deployment kavango 3 4
start_standins single
apply_configuration >/dev/null
start_daemons 3

failures=0 number=0
cd "$almondlever_work/blocks"
for block in *.sh; do
  name=${block%.sh}
  # shellcheck disable=SC2034 # the block uses it
  DAEMON=${daemon_addresses[$((number % ${#daemon_addresses[@]}))]}
  number=$((number + 1))
  status=0
  # Sourced, not run in a subshell, so that later blocks see the variables of earlier ones.
  # shellcheck disable=SC1090
  source "./$block" >"$name.out" 2>&1 || status=$?
  if [ ! -s "$name.jq" ]; then
    echo "caller_examples: block $name has no condition" >&2
    failures=$((failures + 1))
  elif [ "$status" != 0 ] || ! jq -s -e "last | $(cat "$name.jq")" "$name.out" >/dev/null; then
    echo "caller_examples: block $name (status $status) must satisfy $(cat "$name.jq"); it gave:" >&2
    cat "$name.out" >&2
    failures=$((failures + 1))
  fi
done
echo "caller_examples: $number blocks, $failures failures"
[ "$number" -gt 0 ] && [ "$failures" = 0 ]
