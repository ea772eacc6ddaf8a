#!/usr/bin/env bash
# Runs load over real processes while daemons and database servers are killed (kill -9, restarted after 2 s) and paused
# (SIGSTOP, SIGCONT), and checks the history of each run. Prints one line for each run and a summary.
# Usage: scripts/fault_runs.sh --deployment kavango|limmidasmidjan --runs N --seed S [--report FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

deployment=kavango runs=1 seed=1 report=''
while [ $# -gt 0 ]; do
  case $1 in
  --deployment) deployment=$2 && shift 2 ;;
  --runs) runs=$2 && shift 2 ;;
  --seed) seed=$2 && shift 2 ;;
  --report) report=$2 && shift 2 ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done

daemon_count=3
restart_delay_s=2
faults_per_run=5

# Writes the workload of a run: the deployment's own, with faults drawn from RANDOM in place of its faults.
write_workload() {
  local number at=3 names=("${endpoint_names[@]}") name pause
  for ((number = 1; number <= daemon_count; ++number)); do names+=("vm-$number" "vm-$number"); done
  sed '/^faults:/,$d' "examples/$deployment/workload.yaml"
  echo "faults:"
  for ((number = 0; number < faults_per_run; ++number)); do
    name=${names[RANDOM % ${#names[@]}]}
    if ((RANDOM % 2)); then
      echo "  - { at: ${at}s, signal: SIGKILL, process: $name }"
    else
      pause=$((1 + RANDOM % 4))
      echo "  - { at: ${at}s, signal: SIGSTOP, process: $name }"
      echo "  - { at: $((at + pause))s, signal: SIGCONT, process: $name }"
    fi
    at=$((at + 2 + RANDOM % 3))
  done
}

# Restarts processes that have died, a moment after their death, while the load runs.
supervise() {
  local load=$1 name now
  declare -A died=()
  while kill -0 "$load" 2>/dev/null; do
    now=$SECONDS
    for name in "${!almondlever_pids[@]}"; do
      if kill -0 "${almondlever_pids[$name]}" 2>/dev/null || [ "$name" = load ]; then continue; fi
      if [ -z "${died[$name]:-}" ]; then
        died[$name]=$now
      elif ((now - died[$name] >= restart_delay_s)); then
        unset "died[$name]"
        restart_process "$name"
      fi
    done
    sleep 0.2
  done
}

run_once() {
  local run_seed=$1 folder=$2 processes=() name
  RANDOM=$run_seed
  begin_run
  prepare_deployment "$deployment" "$daemon_count" 4
  start_standins separate
  apply_configuration >/dev/null
  start_daemons "$daemon_count"
  for name in "${!almondlever_pids[@]}"; do
    processes+=(--process "$name=@$almondlever_work/pids/$name")
  done
  write_workload >"$folder/workload.yaml"
  start_process load "$ALMONDLEVER_BUILD/almondlever-load" --daemons "$(join_with_commas "${daemon_addresses[@]}")" \
    --workload "$folder/workload.yaml" --seed "$run_seed" --control "$control_addresses" "${processes[@]}" \
    --history "$folder/history.jsonl" --report-json "$folder/report.json" --report-markdown "$folder/report.md"
  local load=${almondlever_pids[load]} status=0
  supervise "$load"
  wait "$load" || status=$?
  cp "$almondlever_work/logs/load.out" "$folder/load.out"
  if [ "$status" != 0 ]; then cp -r "$almondlever_work/logs" "$folder/logs"; fi
  exit "$status"
}

kept=${report:-$(mktemp -d "${TMPDIR:-/tmp}/almondlever-fault-runs.XXXXXX")}
mkdir -p "$kept"
good=0 broken=0 failed=0 run_pid=
# Bash starts background jobs with SIGINT ignored, so an interrupted script passes the end on.
end_current_run() {
  if [ -n "$run_pid" ]; then
    kill -TERM "$run_pid" 2>/dev/null || true
    wait "$run_pid" 2>/dev/null || true
  fi
}
trap end_current_run EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
for ((run = 0; run < runs; ++run)); do
  run_seed=$((seed + run))
  folder=$kept/seed-$run_seed
  mkdir -p "$folder"
  status=0
  # A subshell of its own, so that its trap ends the run's processes before the next run begins.
  (run_once "$run_seed" "$folder") >"$folder/run.out" 2>&1 &
  run_pid=$!
  wait "$run_pid" || status=$?
  run_pid=
  case $status in
  0) verdict=good good=$((good + 1)) ;;
  1) verdict='PROMISE BROKEN' broken=$((broken + 1)) ;;
  *) verdict="not judged (status $status)" failed=$((failed + 1)) ;;
  esac
  details=
  if [ -s "$folder/report.json" ]; then
    details=$(jq -r '"\(.checked.acknowledged_writes) acknowledged writes, \(.checked.keys_read_back)/\(.checked.keys_written) "
      + "keys read back, \(.faults | length) faults, \([.write_gaps[].longest_gap_ms] | max | round) ms longest write gap, "
      + "\(.violations | length) violations"' "$folder/report.json")
  fi
  echo "seed $run_seed: $verdict; $details"
done
echo "$runs runs of $deployment: $good good, $broken with a broken promise, $failed not judged; details in $kept"
[ "$good" = "$runs" ]
