#!/usr/bin/env bash
# Installs the Debian packages that building, testing and measuring need. Does nothing when all are present.
set -euo pipefail

packages=(
  cmake g++ ninja-build ccache pkg-config git
  librestinio-dev libhttp-parser-dev libfmt-dev libasio-dev libwebsocketpp-dev
  nlohmann-json3-dev libboost-dev libtclap-dev liblog4cxx-dev libyaml-cpp-dev libssl-dev libxxhash-dev zlib1g-dev
  libcriterion-dev librapidcheck-dev spin clang-14 libclang-rt-14-dev clang-format-14 clang-tidy-14
  curl jq gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
