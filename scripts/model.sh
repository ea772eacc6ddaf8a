#!/usr/bin/env bash
# Checks the Promela models and that Spin finds each broken variant. Usage: scripts/model.sh [build folder]
# Fails when a correct model has an error or a broken variant has none. Prints one line for each run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p "$build"
folder=$(mktemp -d "$(cd "$build" && pwd)/model.XXXXXX")
trap 'rm -rf "$folder"' EXIT
models=$PWD/model
failures=0

# check MODEL EXPECTED-RESULT [MACRO...]
check() {
  local model=$1 expected=$2
  shift 2
  local macros=("${@/#/-D}")
  local work="$folder/run"
  rm -rf "$work" && mkdir "$work"
  (cd "$work" && spin -a "${macros[@]}" "$models/$model.pml" >spin.out && cc -O2 -w -DSAFETY -DHC4 -DMEMLIM=4096 -o pan pan.c)
  local start=$EPOCHREALTIME
  (cd "$work" && timeout 80 ./pan -m20000 -w24 >pan.out) || true
  local took=$(((${EPOCHREALTIME/./} - ${start/./}) / 1000))
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.out")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out")
  local result=incomplete
  if [ -n "$errors" ] && ! grep -qE 'max search depth too small|out of memory|exceeded' "$work/pan.out"; then
    if [ "$errors" = 0 ]; then result=holds; else result=found; fi
  fi
  local verdict=ok
  [ "$result" = "$expected" ] || { verdict=FAILED; failures=$((failures + 1)); }
  echo "model=$model macros=${*:-none} expected=$expected result=$result states=${states:-?} ms=$took $verdict"
}

check PrimaryChange holds
check PrimaryChange holds TAIL WRITES=1
check PrimaryChange holds READER WRITES=1
for broken in ACK_BEFORE_MAJORITY CHOOSE_WITHOUT_MAJORITY REUSE_TERM PICK_ANY; do
  check PrimaryChange found "$broken"
done
for broken in SKIP_TAIL_DISCARD SKIP_TERM_CHECK; do
  check PrimaryChange found TAIL "$broken"
done
check PrimaryChange found READER WRITES=1 TRUST_LEASE
check ChangeEnds holds
for broken in NO_TAKEOVER FOLLOW_ONCE STOP_WATCHING; do
  check ChangeEnds found "$broken"
done
check Configuration holds
for broken in ACCEPT_ANY BLIND_PUT REFUSE_ON_LOST; do
  check Configuration found "$broken"
done
check GroupPromotion holds CRASHES=1
check GroupPromotion holds UNREACHED RETURNS KEEP_PAUSES
check GroupPromotion holds UNREACHED RETURNS KEEP_PAUSES THREE_DECIDERS CRASHES=0
for broken in NO_STEP_DOWN IGNORE_LAST_ENTRIES LATE_CALLS RETURNS; do
  check GroupPromotion found "$broken"
done
for broken in ONE_ANSWER PICK_ANY RESUME_BEFORE_FENCE RESUME_AFTER_FAILED_RECOVERY NO_FENCE; do
  check GroupPromotion found UNREACHED RETURNS KEEP_PAUSES "$broken"
done
check GroupPromotion found UNREACHED RETURNS KEEP_PAUSES THREE_DECIDERS CRASHES=0 PAUSE_IN_OLD_TERM
check QuotaPrefetch holds
for broken in NO_DEBT AHEAD_AT_ONCE FORGET_PREDECESSOR NO_LAPSE FORGET_USED NO_LOG UNORDERED IGNORE_USED; do
  check QuotaPrefetch found "$broken"
done
exit $((failures > 0))
