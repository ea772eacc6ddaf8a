#!/usr/bin/env bash
# Measures on loopback what daemons cost by their number, by endpoints, idle client connections and statements, and what a
# configuration costs by its size. Writes JSON lines for docs/CAPACITY.md. CPU is CPU time; each line has the load average.
# Usage: scripts/capacity.sh [--out DIR] [--only configuration|fleet|endpoints|clients|statements] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

out=capacity-out only='' seconds=10
while [ $# -gt 0 ]; do
  case $1 in
  --out) out=$2 && shift 2 ;;
  --only) only=$2 && shift 2 ;;
  --seconds) seconds=$2 && shift 2 ;;
  *) sed -n '2,4s/^# //p' "$0" >&2 && exit 2 ;;
  esac
done
mkdir -p "$out"
out=$(realpath "$out")

# A whole run ends after this time at the latest.
longest_run_s=590
endpoint_connections=60

# write_fleet DAEMONS DATABASES DOMAINS: daemons in turn over the failure domains; three endpoints for each database, in the
# first three domains.
write_fleet() {
  local daemons=$1 databases=$2 domains=$3 number server port
  daemon_domains=() daemon_peer_addresses=()
  mkdir -p "$almondlever_work/config"
  reserve_port
  kv_address=127.0.0.1:$REPLY
  {
    echo "network: { inside_domain_ms: 0, between_domains_ms: 0, between_regions_ms: 0 }"
    echo "platform: { address: $kv_address, vm_list_lag_ms: 0 }"
    echo "failure_domains:"
    for ((number = 0; number < domains; ++number)); do echo "  - { id: domain-$number, region: region-$number }"; done
    echo "vms:"
    for ((number = 1; number <= daemons; ++number)); do
      reserve_port
      echo "  - { id: vm-$number, failure_domain: domain-$(((number - 1) % domains)), daemon_address: 127.0.0.1:$REPLY }"
      daemon_domains+=("domain-$(((number - 1) % domains))")
      daemon_peer_addresses+=("127.0.0.1:$REPLY 127.0.0.1:$REPLY")
    done
    for ((server = 0; server < 3; ++server)); do echo "  - { id: db-vm-$server, failure_domain: domain-$server }"; done
    echo "endpoints:"
    for ((number = 0; number < databases; ++number)); do
      for ((server = 0; server < 3; ++server)); do
        echo "  - { id: e-$number-$server, database: d-$number, vm: db-vm-$server, address: 127.0.0.1:0," \
          "replication_address: 127.0.0.1:0, slots: 20, connections: $endpoint_connections, open_ms: 0, service_ms: 1," \
          "initial_primary: $([ $((number % 3)) = $server ] && echo true || echo false) }"
      done
    done
  } >"$almondlever_work/standin.yaml"
  reserve_port
  control_addresses=127.0.0.1:$REPLY
  start_process standin "$ALMONDLEVER_BUILD/almondlever-standin" --config "$almondlever_work/standin.yaml" --endpoints all \
    --platform --control "$control_addresses" --print-addresses "$almondlever_work/addresses.json"
  wait_for_url "http://$control_addresses/control/stats"
  {
    echo "deployment: capacity"
    echo "failure_domains:"
    for ((number = 0; number < domains; ++number)); do echo "  - { name: domain-$number, region: region-$number }"; done
    echo "databases:"
    jq -r '.endpoints | to_entries[] | "\(.key) \(.value.address)"' "$almondlever_work/addresses.json" | sort -V |
      awk -v connections=$endpoint_connections '
        BEGIN { previous = "none" }
        { split($1, part, "-")
        if (part[2] != previous) print "  - name: d-" part[2] "\n    endpoints:"
        previous = part[2]
        printf "      - { name: %s, vm: db-vm-%s, failure_domain: domain-%s, address: \"%s\", slots: 20, connections: %d, open_time: 1ms }\n",
          $1, part[3], part[3], $2, connections
        if (!(part[2] in named)) { named[part[2]] = 1; names = names separator "d-" part[2]; separator = ", " } }
        END { print "callers:\n  - name: capacity\n    databases: [" names "]" }'
  } >"$almondlever_work/config/inventory.yaml"
  write_rules 3s
}

write_rules() {
  {
    echo "ranks:"
    echo "  - { name: urgent, floor: 60%, deadline: $1, queue_requests: 400, queue_bytes: 4MiB }"
    echo "callers:"
    echo "  - name: capacity"
    echo "    rank: urgent"
    echo "    read_your_writes: false"
    echo "    max_staleness: 5s"
  } >"$almondlever_work/config/rules.yaml"
}

