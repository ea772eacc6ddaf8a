#!/usr/bin/env bash
# Fails when a deciding module includes a networking header or reads a clock: decisions take the time as an argument.
set -euo pipefail
cd "$(dirname "$0")/.."
deciding='config consistency failover placement admission membership'
status=0
for module in $deciding; do
  if grep -nE '#include <(asio|restinio|websocketpp|sys/socket|boost/asio)|#include "almondlever/(transport|platform|entry|serving|control|caller_api)/|Clock::now\(|system_clock::now' \
      -r "include/almondlever/$module" "src/$module" 2>/dev/null; then
    echo "check_layers: $module must not do input or output or read a clock" >&2
    status=1
  fi
done
exit $status
