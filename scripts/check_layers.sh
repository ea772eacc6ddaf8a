#!/usr/bin/env bash
# Fails when a deciding module includes a networking header or a module that it may not use, or reads a clock: decisions take
# the time as an argument.
set -euo pipefail
cd "$(dirname "$0")/.."
# What each deciding module may include besides itself; wire and endpoints only for their plain message types.
declare -A may_use=(
  [config]='common/'
  [consistency]='common/|config/'
  [failover]='common/|config/|endpoints/EndpointMessages'
  [placement]='common/|config/|membership/MembershipView'
  [admission]='common/|config/'
  [membership]='common/|wire/Messages'
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
exit $status
