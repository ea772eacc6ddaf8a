#!/usr/bin/env bash
# Fails when a deciding module includes a networking header or a module that it may not use, or reads a clock: decisions take
# the time as an argument.
set -euo pipefail
cd "$(dirname "$0")/.."
# What each deciding module may include besides itself; wire and endpoints only for their plain message types.
declare -A may_use=(
  [capacity]='common/|wire/GroupReport|membership/MembershipView|sessions/Statement'
  [config]='common/'
  [consistency]='common/|config/'
  [failover]='common/|config/|endpoints/EndpointMessages|groups/EndpointEntry|sessions/Routing'
  [customers]='common/|wire/|membership/MembershipView|placement/QuotaCoordinators|observability/'
  [placement]='common/|config/|membership/MembershipView|sessions/Routing'
  [admission]='common/|config/'
  [membership]='common/|wire/Messages'
  [limits]='common/|observability/'
  [sessions]='common/|customers/|pooling/StatementRunner|observability/Metrics'
  [groups]='common/|sessions/'
  [pooling]='common/|capacity/|failover/FailureConfirmation|sessions/|groups/|consistency/|admission/|config/|observability/'
  [store]='common/|sessions/Routing|observability/'
  [forwarding]='common/|pooling/StatementRunner|wire/|membership/MembershipView|observability/'
)
networking='<(asio|restinio|websocketpp|boost/(asio|beast)|sys/(socket|select|epoll|un)|netinet/|arpa/|netdb|poll|unistd|fcntl|http_parser|fstream)'
status=0
for module in "${!may_use[@]}"; do
  folders=("include/almondlever/$module" "src/$module")
  if grep -rnE "#include $networking|(Clock|system_clock|steady_clock)::now\(" "${folders[@]}"; then
    echo "check_layers: $module must not do input or output or read a clock" >&2
    status=1
  fi
  if grep -rnE '#include "almondlever/' "${folders[@]}" --include='*.h' --include='*.cpp' \
      | grep -vE "#include \"almondlever/($module/|${may_use[$module]})"; then
    echo "check_layers: $module may use only ${may_use[$module]//|/, }" >&2
    status=1
  fi
done

# The users' platform has names of its own; only its adapter and its tests may know them.
platform_names='kv-(key|range|watch|txn|lease|keep)|X-Fence-Token|X-Duty-Holder|X-Instance-Id|ALMONDLEVER_BOOT'
platform_names+='|"(STARTUP|QUERY|DATAROW|COMPLETE|READONLY|LAGGING|MISROUTED|TOOMANY|NOSTMT|STEPDOWN)'
platform_names+='|"(cold-remaining-ms|max-staleness-ms|tx-idle-ms|target-latency-ms|fault-tolerance|heartbeat-ms|sync-replicas|db-role)"'
platform_names+='|"(op|servers)/"'
if grep -rnE "$platform_names" include src programs --include='*.h' --include='*.cpp'; then
  echo "check_layers: names of the users' platform belong into platform/" >&2
  status=1
fi
# The adapter decides nothing: what repeats, places or gives up lives in the product.
if grep -rnE 'callAfter|#include "almondlever/(admission|placement|consistency|forwarding)/' platform; then
  echo "check_layers: platform/ must not decide when or where something is done" >&2
  status=1
fi
exit $status
