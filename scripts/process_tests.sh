#!/usr/bin/env bash
# Tests promises of docs/design.md, section 1.1, with real daemons and stand-ins on loopback, one short run for each case.
# Usage: scripts/process_tests.sh [CASE...]; without a case, all of them. Set ALMONDLEVER_BUILD to the folder of the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

all_cases=(graceful_stop leaving_endpoint platform_outage configuration connection_limit lost_transaction idle_connections
  stalled_clients)

fail() {
  echo "FAILED: $*"
  exit 1
}

# Rank deadlines are long, so that a busy machine does not turn a slow answer into a refused one.
long_deadlines() { sed -i 's/deadline: .*/deadline: 5s/' "$almondlever_work/config/rules.yaml"; }

# set_up DAEMONS [STARTED]
set_up() {
  begin_run
  prepare_deployment kavango "$1" 4
  long_deadlines
  start_standins single
  apply_configuration >/dev/null
  start_daemons "${2:-$1}"
  # Endpoints move until all daemons know each other.
  local number
  for ((number = 1; number <= ${2:-$1}; ++number)); do
    wait_until 10 "vm-$number knows all daemons" test_status "$number" ".daemons | length == ${2:-$1}"
    wait_until 10 "vm-$number knows all primaries" test_status "$number" ".primaries | length > 0"
  done
  sleep 0.5
}

standin_stats() { curl -fsS --max-time 2 "http://$control_addresses/control/stats"; }
act() { curl -fsS --max-time 2 -o /dev/null "http://$control_addresses/control" -d "$1"; }
status_of() { curl -fsS --max-time 2 "http://${daemon_addresses[$(($1 - 1))]}/v1/status"; }
test_status() { status_of "$1" 2>/dev/null | jq -e "$2" >/dev/null; }
version_of() { status_of "$1" | jq .configuration_version; }

# wait_until SECONDS DESCRIPTION COMMAND...: waits until the command succeeds.
wait_until() {
  local seconds=$1 description=$2 tries
  shift 2
  for ((tries = 0; tries < seconds * 20; ++tries)); do
    if "$@"; then return 0; fi
    sleep 0.05
  done
  fail "not within $seconds s: $description"
}

primary_of() { standin_stats | jq -r --arg d "$1-" '.endpoints | to_entries[] | select(.key | startswith($d)) | select(.value.role == "primary") | .key'; }

# Prints the number of the daemon that holds an endpoint's claim.
owner_of() { standin_stats | jq -r --arg e "$1" '.endpoints[$e].claim_owner | ltrimstr("vm-")'; }

