#!/usr/bin/env bash
# Builds the stand-ins of the cases, review/build/review-case, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++17 -O1 -g -Wall -Wextra -DASIO_STANDALONE -pthread standin/main.cpp -o build/review-case
