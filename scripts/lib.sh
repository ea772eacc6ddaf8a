# shellcheck shell=bash
# Functions for scripts that run the stand-in, daemons and load on loopback. Source it from a script with `set -euo pipefail`.
# Every process is a child of the script and ends with it; ports are reserved, so that runs side by side do not clash.

: "${ALMONDLEVER_BUILD:=build}"
: "${ALMONDLEVER_CLUSTER_KEY:=loopback-cluster-key-0123456789}"
export ALMONDLEVER_CLUSTER_KEY

almondlever_port_folder=${TMPDIR:-/tmp}/almondlever-ports.$UID
declare -A almondlever_pids=()
declare -A almondlever_commands=()
almondlever_ports=()
almondlever_work=

# Creates the working folder and sets the trap that ends everything. The folder is kept when ALMONDLEVER_KEEP is set.
begin_run() {
  almondlever_work=$(mktemp -d "${TMPDIR:-/tmp}/almondlever-run.XXXXXX")
  mkdir -p "$almondlever_work/pids" "$almondlever_work/logs" "$almondlever_work/data"
  trap end_run EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

end_run() {
  local status=$?
  trap - EXIT
  stop_everything
  local port
  for port in "${almondlever_ports[@]}"; do
    rm -rf "${almondlever_port_folder:?}/$port"
  done
  almondlever_ports=()
  if [ -n "${ALMONDLEVER_KEEP:-}" ]; then
    echo "kept: $almondlever_work" >&2
  else
    rm -rf "$almondlever_work"
  fi
  exit "$status"
}

# Sets REPLY to a port that is free and reserved for this run. The range lies below the kernel's ephemeral ports.
reserve_port() {
  mkdir -p "$almondlever_port_folder"
  local port holder tries
  for ((tries = 0; tries < 1000; ++tries)); do
    port=$((20000 + SRANDOM % 10000))
    if ! mkdir "$almondlever_port_folder/$port" 2>/dev/null; then
      holder=$(cat "$almondlever_port_folder/$port/pid" 2>/dev/null || true)
      # A run that was killed leaves its reservations behind.
      if [ -n "$holder" ] && ! kill -0 "$holder" 2>/dev/null; then rm -rf "${almondlever_port_folder:?}/$port"; fi
      continue
    fi
    echo $$ >"$almondlever_port_folder/$port/pid"
    almondlever_ports+=("$port")
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      REPLY=$port
      return
    fi
  done
  echo "no free port found" >&2
  return 1
}

# start_process NAME COMMAND...: starts it in the background; its id is kept in pids/NAME, its output in logs/NAME.out.
start_process() {
  local name=$1
  shift
  almondlever_commands[$name]=$(printf '%q ' "$@")
  "$@" >>"$almondlever_work/logs/$name.out" 2>&1 &
  almondlever_pids[$name]=$!
  echo $! >"$almondlever_work/pids/$name.partial"
  mv "$almondlever_work/pids/$name.partial" "$almondlever_work/pids/$name"
}

restart_process() {
  local name=$1 command
  wait "${almondlever_pids[$name]}" 2>/dev/null || true
  eval "command=(${almondlever_commands[$name]})"
  # shellcheck disable=SC2128 # eval makes it an array
  start_process "$name" "${command[@]}"
}

stop_everything() {
  local name
  for name in "${!almondlever_pids[@]}"; do
    # A stopped process would not see SIGTERM.
    kill -CONT "${almondlever_pids[$name]}" 2>/dev/null || true
    kill -TERM "${almondlever_pids[$name]}" 2>/dev/null || true
  done
  local tries isRunning
  for ((tries = 0; tries < 30; ++tries)); do
    isRunning=
    for name in "${!almondlever_pids[@]}"; do
      if kill -0 "${almondlever_pids[$name]}" 2>/dev/null; then isRunning=1; fi
    done
    [ -n "$isRunning" ] || break
    sleep 0.1
  done
  for name in "${!almondlever_pids[@]}"; do
    kill -KILL "${almondlever_pids[$name]}" 2>/dev/null || true
    wait "${almondlever_pids[$name]}" 2>/dev/null || true
  done
  almondlever_pids=()
}

# Lists the endpoints of an inventory, one a line: endpoint database vm failure_domain slots connections open_time.
list_endpoints() {
  awk '
    /^[a-z_]+:/ { section = $1 }
    section != "databases:" { next }
    /^  - name:/ { database = $3 }
    /^      - name:/ { endpoint = $3 }
    /^        vm:/ { vm = $2 }
    /^        failure_domain:/ { domain = $2 }
    /^        slots:/ { slots = $2 }
    /^        connections:/ { connections = $2 }
    /^        open_time:/ { sub(/ms$/, "", $2); print endpoint, database, vm, domain, slots, connections, $2 }
  ' "$1"
}

# Lists the failure domains of an inventory, one a line: name region.
list_failure_domains() {
  awk '
    /^[a-z_]+:/ { section = $1 }
    section != "failure_domains:" { next }
    /- name:/ { name = $3 }
    /region:/ { print name, $2 }
  ' "$1"
}

# prepare_deployment DEPLOYMENT DAEMONS SERVICE_MS: reserves ports and writes standin.yaml, and the deployment's inventory and
# rules with the actual addresses, into the working folder. Sets daemon_domains, endpoint_names, endpoint_ports, kv_address.
prepare_deployment() {
  local deployment=$1 daemons=$2 service_ms=$3 source=examples/$1 config=$almondlever_work/standin.yaml
  local between_domains=0.5
  if [ "$deployment" = limmidasmidjan ]; then between_domains=1.5; fi
  mapfile -t almondlever_domains < <(list_failure_domains "$source/inventory.yaml")
  mapfile -t almondlever_endpoints < <(list_endpoints "$source/inventory.yaml")
  declare -gA endpoint_ports=()
  endpoint_names=()
  daemon_domains=()
  daemon_peer_addresses=()
  {
    echo "deployment: $deployment"
    echo "network: { inside_domain_ms: 0.1, between_domains_ms: $between_domains, between_regions_ms: 12 }"
    echo "failure_domains:"
    local line name region number
    for line in "${almondlever_domains[@]}"; do
      read -r name region <<<"$line"
      echo "  - { id: $name, region: $region }"
    done
    echo "vms:"
    for ((number = 1; number <= daemons; ++number)); do
      read -r name region <<<"${almondlever_domains[$(((number - 1) % ${#almondlever_domains[@]}))]}"
      reserve_port
      local listen=127.0.0.1:$REPLY
      reserve_port
      echo "  - { id: vm-$number, failure_domain: $name, daemon_address: $listen, relay_address: 127.0.0.1:$REPLY }"
      daemon_domains+=("$name")
      daemon_peer_addresses+=("$listen 127.0.0.1:$REPLY")
    done
    local endpoint database vm domain slots connections open_ms
    for line in "${almondlever_endpoints[@]}"; do
      read -r endpoint database vm domain slots connections open_ms <<<"$line"
      echo "  - { id: $vm, failure_domain: $domain }"
    done
    echo "endpoints:"
    local previous='' database_number=-1 endpoint_number=0
    for line in "${almondlever_endpoints[@]}"; do
      read -r endpoint database vm domain slots connections open_ms <<<"$line"
      if [ "$database" != "$previous" ]; then
        database_number=$((database_number + 1))
        endpoint_number=0
        previous=$database
      fi
      reserve_port
      endpoint_ports[$endpoint]=$REPLY
      endpoint_names+=("$endpoint")
      reserve_port
      # The first primaries lie in different failure domains.
      local primary=false
      if [ "$endpoint_number" = $((database_number % 3)) ]; then primary=true; fi
      endpoint_number=$((endpoint_number + 1))
      echo "  - { id: $endpoint, database: $database, vm: $vm, address: 127.0.0.1:${endpoint_ports[$endpoint]}," \
        "replication_address: 127.0.0.1:$REPLY, slots: $slots, connections: $connections, open_ms: $open_ms," \
        "service_ms: $service_ms, service_spread_ms: $((service_ms / 4)), initial_primary: $primary }"
    done
    reserve_port
    kv_address=127.0.0.1:$REPLY
    echo "platform: { address: $kv_address, vm_list_lag_ms: 500 }"
  } >"$config"

  mkdir -p "$almondlever_work/config"
  cp "$source/rules.yaml" "$almondlever_work/config/"
  cp "$source/inventory.yaml" "$almondlever_work/config/"
  for endpoint in "${endpoint_names[@]}"; do
    sed -i "/^      - name: $endpoint\$/,/address:/ s/address: .*/address: 127.0.0.1:${endpoint_ports[$endpoint]}/" \
      "$almondlever_work/config/inventory.yaml"
  done
}

# start_standins single|separate: starts the platform, the relays and the database servers, in one process or with a process and a
# data folder for each server. Sets control_addresses.
start_standins() {
  local mode=$1 program=$ALMONDLEVER_BUILD/almondlever-standin endpoint
  reserve_port
  control_addresses=127.0.0.1:$REPLY
  local flags=(--config "$almondlever_work/standin.yaml")
  if [ "$mode" = single ]; then
    start_process standin "$program" "${flags[@]}" --endpoints all --platform --relays --control "$control_addresses"
  else
    start_process standin "$program" "${flags[@]}" --platform --relays --control "$control_addresses"
    for endpoint in "${endpoint_names[@]}"; do
      reserve_port
      start_process "$endpoint" "$program" "${flags[@]}" --endpoints "$endpoint" --data-dir "$almondlever_work/data" \
        --control "127.0.0.1:$REPLY"
      control_addresses+=,127.0.0.1:$REPLY
    done
  fi
  local address
  for address in ${control_addresses//,/ }; do
    wait_for_url "http://$address/control/stats"
  done
}

# Waits until a URL answers with success.
wait_for_url() {
  local tries
  for ((tries = 0; tries < 150; ++tries)); do
    if curl -fsS -o /dev/null --max-time 2 "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "no success from $1 within 15 s" >&2
  return 1
}

apply_configuration() {
  "$ALMONDLEVER_BUILD/almondleverctl" apply "$almondlever_work/config" --kv-address "$kv_address" --author loopback
}

# start_daemon NUMBER [FLAG...]: starts vm-NUMBER. The callers' port is reserved too, so that a restart keeps it.
start_daemon() {
  local number=$1 listen advertise
  shift
  read -r listen advertise <<<"${daemon_peer_addresses[$((number - 1))]}"
  reserve_port
  start_process "vm-$number" "$ALMONDLEVER_BUILD/almondleverd" --vm-id "vm-$number" \
    --failure-domain "${daemon_domains[$((number - 1))]}" --listen "127.0.0.1:$REPLY" --peer-listen "$listen" \
    --peer-advertise "$advertise" --kv-address "$kv_address" --vm-list-address "$kv_address" \
    --log-file "$almondlever_work/logs/vm-$number.log" "$@"
  daemon_addresses[number - 1]=127.0.0.1:$REPLY
}

# start_daemons COUNT: starts vm-1 to vm-COUNT and waits until all are ready. Sets daemon_addresses.
start_daemons() {
  local number
  daemon_addresses=()
  for ((number = 1; number <= $1; ++number)); do start_daemon "$number"; done
  wait_for_daemons
}

wait_for_daemons() {
  local address
  for address in "${daemon_addresses[@]}"; do
    wait_for_url "http://$address/readyz"
  done
}

# Prints the words separated by commas.
join_with_commas() {
  local IFS=,
  echo "$*"
}
