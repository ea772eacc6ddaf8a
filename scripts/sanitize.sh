#!/usr/bin/env bash
# Builds with sanitizers and fails on any report. `address` runs the test suite and real processes with AddressSanitizer,
# LeakSanitizer and UndefinedBehaviorSanitizer; `thread` runs real daemons with ThreadSanitizer.
# Other programs come from the plain build. Usage: scripts/sanitize.sh [address|thread|all] [plain build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

mode=${1:-all}
plain_build=${2:-build}
jobs=${ALMONDLEVER_JOBS:-$(nproc)}
# A daemon that is busier with a sanitizer may still take this long to finish running requests after SIGTERM.
exit_limit_s=30
test_limit_s=900
# The sanitizers use this status when a process ends with a report.
report_status=66

case $mode in
address | thread | all) ;;
*) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
esac

# build FOLDER SANITIZERS FLAGS TARGET...
build() {
  local folder=$1 sanitizers=$2 flags=$3
  shift 3
  cmake -G Ninja -B "$folder" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="$flags" \
    -DALMONDLEVER_SANITIZE="$sanitizers" >/dev/null
  ninja -C "$folder" -j "$jobs" --quiet "$@"
}

# Prints the reports in a folder; fails when there is one.
check_reports() {
  local folder=$1 report found=0
  for report in "$folder"/report.*; do
    if [ -e "$report" ]; then
      cat "$report" >&2
      found=1
    fi
  done
  return "$found"
}

use_sanitizer_options() {
  local log=$1/report
  export ASAN_OPTIONS="detect_leaks=1:exitcode=$report_status:log_path=$log"
  export UBSAN_OPTIONS="print_stacktrace=1:exitcode=$report_status:log_path=$log"
  export TSAN_OPTIONS="exitcode=$report_status:log_path=$log:second_deadlock_stack=1"
}

# Ends a process by SIGTERM; fails unless it ends with status 0 in time.
stop_process() {
  local name=$1 process=${almondlever_pids[$1]} tries status=0
  unset "almondlever_pids[$name]"
  kill -TERM "$process"
  for ((tries = 0; tries < exit_limit_s * 10; ++tries)); do
    kill -0 "$process" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "$process" 2>/dev/null; then
    echo "sanitize: $name did not end within $exit_limit_s s of SIGTERM" >&2
    kill -KILL "$process"
    return 1
  fi
  wait "$process" || status=$?
  if [ "$status" != 0 ]; then
    echo "sanitize: $name ended with status $status" >&2
    tail -n 20 "$almondlever_work/logs/$name.out" >&2
    return 1
  fi
}

# Ten seconds of all callers over three daemons; vm-3 is killed in the middle, the others end by SIGTERM.
write_workload() {
  sed '/^phases:/,$d' examples/kavango/workload.yaml
  echo "phases:"
  echo "  - { name: before, duration: 5s }"
  echo "  - { name: after, duration: 5s }"
  echo "faults:"
  echo "  - { at: 5s, signal: SIGKILL, process: vm-3 }"
}

# Reads the pages for operators while the load runs: they gather figures of both threads.
poll_pages() {
  local page
  while sleep 0.2; do
    for page in metrics v1/status "v1/explain?caller=customs&database=lots&op=read"; do
      curl -fsS -o /dev/null --max-time 5 "http://${daemon_addresses[0]}/$page" || true
    done
  done
}

# run_processes SANITIZED-BUILD PROGRAM...: these programs from there, the rest from the plain build.
run_processes() {
  local sanitized=$1 failed=0 name status=0
  shift
  begin_run
  mkdir "$almondlever_work/programs" "$almondlever_work/reports"
  for name in almondleverd almondlever-standin almondleverctl almondlever-load; do
    ln -s "$PWD/$plain_build/$name" "$almondlever_work/programs/$name"
  done
  for name in "$@"; do ln -sf "$PWD/$sanitized/$name" "$almondlever_work/programs/$name"; done
  ALMONDLEVER_BUILD=$almondlever_work/programs
  use_sanitizer_options "$almondlever_work/reports"
  prepare_deployment kavango 3 4
  start_standins single
  apply_configuration >/dev/null
  start_daemons 3
  write_workload >"$almondlever_work/workload.yaml"
  start_process poller poll_pages
  "$ALMONDLEVER_BUILD/almondlever-load" --daemons "$(join_with_commas "${daemon_addresses[@]}")" \
    --workload "$almondlever_work/workload.yaml" --control "$control_addresses" \
    --process "vm-3=@$almondlever_work/pids/vm-3" --history "$almondlever_work/history.jsonl" \
    --report-json "$almondlever_work/report.json" --report-markdown "$almondlever_work/report.md" \
    >"$almondlever_work/load.out" 2>&1 || status=$?
  kill "${almondlever_pids[poller]}"
  wait "${almondlever_pids[poller]}" 2>/dev/null || true
  unset "almondlever_pids[poller]"
  # Sanitizers slow the processes down, so that service is not judged here; promises hold at any speed.
  if [ "$status" = 1 ] || [ "$status" = 2 ]; then
    echo "sanitize: almondlever-load ended with status $status" >&2
    cat "$almondlever_work/load.out" >&2
    failed=1
  fi
  wait "${almondlever_pids[vm-3]}" 2>/dev/null || true
  unset "almondlever_pids[vm-3]"
  for name in vm-1 vm-2 standin; do stop_process "$name" || failed=1; done
  check_reports "$almondlever_work/reports" || failed=1
  if [ "$failed" = 0 ]; then
    echo "sanitize: $sanitized, $(jq -r '"\(.checked.acknowledged_writes) acknowledged writes"' "$almondlever_work/report.json"), no report"
  fi
  exit "$failed"
}

run_tests() {
  local sanitized=$1 reports status=0
  reports=$(mktemp -d "${TMPDIR:-/tmp}/almondlever-sanitize.XXXXXX")
  use_sanitizer_options "$reports"
  # Spin's models are not compiled with the sanitizers.
  timeout "$test_limit_s" ctest --test-dir "$sanitized" --output-on-failure --exclude-regex '^model$' || status=$?
  check_reports "$reports" || status=1
  rm -rf "$reports"
  return "$status"
}

# Each part runs in a subshell, whose trap ends the processes that it started.
if [ "$mode" != thread ]; then
  build build-asan address,undefined "-O0 -g1" all
  (run_tests build-asan)
  (run_processes build-asan almondleverd almondlever-standin)
fi
if [ "$mode" != address ]; then
  # The stand-in has one thread.
  build build-tsan thread "-O1 -g1" almondleverd
  (run_processes build-tsan almondleverd)
fi