# request NUMBER METHOD PATH [BODY]: sends it through vm-NUMBER; sets request_status and request_body.
request() {
  local answer
  answer=$(curl -sS --max-time 10 -w '\n%{http_code}' -X "$2" -H 'Almondlever-Caller: customs' ${4:+-d "$4"} \
    "http://${daemon_addresses[$(($1 - 1))]}$3" 2>/dev/null) || true
  request_status=${answer##*$'\n'}
  request_body=${answer%$'\n'*}
}

# start_load SECONDS DAEMON...: starts load on the named daemons.
start_load() {
  local seconds=$1 addresses=() number
  shift
  for number in "$@"; do addresses+=("${daemon_addresses[$((number - 1))]}"); done
  cat >"$almondlever_work/workload.yaml" <<EOF
deployment: kavango-pod-analytics
seed: 1
threads: 1
client_latency: 1ms
settle_time: 500ms
read_back_time: 10s
databases:
  lots: [lots-khomas, lots-kavango, lots-erongo]
  moisture: [moisture-khomas, moisture-kavango, moisture-erongo]
  grades: [grades-khomas, grades-kavango, grades-erongo]
callers:
  - { name: customs, rank: border, deadline: 5s, floor: 60%, read_your_writes: true, databases: [lots, moisture, grades],
      rate: 40, reads: 40%, keyed_writes: 60%, transactions: 10%, roams: 50%, sessions: 20, maximum_in_flight: 400, repeats: 0 }
  - { name: buyers, rank: market, deadline: 5s, floor: 10%, databases: [lots, moisture, grades],
      rate: 40, reads: 100%, roams: 50%, sessions: 20, maximum_in_flight: 400, repeats: 0 }
phases:
  - { name: run, duration: ${seconds}s }
EOF
  start_process load "$ALMONDLEVER_BUILD/almondlever-load" --daemons "$(join_with_commas "${addresses[@]}")" \
    --workload "$almondlever_work/workload.yaml" --control "$control_addresses" \
    --history "$almondlever_work/history.jsonl" --report-json "$almondlever_work/report.json"
  load=${almondlever_pids[load]}
}

# Waits for the load and fails when a promise broke or it could not be judged.
finish_load() {
  local status=0
  wait "$load" || status=$?
  unset 'almondlever_pids[load]'
  if [ "$status" != 0 ]; then
    tail -n 5 "$almondlever_work/logs/load.out"
    fail "the load ended with status $status"
  fi
}

# Fails when a request of the load was not acknowledged.
require_no_failed_request() {
  local failed
  failed=$(jq -c 'select(.record == "operation" and .acknowledged != true)
    | [.type, .database, .status, .outcome, .problem, .sent_us, .answered_us]' "$almondlever_work/history.jsonl")
  if [ -n "$failed" ]; then
    head -n 5 <<<"$failed"
    fail "$(wc -l <<<"$failed") requests were not acknowledged"
  fi
}

# P8: the daemon that serves a primary is stopped with SIGTERM. Readiness goes off first; a client that follows readiness, as the
# platform's balancer does, loses no request; the claims are released.
case_graceful_stop() {
  set_up 3
  local primary owner address others=() number
  primary=$(primary_of lots)
  owner=$(owner_of "$primary")
  address=${daemon_addresses[$((owner - 1))]}
  for number in 1 2 3; do if [ "$number" != "$owner" ]; then others+=("$number"); fi; done
  start_load 7 "${others[@]}"
  sleep 2
  local process=${almondlever_pids[vm-$owner]} unready=0 lost=0 sent=0
  kill -TERM "$process"
  while kill -0 "$process" 2>/dev/null; do
    if [ "$unready" = 0 ]; then
      if ! curl -fsS -o /dev/null --max-time 2 "http://$address/readyz" 2>/dev/null; then
        unready=1
        request "$owner" GET /healthz
        if [ "$request_status" = 000 ]; then fail "the daemon was gone before readiness went off"; fi
        continue
      fi
      request "$owner" POST /v1/databases/lots/statements '{"op": "write", "key": "stop", "value": "x"}'
      sent=$((sent + 1))
      if [ "$request_status" != 200 ]; then lost=$((lost + 1)) && echo "$request_status $request_body"; fi
    else
      sleep 0.05
    fi
  done
  local status=0
  wait "$process" || status=$?
  unset "almondlever_pids[vm-$owner]"
  if [ "$status" != 0 ]; then fail "the daemon ended with status $status instead of having drained"; fi
  if [ "$unready" != 1 ]; then fail "readiness never went off"; fi
  if [ "$lost" != 0 ]; then fail "$lost of $sent requests through the stopping daemon failed"; fi
  if standin_stats | jq -e --arg vm "vm-$owner" 'any(.endpoints[]; .claim_owner == $vm)' >/dev/null; then
    fail "vm-$owner still holds a claim"
  fi
  finish_load
  require_no_failed_request
}

shows_leaving() {
  curl -fsS --max-time 2 "http://$kv_address/vms" | jq -e --arg vm "$1" '.vms[] | select(.id == $vm) | .state == "leaving"' >/dev/null
}

# P7: the VMs of a primary and of a replica of another database leave. 3 s after the list shows that, their servers run nothing new.
case_leaving_endpoint() {
  set_up 3
  local primary replica endpoint database vm domain rest vms=() before after
  primary=$(primary_of lots)
  replica=$(standin_stats | jq -r '[.endpoints | to_entries[] | select(.key | startswith("grades-"))
    | select(.value.role == "replica") | .key] | first')
  for rest in "${almondlever_endpoints[@]}"; do
    read -r endpoint database vm domain _ <<<"$rest"
    if [ "$endpoint" = "$primary" ] || [ "$endpoint" = "$replica" ]; then vms+=("$vm"); fi
  done
  start_load 9 1 2 3
  sleep 1.5
  for vm in "${vms[@]}"; do act "{\"action\": \"leave\", \"vm\": \"$vm\"}"; done
  for vm in "${vms[@]}"; do wait_until 5 "the VM list shows $vm as leaving" shows_leaving "$vm"; done
  sleep 3
  before=$(standin_stats | jq -c "[.endpoints[\"$primary\", \"$replica\"].statements_run]")
  finish_load
  after=$(standin_stats | jq -c "[.endpoints[\"$primary\", \"$replica\"].statements_run]")
  if [ "$before" != "$after" ]; then fail "$primary and $replica ran statements later than 3 s: $before, then $after"; fi
  if [ "$(primary_of lots)" = "$primary" ]; then fail "$primary still leads"; fi
  require_no_failed_request
}

# The key-value service and the VM list are down: traffic goes on, and a daemon that starts gets the configuration from its seeds.
case_platform_outage() {
  set_up 4 3
  start_load 8 1 2 3
  sleep 1
  act '{"action": "kv_outage", "on": true}'
  sleep 1
  local number seeds=()
  for number in 1 2 3; do seeds+=("vm-$number@$(cut -d' ' -f2 <<<"${daemon_peer_addresses[$((number - 1))]}")"); done
  start_daemon 4 --seeds "$(join_with_commas "${seeds[@]}")"
  wait_until 10 "vm-4 got the configuration" test_status 4 '.configuration_version == 1'
  wait_until 10 "vm-4 knows all daemons" test_status 4 '.daemons | length == 4'
  request 4 POST /v1/databases/lots/statements '{"op": "write", "key": "outage", "value": "x"}'
  if [ "$request_status" != 200 ]; then fail "write through vm-4: $request_status $request_body"; fi
  finish_load
  require_no_failed_request
}

# apply_changed STALENESS AUTHOR: applies the configuration with another staleness of the buyers' reads; sets apply_status.
apply_changed() {
  local folder=$almondlever_work/config-$2
  rm -rf "$folder"
  cp -r "$almondlever_work/config" "$folder"
  sed -i "s/max_staleness: 5s/max_staleness: $1/" "$folder/rules.yaml"
  apply_status=0
  "$ALMONDLEVER_BUILD/almondleverctl" apply "$folder" --kv-address "$kv_address" --author "$2" \
    >"$almondlever_work/logs/apply-$2.out" 2>&1 || apply_status=$?
}

has_version() { [ "$(version_of "$1")" -ge "$2" ]; }

# P9: a configuration is in force within 5 s, also at a daemon that was paused, and never reverts; racing operators and lost answers.
case_configuration() {
  set_up 3
  local number before now sample
  kill -STOP "${almondlever_pids[vm-2]}"
  apply_changed 4s first
  if [ "$apply_status" != 0 ]; then fail "apply ended with $apply_status"; fi
  for number in 1 3; do wait_until 5 "version 2 in force at vm-$number" has_version "$number" 2; done
  kill -CONT "${almondlever_pids[vm-2]}"
  wait_until 5 "version 2 in force at vm-2" has_version 2 2
  for ((sample = 0; sample < 10; ++sample)); do
    for number in 1 2 3; do
      now=$(version_of "$number")
      if [ "$now" -lt 2 ]; then fail "vm-$number went back to version $now"; fi
    done
    sleep 0.1
  done

  # Slow answers make both operators read the head before either of them changes it.
  act '{"action": "kv_slow", "ms": 400}'
  (apply_changed 3s second && echo "$apply_status" >"$almondlever_work/second") &
  local racing=$!
  apply_changed 2s third
  wait "$racing"
  act '{"action": "kv_slow", "ms": 0}'
  local statuses
  statuses=$(printf '%s\n' "$apply_status" "$(cat "$almondlever_work/second")" | sort | xargs)
  if [ "$statuses" != "0 3" ]; then fail "racing operators ended with $statuses instead of 0 and 3"; fi
  for number in 1 2 3; do wait_until 5 "version 3 in force at vm-$number" has_version "$number" 3; done

  act '{"action": "kv_lose_answers", "changes": 1000}'
  apply_changed 1s fourth
  act '{"action": "kv_lose_answers", "changes": 0}'
  cat "$almondlever_work/logs/apply-fourth.out"
  if [ "$apply_status" != 0 ]; then fail "the apply with lost answers took effect but ended with $apply_status"; fi
  for number in 1 2 3; do wait_until 5 "version 4 in force at vm-$number" has_version "$number" 4; done
}

# Daemons are killed and restarted under load: no server refuses a connection or sees more than its limit.
case_connection_limit() {
  set_up 3
  start_load 8 1 2 3
  local number
  for number in 1 2 3 1; do
    sleep 0.7
    kill -KILL "${almondlever_pids[vm-$number]}"
    sleep 0.4
    restart_process "vm-$number" 2>/dev/null
  done
  finish_load
  local broken
  broken=$(standin_stats | jq -c '.endpoints | to_entries[]
    | select(.value.connections_refused > 0 or .value.connections_peak > .value.connections_limit)
    | [.key, .value.connections_refused, .value.connections_peak, .value.connections_limit]')
  if [ -n "$broken" ]; then fail "connections refused or above the limit: $broken"; fi
  echo "highest share of a limit: $(standin_stats | jq '[.endpoints[] | .connections_peak / .connections_limit] | max * 100 | round') %"
}

# A daemon dies inside open transactions: they are rolled back, the callers are told, and the slots are free again.
case_lost_transaction() {
  set_up 3
  local primary owner other count slots transactions=() transaction
  primary=$(primary_of lots)
  owner=$(owner_of "$primary")
  other=$((owner % 3 + 1))
  slots=$(standin_stats | jq ".endpoints[\"$primary\"].slots")
  for ((count = 0; count < slots - 1; ++count)); do
    request "$other" POST /v1/databases/lots/transactions
    if [ "$request_status" != 200 ]; then fail "begin: $request_status $request_body"; fi
    transaction=$(jq -r .transaction <<<"$request_body")
    transactions+=("$transaction")
    request "$other" POST /v1/databases/lots/statements \
      "{\"op\": \"write\", \"key\": \"lost-$count\", \"value\": \"x\", \"transaction\": \"$transaction\"}"
    if [ "$request_status" != 200 ]; then fail "write in a transaction: $request_status $request_body"; fi
  done
  kill -KILL "${almondlever_pids[vm-$owner]}"
  wait "${almondlever_pids[vm-$owner]}" 2>/dev/null || true
  unset "almondlever_pids[vm-$owner]"
  for transaction in "${transactions[@]}"; do
    request "$other" POST "/v1/databases/lots/transactions/$transaction/commit"
    if [ "$(jq -r .title <<<"$request_body")" != transaction_lost ]; then
      fail "commit after the death of vm-$owner: $request_status $request_body"
    fi
  done
  for ((count = 0; count < slots - 1; ++count)); do
    request "$other" POST /v1/databases/lots/transactions
    if [ "$request_status" != 200 ]; then fail "begin at the next owner: $request_status $request_body"; fi
    request "$other" POST /v1/databases/lots/statements "{\"op\": \"read\", \"key\": \"lost-$count\"}"
    if [ "$request_status" != 200 ] || jq -e .value <<<"$request_body" >/dev/null; then
      fail "read after the rollback: $request_status $request_body"
    fi
  done
  if [ "$(standin_stats | jq ".endpoints[\"$primary\"].slots_in_use")" != 0 ]; then fail "slots of $primary are still taken"; fi
}

# Idle clients must not exhaust a daemon's memory (bound: 256 MB, section 1.3) or keep it from answering.
case_idle_connections() {
  local wanted=10000 limit
  ulimit -n 24000 2>/dev/null || ulimit -n "$(ulimit -Hn)"
  limit=$(ulimit -n)
  if [ "$limit" != unlimited ] && ((limit < wanted + 500)); then
    wanted=$((limit - 500))
    echo "only $wanted connections: the limit of open files is $limit"
  fi
  set_up 1
  local before after port=${daemon_addresses[0]##*:} count fd tries
  before=$(awk '/^VmRSS/ { print int($2 / 1024) }' "/proc/${almondlever_pids[vm-1]}/status")
  for ((count = 0; count < wanted; ++count)); do
    # shellcheck disable=SC2034 # the connection stays open until the case ends
    exec {fd}<>"/dev/tcp/127.0.0.1/$port"
  done
  for ((tries = 0; tries < 5; ++tries)); do
    request 1 POST /v1/databases/lots/statements '{"op": "write", "key": "idle", "value": "x"}'
    if [ "$request_status" != 200 ]; then fail "with $wanted idle connections: $request_status $request_body"; fi
  done
  local open
  open=$(curl -fsS --max-time 5 "http://${daemon_addresses[0]}/metrics" | awk '/^almondlever_client_connections/ { print int($2) }')
  after=$(awk '/^VmRSS/ { print int($2 / 1024) }' "/proc/${almondlever_pids[vm-1]}/status")
  echo "resident memory $before MB, with $open client connections $after MB"
  if ((open < wanted)); then fail "only $open of $wanted connections are open"; fi
  if ((after > 256)); then fail "resident memory is above 256 MB"; fi
}

client_connections() {
  curl -fsS --max-time 5 "http://${daemon_addresses[0]}/metrics" | awk '/^almondlever_client_connections/ { print int($2) }'
}
has_no_other_client() { [ "$(client_connections)" -le 1 ]; }

# A client that sends half a request and one that does not read its answers are dropped.
case_stalled_clients() {
  set_up 1 0
  daemon_addresses=()
  start_daemon 1 --client-read-timeout-ms 2000
  wait_for_daemons
  local port=${daemon_addresses[0]##*:} half deaf
  exec {half}<>"/dev/tcp/127.0.0.1/$port"
  printf 'POST /v1/databases/lots/statements HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"op"' >&"$half"
  if [ "$(client_connections)" -lt 2 ]; then fail "the first client is not connected"; fi
  wait_until 6 "the client with half a request is dropped" has_no_other_client
  # Together the answers are larger than what the buffers of both sockets hold.
  local count body='{"op": "read", "key": "big"}'
  printf '{"op": "write", "key": "big", "value": "%s"}' "$(head -c 500000 /dev/zero | tr '\0' x)" >"$almondlever_work/big.json"
  request 1 POST /v1/databases/lots/statements "@$almondlever_work/big.json"
  if [ "$request_status" != 200 ]; then fail "write of a large value: $request_status"; fi
  exec {deaf}<>"/dev/tcp/127.0.0.1/$port"
  (
    trap '' PIPE
    for ((count = 0; count < 40; ++count)); do
      printf 'POST /v1/databases/lots/statements HTTP/1.1\r\nHost: x\r\nAlmondlever-Caller: customs\r\nContent-Length: %s\r\n\r\n%s' \
        "${#body}" "$body"
      sleep 0.05
    done 1>&"$deaf" 2>/dev/null
  ) &
  local writer=$!
  sleep 2.5
  if [ "$(client_connections)" -lt 2 ]; then fail "the second client is not connected"; fi
  wait_until 15 "the client that does not read is dropped" has_no_other_client
  exec {deaf}>&-
  wait "$writer" 2>/dev/null || true
}

cases=("$@")
if [ $# = 0 ]; then cases=("${all_cases[@]}"); fi
failures=0 case_pid=
end_current_case() {
  if [ -n "$case_pid" ]; then
    kill -TERM "$case_pid" 2>/dev/null || true
    wait "$case_pid" 2>/dev/null || true
  fi
}
trap end_current_case EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
for name in "${cases[@]}"; do
  if ! declare -F "case_$name" >/dev/null; then
    echo "unknown case $name; cases are ${all_cases[*]}" >&2
    exit 2
  fi
  began=$SECONDS status=0
  ("case_$name") &
  case_pid=$!
  wait "$case_pid" || status=$?
  case_pid=
  took=$((SECONDS - began))
  if [ "$status" = 0 ]; then
    echo "$name: good, $took s"
  else
    echo "$name: FAILED (status $status), $took s"
    failures=$((failures + 1))
  fi
done
[ "$failures" = 0 ]