# Reads a page of all daemons at once into a folder, a file for each.
read_all() {
  local page=$1 folder=$2 index arguments=()
  mkdir -p "$folder"
  for index in "${!daemon_addresses[@]}"; do
    arguments+=(-o "$folder/$((index + 1))" "http://${daemon_addresses[$index]}/$page")
  done
  curl -s -Z --parallel-max 100 "${arguments[@]}" 2>/dev/null
}

# process_cpu NAME: user and system CPU milliseconds used so far.
process_cpu() { awk '{ print ($14 + $15) * 10 }' "/proc/${almondlever_pids[$1]}/stat"; }
process_memory() { awk '/^VmRSS/ { print $2 }' "/proc/${almondlever_pids[$1]}/status"; }
platform_counts() {
  curl -s "http://$control_addresses/control/stats" | jq -c '.platform | {reads, writes, watches, vm_list_calls, refused: (.reads_refused + .writes_refused), reads_peak_per_second}'
}

# Sums of all daemons as JSON: control bytes and CPU from /metrics, CPU and memory of the processes, and largest memory.
take_sample() {
  local folder=$almondlever_work/sample number cpu=0 memory=0 largest=0 value
  rm -rf "$folder"
  read_all metrics "$folder"
  for ((number = 1; number <= ${#daemon_addresses[@]}; ++number)); do
    cpu=$((cpu + $(process_cpu "vm-$number")))
    value=$(process_memory "vm-$number")
    memory=$((memory + value))
    if ((value > largest)); then largest=$value; fi
  done
  cat "$folder"/* | awk -v cpu=$cpu -v memory=$memory -v largest=$largest -v now="$(date +%s.%N)" '
    /^almondlever_control_cpu_seconds/ { control += $2 }
    /^almondlever_peer_bytes\{class="control"\}/ { bytes += $2 }
    END { printf "{\"at\":%s,\"control_s\":%.6f,\"control_bytes\":%.0f,\"cpu_ms\":%d,\"memory_kib\":%d,\"largest_kib\":%d}\n",
      now, control, bytes, cpu, memory, largest }'
}

# difference BEFORE AFTER: rates for each daemon between two samples.
difference() {
  jq -nc --argjson a "$1" --argjson b "$2" --argjson n "${#daemon_addresses[@]}" '($b.at - $a.at) as $t | {
    seconds: ($t * 100 | round / 100),
    control_bytes_per_s: (($b.control_bytes - $a.control_bytes) / $t / $n | round),
    control_cpu_percent: (($b.control_s - $a.control_s) / $t / $n * 100000 | round / 1000),
    process_cpu_percent: (($b.cpu_ms - $a.cpu_ms) / $t / $n / 10 * 1000 | round / 1000),
    memory_mib: ($b.memory_kib / $n / 1024 * 10 | round / 10), largest_memory_mib: ($b.largest_kib / 1024 * 10 | round / 10) }'
}

# Connections and bytes towards the endpoints of vm-1, with 52 bytes of TCP and IP headers for each segment.
endpoint_traffic() {
  ss -tinpHO state established 2>/dev/null | grep -F "pid=${almondlever_pids[vm-1]}," | awk -v now="$(date +%s.%N)" -v ports="$(jq -r '[.endpoints[].address | split(":")[1]] | join(" ")' \
    "$almondlever_work/addresses.json")" '
    BEGIN { split(ports, list, " "); for (i in list) wanted[list[i]] = 1 }
    { split($4, peer, ":"); if (!(peer[2] in wanted)) next
      count++; line = $0
      for (i = 1; i <= NF; i++) { split($i, pair, ":"); value[pair[1]] = pair[2] }
      sent += value["bytes_sent"]; received += value["bytes_received"]; segments += value["segs_out"] + value["segs_in"]
      exchanges += value["data_segs_out"]; delete value }
    END { printf "{\"at\":%s,\"connections\":%d,\"bytes\":%d,\"exchanges\":%d}\n", now, count, sent + received + 52 * segments, exchanges }'
}

# Channels of vm-1 with other daemons.
peer_channels() {
  ss -tnpHO state established 2>/dev/null | grep -F "pid=${almondlever_pids[vm-1]}," | awk -v ports="$(printf '%s\n' "${daemon_peer_addresses[@]}" |
    sed 's/.*://' | tr '\n' ' ')" 'BEGIN { split(ports, list, " "); for (i in list) wanted[list[i]] = 1 }
    { split($3, own, ":"); split($4, peer, ":"); if (own[2] in wanted || peer[2] in wanted) count++ } END { print count + 0 }'
}

# Waits until every daemon tells the version; sets REPLY to the milliseconds since the given time in nanoseconds.
wait_for_version() {
  local version=$1 since=$2 folder=$almondlever_work/versions tries
  for ((tries = 0; tries < 300; ++tries)); do
    rm -rf "$folder"
    read_all v1/status "$folder" || true
    if [ "$(cat "$folder"/* 2>/dev/null | grep -oF "\"configuration_version\":$version," | wc -l)" = "${#daemon_addresses[@]}" ]; then
      REPLY=$((($(date +%s%N) - since) / 1000000))
      return
    fi
    sleep 0.02
  done
  REPLY=-1
}

emit() { # emit FILE JSON...: merges objects into one line with the load average.
  local file=$out/$1.jsonl
  shift
  printf '%s\n' "$@" "{\"load_average\":$(cut -d' ' -f1 /proc/loadavg)}" | jq -sc add | tee -a "$file"
}

begin_fleet() {
  begin_run
  write_fleet "$@"
  apply_configuration >/dev/null
}

measure_fleet() { # DAEMONS DATABASES FILE: start, steady state, and a change of the rules.
  begin_fleet "$1" "$2" 3
  local before after started kvStart kvBefore kvAfter kvChanged traffic trafficAfter ready applied inForce
  kvStart=$(platform_counts)
  started=$(date +%s%N)
  start_daemons "$1"
  ready=$((($(date +%s%N) - started) / 1000000))
  sleep 5
  kvBefore=$(platform_counts)
  before=$(take_sample)
  traffic=$(endpoint_traffic)
  sleep "$seconds"
  trafficAfter=$(endpoint_traffic)
  after=$(take_sample)
  kvAfter=$(platform_counts)
  write_rules 2500ms
  apply_configuration >/dev/null
  applied=$(date +%s%N)
  wait_for_version 2 "$applied"
  inForce=$REPLY
  sleep 2
  local changed
  changed=$(take_sample)
  kvChanged=$(platform_counts)
  local calls='reduce keys_unsorted[] as $k ({}; .[$k] = 0)'
  emit "$3" "$(jq -nc --argjson d "$1" --argjson g "$2" --argjson c "$(peer_channels)" --argjson r "$ready" --argjson f "$inForce" \
    '{daemons: $d, databases: $g, endpoints: ($g * 3), channels: $c, ready_ms: $r, change_in_force_ms: $f}')" \
    "$(difference "$before" "$after")" \
    "$(jq -nc --argjson a "$traffic" --argjson b "$trafficAfter" '($b.at - $a.at) as $s | {endpoint_connections: $b.connections,
      endpoint_bytes_per_s: (($b.bytes - $a.bytes) / $s | round), endpoint_exchanges_per_s: (($b.exchanges - $a.exchanges) / $s * 10 | round / 10)}')" \
    "$(jq -nc --argjson s "$kvStart" --argjson a "$kvBefore" --argjson b "$kvAfter" --argjson c "$kvChanged" --argjson n "$seconds" '
      def minus(x; y): x | with_entries(.value -= y[.key]);
      {key_value_at_start: minus($a; $s), key_value_steady: minus($b; $a), key_value_change: minus($c; $b)}')" \
    "$(jq -nc --argjson a "$after" --argjson b "$changed" --argjson d "$1" '{control_bytes_change_for_each: (($b.control_bytes - $a.control_bytes) / $d | round),
      control_cpu_change_ms_for_each: (($b.control_s - $a.control_s) / $d * 100000 | round / 100), change_window_s: ($b.at - $a.at)}')"
}

measure_clients() {
  begin_fleet 3 3 3
  start_daemons 3
  sleep 3
  local count cpu memory start
  for count in 0 100 1000 5000 10000; do
    local holder=
    if ((count > 0)); then
      start_process "holder-$count" "$ALMONDLEVER_BUILD/almondlever-measure" connections --address "${daemon_addresses[0]}" \
        --connections "$count" --hold-seconds 60
      holder=${almondlever_pids[holder-$count]}
      until grep -q '^held' "$almondlever_work/logs/holder-$count.out"; do sleep 0.1; done
      sleep 1
    fi
    cpu=$(process_cpu vm-1) start=$(date +%s%N)
    sleep 5
    cpu=$(($(process_cpu vm-1) - cpu))
    memory=$(process_memory vm-1)
    emit clients "$(jq -nc --argjson n "$count" --argjson m "$memory" --argjson c "$cpu" --argjson t "$((($(date +%s%N) - start) / 1000000))" \
      --argjson h "$(curl -s "http://${daemon_addresses[0]}/metrics" | awk '/^almondlever_client_connections/ { print $2 }')" \
      '{connections: $n, held: $h, memory_kib: $m, process_cpu_percent: ($c / $t * 10000 | round / 100)}')"
    if [ -n "$holder" ]; then kill "$holder" && wait "$holder" 2>/dev/null || true; fi
  done
}

measure_statements() { # READS RATES...: vm-4 lies in a domain without endpoints, so it only enters.
  local reads=$1 rate number cpuEntry cpuServing status
  shift
  begin_fleet 4 6 4
  start_daemons 4
  sleep 4
  for rate in "$@"; do
    {
      echo "deployment: capacity"
      echo "seed: 1"
      echo "threads: 1"
      echo "client_latency: 0ms"
      echo "settle_time: 0s"
      echo "read_back_time: 0s"
      echo "databases:"
      for ((number = 0; number < 6; ++number)); do echo "  d-$number: [e-$number-0, e-$number-1, e-$number-2]"; done
      echo "callers:"
      echo "  - { name: capacity, rank: urgent, deadline: 2s, floor: 60%, databases: [d-0, d-1, d-2, d-3, d-4, d-5], rate: $((rate > 0 ? rate : 1))," \
        "reads: $reads, sessions: 50, maximum_in_flight: 500, repeats: 0 }"
      echo "phases:"
      echo "  - { name: steady, duration: 8s }"
    } >"$almondlever_work/workload.yaml"
    cpuEntry=$(process_cpu vm-4) cpuServing=$(($(process_cpu vm-1) + $(process_cpu vm-2) + $(process_cpu vm-3)))
    local from
    from=$(date +%s%N)
    status=0
    "$ALMONDLEVER_BUILD/almondlever-load" --daemons "${daemon_addresses[3]}" --workload "$almondlever_work/workload.yaml" \
      --control "$control_addresses" --report-json "$almondlever_work/report.json" >"$almondlever_work/load.out" 2>&1 || status=$?
    cpuEntry=$(($(process_cpu vm-4) - cpuEntry))
    cpuServing=$(($(process_cpu vm-1) + $(process_cpu vm-2) + $(process_cpu vm-3) - cpuServing))
    emit statements "$(jq -c --arg reads "$reads" --argjson rate "$rate" --argjson e "$cpuEntry" --argjson s "$cpuServing" --argjson status "$status" \
      --argjson t "$((($(date +%s%N) - from) / 1000000))" --argjson m "$(process_memory vm-4)" --argjson ms "$(process_memory vm-1)" \
      '[.services[] | .answered_requests] as $a | {reads: $reads, rate: $rate, answered: ($a | add), window_ms: $t, entry_cpu_ms: $e,
      serving_cpu_ms: $s, entry_memory_kib: $m, serving_memory_kib: $ms, load_status: $status}' "$almondlever_work/report.json")"
  done
}

begun=$SECONDS
run_pid=
end_current_run() {
  if [ -n "$run_pid" ]; then
    kill -TERM "$run_pid" 2>/dev/null || true
    wait "$run_pid" 2>/dev/null || true
  fi
}
trap end_current_run EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# step NAME COMMAND...: runs it in a subshell, so that its processes end with it; skipped when no time is left.
step() {
  local name=$1 status=0 left=$((longest_run_s - SECONDS + begun))
  shift
  if [ -n "$only" ] && [ "$only" != "$name" ]; then return; fi
  if ((left < 60)); then
    echo "$name: no time left for $*" >&2
    return
  fi
  ("$@") &
  run_pid=$!
  wait "$run_pid" || status=$?
  run_pid=
  if [ "$status" != 0 ]; then echo "$name: $* ended with status $status" >&2; failed=1; fi
}

measure_configuration() {
  local line
  "$ALMONDLEVER_BUILD/almondlever-measure" configuration | jq -c '.results[]' | while read -r line; do emit configuration "$line"; done
}

failed=
step configuration measure_configuration
for daemons in 3 9 30 100; do step fleet measure_fleet "$daemons" 3 fleet; done
for databases in 5 20 80 160; do step endpoints measure_fleet 3 "$databases" endpoints; done
step clients measure_clients
step statements measure_statements 100% 0 200 500 1000
step statements measure_statements 0% 0 100 200 400
[ -z "$failed" ]
