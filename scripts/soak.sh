#!/usr/bin/env bash
# Runs seeds of the fault soak, several at a time: real daemons as processes, faults from outside, checked histories.
# Keeps the logs of seeds that fail in FOLDER/seed-N and FOLDER/seed-N.out, and removes the others.
# Usage: scripts/soak.sh [--first N] [--seeds N] [--jobs N] [--folder DIR] [--build DIR] [-- ARGUMENTS of almondlever-soak]
set -euo pipefail
cd "$(dirname "$0")/.."
first=1 seeds=1 jobs=1 folder='' build=build
while [ $# -gt 0 ]; do
  case $1 in
  --first) first=$2 && shift 2 ;;
  --seeds) seeds=$2 && shift 2 ;;
  --jobs) jobs=$2 && shift 2 ;;
  --folder) folder=$2 && shift 2 ;;
  --build) build=$2 && shift 2 ;;
  --) shift && break ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done
folder=${folder:-$(mktemp -d "${TMPDIR:-/tmp}/almondlever-soak.XXXXXX")}
mkdir -p "$folder"
export folder build
run_seed() {
  local seed=$1 status=0
  shift
  "$build/almondlever-soak" --daemon "$build/almondlever-front" --folder "$folder" --seed "$seed" "$@" \
    >"$folder/seed-$seed.out" 2>&1 || status=$?
  grep -E '^(VIOLATION|soak:|almondlever-soak:)' "$folder/seed-$seed.out" || echo "seed $seed ended with status $status"
  [ "$status" != 0 ] || rm -rf "$folder/seed-$seed" "$folder/seed-$seed.out"
  return "$status"
}
export -f run_seed
status=0
seq "$first" $((first + seeds - 1)) | xargs -P "$jobs" -I{} bash -c 'run_seed "$@"' run_seed {} "$@" || status=1
[ "$status" = 0 ] || echo "soak: failed seeds are kept in $folder" >&2
exit "$status"
