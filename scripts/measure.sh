#!/usr/bin/env bash
# Runs a deployment's nine daemons and stand-ins with its latencies through primary changes and floods, and writes report.json,
# report.md and plots. Ends with 1 when a target of docs/design.md section 1.2 is missed, 2 on wrong usage, 3 when a run failed.
# Usage: scripts/measure.sh --deployment kavango|limmidasmidjan --out DIR [--short] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

deployment='' out='' short='' seed=1
arguments="$*"
while [ $# -gt 0 ]; do
  case $1 in
  --deployment) deployment=$2 && shift 2 ;;
  --out) out=$2 && shift 2 ;;
  --short) short=1 && shift ;;
  --seed) seed=$2 && shift 2 ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done
if [ -z "$out" ] || [ ! -f "examples/$deployment/flood-both.yaml" ]; then sed -n '2,4s/^# //p' "$0" >&2 && exit 2; fi

daemon_count=9
changes=21 change_interval_s=5 before_s=6 flood_s=14 after_s=4
floods=(lowest urgent both)
if [ -n "$short" ]; then changes=3 before_s=3 flood_s=6 after_s=2 floods=(lowest urgent); fi

# Before the runs, since the branch may go on while they last.
commit=$(git describe --always --dirty)

work=$(mktemp -d "${TMPDIR:-/tmp}/almondlever-measure.XXXXXX")
run_pid=
# Bash starts background jobs with SIGINT ignored, so an interrupted script passes the end on.
finish() {
  if [ -n "$run_pid" ]; then
    kill -TERM "$run_pid" 2>/dev/null || true
    wait "$run_pid" 2>/dev/null || true
  fi
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
# A build that runs meanwhile must not change the programs.
mkdir "$work/bin"
cp "$ALMONDLEVER_BUILD"/almondlever{d,ctl,-standin,-load,-measure} "$work/bin/"
export ALMONDLEVER_BUILD=$work/bin
mkdir -p "$out"

# Kills the primary of each database in turn and restarts all of its servers after half of the interval; running ones ignore that.
write_changes_workload() {
  local databases number database endpoint at
  mapfile -t databases < <(list_endpoints "examples/$deployment/inventory.yaml" | awk '!seen[$2]++ { print $2 }')
  sed '/^phases:/,$d' "examples/$deployment/workload.yaml"
  echo "phases:"
  echo "  - { name: changes, duration: $((5 + changes * change_interval_s))s }"
  echo "faults:"
  for ((number = 0; number < changes; ++number)); do
    database=${databases[number % ${#databases[@]}]} at=$((5 + number * change_interval_s))
    echo "  - { at: ${at}s, action: kill, endpoint: \"primary-of:$database\", measures: $database }"
    while read -r endpoint _; do
      echo "  - { at: $((at * 1000 + change_interval_s * 500))ms, action: restart, endpoint: $endpoint }"
    done < <(list_endpoints "examples/$deployment/inventory.yaml" | awk -v wanted="$database" '$2 == wanted')
  done
}

write_flood_workload() {
  sed -e "/name: before,/ s/duration: [0-9]*s/duration: ${before_s}s/" -e "/name: flood,/ s/duration: [0-9]*s/duration: ${flood_s}s/" \
    -e "/name: after,/ s/duration: [0-9]*s/duration: ${after_s}s/" -e "s/- { at: 20s/- { at: $((before_s + flood_s / 2))s/" \
    "examples/$deployment/flood-$1.yaml"
}

cpu_seconds() {
  local name ticks=0 used
  for name in "$@"; do
    used=$(awk '{ print $14 + $15 }' "/proc/${almondlever_pids[$name]}/stat" 2>/dev/null || echo 0)
    ticks=$((ticks + used))
  done
  echo "$((ticks / 100))"
}

# Reads by rank that may be served by replicas; see scripts/replica_reads.awk.
count_replica_reads() {
  local stale_callers
  stale_callers=$(awk '/- name:/ { name = $3 } /max_staleness:/ && $2 !~ /^0/ { printf "%s\"%s\"", (n++ ? "," : ""), name }' \
    "examples/$deployment/rules.yaml")
  jq -r --argjson stale "[$stale_callers]" 'select(.record == "operation" and (.transaction // "") == "")
    | . as $o | (.caller as $c | $stale | index([$c]) != null) as $may
    | [[.sent_us, "send", .session, .database, .rank, .token_sent, $may, (.position != null),
        (if .type == "read" and .acknowledged then .from else "none" end)],
       (if .acknowledged then [.answered_us, "answer", .session, .database, .rank, .token_sent, $may, (.position != null), "none"]
        else empty end)][] | map(tostring) | join(" ")' "$1" | sort -n -s -k1,1 | awk -f scripts/replica_reads.awk
}

# run_once NAME SERVICE_MS WORKLOAD
run_once() {
  local name=$1 service_ms=$2 workload=$3 status=0 number daemons=() load_before
  begin_run
  prepare_deployment "$deployment" "$daemon_count" "$service_ms"
  start_standins separate
  apply_configuration >/dev/null
  start_daemons "$daemon_count"
  for ((number = 1; number <= daemon_count; ++number)); do daemons+=("vm-$number"); done
  load_before=$(cut -d' ' -f1 /proc/loadavg)
  local begin=$SECONDS load_cpu
  TIMEFORMAT='%U %S'
  { time "$ALMONDLEVER_BUILD/almondlever-load" --daemons "$(join_with_commas "${daemon_addresses[@]}")" --workload "$workload" \
    --seed "$seed" --control "$control_addresses" --client-latency-ms 3 --history "$work/$name.history" \
    --report-json "$work/$name.load" --report-markdown "$work/$name.md" 2>"$work/$name.errors" || status=$?; } 2>"$work/$name.times"
  cat "$work/$name.errors" >&2
  load_cpu=$(awk '{ print $1 + $2 }' "$work/$name.times")
  jq -n --slurpfile load "$work/$name.load" --argjson status "$status" --argjson before "$load_before" \
    --argjson after "$(cut -d' ' -f1 /proc/loadavg)" --argjson seconds "$((SECONDS - begin))" --argjson load_cpu "${load_cpu:-0}" \
    --argjson standin_cpu "$(cpu_seconds "${endpoint_names[@]}" standin)" --argjson daemon_cpu "$(cpu_seconds "${daemons[@]}")" \
    --argjson reads "$(count_replica_reads "$work/$name.history")" --argjson service_ms "$service_ms" '$load[0] | {
      service_ms: $service_ms, load_program_status: $status, load_average_before: $before, load_average_after: $after,
      elapsed_s: $seconds, load_program_cpu_s: $load_cpu, standin_cpu_s: $standin_cpu, daemons_cpu_s: $daemon_cpu,
      services, write_gaps, answered_attempts_by_second, endpoints, slots_busy_share_by_phase, checked, violations, faults,
      replica_reads: $reads }' >"$work/$name.json"
  exit 0
}

run() {
  echo "run $1 ($(date +%T), load average $(cut -d' ' -f1-3 /proc/loadavg))" >&2
  (run_once "$@") &
  run_pid=$!
  wait "$run_pid" || { echo "run $1 failed" >&2 && exit 3; }
  run_pid=
}

write_changes_workload >"$work/changes.yaml"
run changes 4 "$work/changes.yaml"
# The floods' workloads state the capacity for a service time of 40 ms.
for flood in "${floods[@]}"; do
  write_flood_workload "$flood" >"$work/flood-$flood.yaml"
  run "flood_$flood" 40 "$work/flood-$flood.yaml"
done
"$ALMONDLEVER_BUILD/almondlever-measure" schedulers --seed "$seed" --phase-seconds 20 >"$work/schedulers.json"
throughput=null
if [ -z "$short" ]; then
  scripts/throughput.sh --out "$work/throughput.json" 2>/dev/null || true
  if [ -s "$work/throughput.json" ]; then throughput=$(cat "$work/throughput.json"); fi
fi

runs=$(for file in "$work"/changes.json "$work"/flood_*.json; do jq --arg name "$(basename "$file" .json)" '{ ($name): . }' "$file"; done | jq -s add)
jq -n --argjson throughput "$throughput" --slurpfile schedulers "$work/schedulers.json" --slurpfile runs <(echo "$runs") \
  --arg deployment "$deployment" --arg commit "$commit" --argjson seed "$seed" --arg command "scripts/measure.sh $arguments" \
  --arg machine "$(nproc) cores, $(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1)" --arg measured_at "$(date -u +%FT%TZ)" \
  --argjson daemons "$daemon_count" -f scripts/measure_report.jq >"$out/report.json"
scripts/measure_plots.sh "$out"
jq -r -f scripts/measure_markdown.jq "$out/report.json" >"$out/report.md"
jq -r '.targets[] | "\(if .is_met then "met   " else "MISSED" end) \(.name): \(.measured) (\(.bound))"' "$out/report.json"
if [ "$(jq '[.runs[].load_program_status] | max' "$out/report.json")" -ge 2 ]; then exit 3; fi
[ "$(jq '[.targets[].is_met] | all' "$out/report.json")" = true ]
