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
# Compiling takes longer than most searches, so that two checks run at a time.
parallel=2

# check MODEL EXPECTED-RESULT [MACRO...]
check() {
  while [ "$(jobs -pr | wc -l)" -ge "$parallel" ]; do wait -n || true; done
  { run_check "$@" || echo "model=$1 macros=${*:3} did not run FAILED"; } | tee -a "$folder/results" &
}

run_check() {
  local model=$1 expected=$2
  shift 2
  local macros=("${@/#/-D}")
  local work
  work=$(mktemp -d "$folder/run.XXXXXX")
  (cd "$work" && spin -a "${macros[@]}" "$models/$model.pml" >spin.out && cc -O2 -w -DSAFETY -DHC4 -DMEMLIM=4096 -o pan pan.c) || return 1
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
  [ "$result" = "$expected" ] || verdict=FAILED
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
check LogHolders holds
check LogHolders holds CRASHES=1
check LogHolders holds CREATE
check LogHolders holds LEAVES
check LogHolders holds INCARNATIONS=5 LAPSES=1
check LogHolders holds WRITES=2 TWO_DECIDERS LAPSES=1
check LogHolders holds ENLARGE PROVE_GONE CRASHES=1
check LogHolders holds LEAVES LAPSE_WHILE_LEAVING PROVE_GONE
check LogHolders holds ENLARGE LEAVES LAPSE_WHILE_LEAVING SHRINK_ON_LAPSE PROVE_GONE
for broken in COUNT_LISTED POSITION_IN_MEMORY SHRINK_ON_LAPSE SHRINK_WITHOUT_EVIDENCE COUNT_EMPTY_RESTART \
  EVIDENCE_BEFORE_REPLACEMENT COUNT_INCARNATIONS SKIP_REFUSED ONE_FEWER NEED_ALL PROMOTES; do
  check LogHolders found "$broken"
done
check LogHolders found CREATE CREATE_FROM_LIST
check LogHolders found LEAVES COUNT_LEAVING
check LogHolders found ENLARGE PROVE_GONE READ_BEFORE_PAUSES
check LogHolders found ENLARGE PROVE_GONE CRASHES=1 IGNORE_RETURN
# Known holes.
check LogHolders found ENLARGE
check LogHolders found LEAVES LAPSE_WHILE_LEAVING
check LogHolders found LAPSE_BEFORE_RECORD
check LogHolders found ENLARGE PROVE_GONE RECEIVE_BEFORE_LISTED
check LogHolders found CREATE LAPSE_AT_CREATION
check LogHolders found STALE_START
check CallOutcomes holds
check CallOutcomes holds JOINS NO_REPETITION
check CallOutcomes holds MARK_UNANSWERED STEP_DOWN_AFTER_HOLD
for broken in CLOSE_AFTER_UNANSWERED NO_HOLD HOLD_ONLY_OWNERS CALL_BEFORE_HOLD COMPARE_BEFORE_HOLD END_BEFORE_EFFECT \
  RESUME_BEFORE_VOID TWO_UNDER_ONE_FENCE DONE_OVER_LATER_CLAIM CLAIM_ENDS_HOLD SUCCESS_AFTER_HOLD PROMOTES; do
  check CallOutcomes found PAUSES "$broken"
done
check CallOutcomes found PAUSES RESTARTS=0 COMPARE_BEFORE_HOLD
check CallOutcomes found RESOLVE_BY_REPEAT
check CallOutcomes found MARK_UNANSWERED
# Known hole.
check CallOutcomes found PAUSES LATE_NEWS
wait
[ -s "$folder/results" ] && ! grep -q 'FAILED$' "$folder/results"
