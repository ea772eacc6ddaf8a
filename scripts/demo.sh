#!/usr/bin/env bash
# Builds, starts stand-ins and three daemons of a deployment on loopback, runs its workload with one primary failure (about 20 s),
# and prints a report. Ends with a status other than 0 when a promise broke.
# Usage: scripts/demo.sh [--deployment kavango|limmidasmidjan] [--workload FILE] [--service-ms N] [--report FOLDER] [--no-build]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

deployment=kavango workload='' service_ms=4 report='' builds=1
while [ $# -gt 0 ]; do
  case $1 in
  --deployment) deployment=$2 && shift 2 ;;
  --workload) workload=$2 && shift 2 ;;
  --service-ms) service_ms=$2 && shift 2 ;;
  --report) report=$2 && shift 2 ;;
  --no-build) builds= && shift ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done
workload=${workload:-examples/$deployment/workload.yaml}

if [ -n "$builds" ]; then
  scripts/install_packages.sh
  cmake -G Ninja -B "$ALMONDLEVER_BUILD" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  ninja -C "$ALMONDLEVER_BUILD" --quiet
fi

begin_run
prepare_deployment "$deployment" 3 "$service_ms"
start_standins single
apply_configuration
start_daemons 3
echo "daemons: $(join_with_commas "${daemon_addresses[@]}")"
report=${report:-$almondlever_work/report}
mkdir -p "$report"
status=0
"$ALMONDLEVER_BUILD/almondlever-load" --daemons "$(join_with_commas "${daemon_addresses[@]}")" --workload "$workload" \
  --control "$control_addresses" --client-latency-ms 3 --history "$report/history.jsonl" \
  --report-json "$report/report.json" --report-markdown "$report/report.md" || status=$?
jq -r '(.services[] | "\(.phase) \(.rank): \(.answered_requests)/\(.offered_requests) answered, "
    + "\(.inside_deadline_share * 1000 | round / 10) % inside deadline, p99 \(.latency_p99_ms | round) ms, "
    + "\(.replica_read_share * 1000 | round / 10) % of reads by replicas"),
  (.write_gaps[] | "write gap of \(.database) after \(.fault): \(.longest_gap_ms | round) ms (usual \(.usual_gap_ms | round) ms), "
    + "term \(.term_before) to \(.term_after)"),
  "\(.checked.acknowledged_writes) acknowledged writes, \(.checked.keys_read_back)/\(.checked.keys_written) keys read back, "
    + "\(.violations | length) violations"' "$report/report.json"
exit "$status"
