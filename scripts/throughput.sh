#!/usr/bin/env bash
# Measures one daemon with one traffic thread against a bare RESTinio handler and against direct statements, in one run on loopback,
# and prints JSON. Ends with 1 when a target of docs/design.md section 1.2 is missed.
# Usage: scripts/throughput.sh [--seconds N] [--connections N] [--out FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

seconds=5 connections=32 out=/dev/stdout
while [ $# -gt 0 ]; do
  case $1 in
  --seconds) seconds=$2 && shift 2 ;;
  --connections) connections=$2 && shift 2 ;;
  --out) out=$2 && shift 2 ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done

measure=$ALMONDLEVER_BUILD/almondlever-measure
load_before=$(cut -d' ' -f1 /proc/loadavg)

# run_http CONNECTIONS ADDRESS TARGET BODY [HEADER...]
run_http() {
  local count=$1 address=$2 target=$3 body=$4 header flags=()
  shift 4
  for header in "$@"; do flags+=(--header "$header"); done
  "$measure" http --address "$address" --connections "$count" --seconds "$seconds" --target "$target" --body "$body" "${flags[@]}"
}

post() { curl -fsS --max-time 5 -X POST "$@"; }

begin_run
prepare_deployment throughput 1 0
sed -i 's/^network:.*/network: { inside_domain_ms: 0, between_domains_ms: 0, between_regions_ms: 0 }/' "$almondlever_work/standin.yaml"
start_standins separate

# Direct statements need a claim; it is released again before the daemon starts. The second server is a replica.
direct=127.0.0.1:${endpoint_ports[ledger-two]}
epoch=$(post "http://$direct/claim" -H 'Endpoint-Connection: control' -H 'Almondlever-Vm: vm-1' \
  -d '{"expected_epoch":0,"owner":"vm-1"}' | jq .claim_epoch)
direct_read="{\"request_id\":\"r\",\"op\":\"read\",\"key\":\"k\",\"claim_epoch\":$epoch,\"term\":0}"
direct_one=$(run_http 1 "$direct" /statement "$direct_read" 'Almondlever-Vm: vm-1')
direct_many=$(run_http "$connections" "$direct" /statement "$direct_read" 'Almondlever-Vm: vm-1')
post "http://$direct/claim" -H 'Endpoint-Connection: control' -H 'Almondlever-Vm: vm-1' \
  -d "{\"expected_epoch\":$epoch,\"owner\":\"\"}" >/dev/null

apply_configuration >&2
start_daemons 1
daemon=${daemon_addresses[0]} path=/v1/databases/ledger/statements caller='Almondlever-Caller: urgent-caller'
session=
for ((attempt = 0; attempt < 50 && ${#session} == 0; ++attempt)); do
  session=$(curl -sS -D - -o /dev/null --max-time 5 -X POST "http://$daemon$path" -H "$caller" -d '{"op":"write","key":"k","value":"v"}' |
    tr -d '\r' | sed -n 's/^Almondlever-Session: //p')
  [ -n "$session" ] || sleep 0.2
done
answer=$(post "http://$daemon$path" -H "$caller" -H "Almondlever-Session: $session" -d '{"op":"read","key":"k"}')
if [ "$(jq -r .from <<<"$answer")" != replica ]; then echo "the read was not served by a replica: $answer" >&2 && exit 3; fi
read_body='{"op":"read","key":"k"}' write_body='{"op":"write","key":"k","value":"v{n}"}'

reserve_port
bare=127.0.0.1:$REPLY
start_process bare "$measure" bare-server --address "$bare" --body-bytes "${#answer}"
wait_for_url "http://$bare/"
bare_one=$(run_http 1 "$bare" "$path" "$read_body" "$caller" "Almondlever-Session: $session")
bare_many=$(run_http "$connections" "$bare" "$path" "$read_body" "$caller" "Almondlever-Session: $session")

daemon_pid=${almondlever_pids[vm-1]}
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$daemon_pid/stat"; }
read_one=$(run_http 1 "$daemon" "$path" "$read_body" "$caller" "Almondlever-Session: $session")
ticks=$(cpu_ticks)
read_many=$(run_http "$connections" "$daemon" "$path" "$read_body" "$caller" "Almondlever-Session: $session")
ticks=$(($(cpu_ticks) - ticks))
write_one=$(run_http 1 "$daemon" "$path" "$write_body" "$caller" "Almondlever-Session: $session")
write_many=$(run_http "$connections" "$daemon" "$path" "$write_body" "$caller" "Almondlever-Session: $session")

result=$(jq -n --argjson bare_one "$bare_one" --argjson bare_many "$bare_many" --argjson direct_one "$direct_one" \
  --argjson direct_many "$direct_many" --argjson read_one "$read_one" --argjson read_many "$read_many" \
  --argjson write_one "$write_one" --argjson write_many "$write_many" --arg commit "$(git describe --always --dirty)" \
  --arg before "$load_before" --arg after "$(cut -d' ' -f1 /proc/loadavg)" --argjson ticks "$ticks" --argjson seconds "$seconds" \
  --arg machine "$(nproc) cores, $(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1)" '{
    commit: $commit, machine: $machine, load_average_before: ($before | tonumber), load_average_after: ($after | tonumber),
    bare_handler: { one_connection: $bare_one, many_connections: $bare_many },
    direct_read: { one_connection: $direct_one, many_connections: $direct_many },
    daemon_read_from_replica: { one_connection: $read_one, many_connections: $read_many },
    daemon_write: { one_connection: $write_one, many_connections: $write_many },
    daemon_cpu_share_of_a_core_in_reads: ($ticks / 100 / ($seconds + 0.5)),
    read_throughput_ratio: ($read_many.requests_per_s / $bare_many.requests_per_s),
    read_throughput_ratio_target: 0.35,
    read_added_median_ms: ($read_one.latency_p50_ms - $direct_one.latency_p50_ms),
    read_added_median_ms_target: 0.3 }
  | .meets_targets = (.read_throughput_ratio >= 0.35 and .read_added_median_ms <= 0.3
      and ([.bare_handler, .direct_read, .daemon_read_from_replica, .daemon_write | .[] | .answers_other_than_200 + .lost_connections] | add) == 0)')
echo "$result" >"$out"
[ "$(jq .meets_targets <<<"$result")" = true ]
