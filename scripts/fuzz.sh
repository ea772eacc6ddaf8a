#!/usr/bin/env bash
# Builds the libFuzzer targets of fuzz/ and runs each with a fixed seed and a fixed number of runs, so that every run of this
# script checks the same inputs. Usage: scripts/fuzz.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-fuzz}
seed=20261204
# Ends a target that hangs. The numbers of runs below take about 10 s each on an idle core.
time_limit_s=180

# Number of inputs for each target, chosen by its speed.
declare -A runs=([FuzzMessages]=100000 [FuzzSessionToken]=350000 [FuzzInventory]=1500 [FuzzLineCodec]=70000 [FuzzCallerLimits]=25000)
# Comparison tracing is off because it puts addresses, which differ from run to run, into the inputs.
flags=(-seed="$seed" -use_cmp=0 -print_final_stats=0)

cmake -G Ninja -B "$build" -DCMAKE_CXX_COMPILER=clang++-14 -DALMONDLEVER_BUILD_FUZZERS=ON -DALMONDLEVER_BUILD_TESTS=OFF >/dev/null
targets=(fuzz/Fuzz*.cpp)
targets=("${targets[@]##*/}")
targets=("${targets[@]%.cpp}")
ninja -C "$build" -j "${ALMONDLEVER_JOBS:-$(nproc)}" --quiet "${targets[@]}"

folder=$(mktemp -d "${TMPDIR:-/tmp}/almondlever-fuzz.XXXXXX")
trap 'rm -rf "$folder"' EXIT
# The examples start the inventory's corpus: random bytes alone seldom become YAML that passes the first checks.
mkdir "$folder/examples"
for example in kavango limmidasmidjan planted-errors; do
  { cat "examples/$example/inventory.yaml" && printf '\0' && cat "examples/$example/rules.yaml"; } >"$folder/examples/$example"
done

for target in "${targets[@]}"; do
  mkdir "$folder/$target"
  arguments=("${flags[@]}" -runs="${runs[$target]:?"scripts/fuzz.sh names no number of runs for $target"}" -artifact_prefix="$folder/")
  if [ "$target" = FuzzInventory ]; then
    arguments+=(-max_len=8192 -len_control=0 "$folder/$target" "$folder/examples")
  else
    arguments+=(-max_len=4096 "$folder/$target")
  fi
  if ! timeout "$time_limit_s" "$build/fuzz/$target" "${arguments[@]}" >"$folder/$target.out" 2>&1; then
    tail -n 60 "$folder/$target.out" >&2
    for input in "$folder"/crash-* "$folder"/timeout-* "$folder"/oom-* "$folder"/leak-*; do
      if [ -e "$input" ]; then echo "${input##*/} in base64: $(base64 -w0 "$input")" >&2; fi
    done
    echo "fuzz: $target failed" >&2
    exit 1
  fi
  echo "fuzz: $target, $(sed -n 's/^Done \([0-9]* runs in [0-9]* second(s)\).*/\1/p' "$folder/$target.out"), no finding"
done
