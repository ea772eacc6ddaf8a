#!/usr/bin/env bash
# Draws the plots of a report: scripts/measure_plots.sh DIR, where DIR has report.json.
set -euo pipefail
folder=$1 data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT

jq -r '.write_gap.each_ms | sort | to_entries[] | "\(.value) \((.key + 1) / 1)"' "$folder/report.json" >"$data/gaps"
gnuplot <<PLOT
set terminal svg size 640,360 background "white"
set output "$folder/write_gaps.svg"
set xlabel "gap in writes, ms"
set ylabel "primary changes with at most this gap"
set yrange [0:*]
set key off
plot "$data/gaps" using 1:2 with steps lw 2
PLOT

for run in $(jq -r '.runs | keys[] | select(startswith("flood"))' "$folder/report.json"); do
  jq -r --arg run "$run" '. as $r | .runs[$run].answered_attempts_by_second as $a
    | range([$a[] | length] | max) as $s | "\($s) \([$r.ranks[] as $k | ($a[$k][$s] // 0)] | join(" "))"' "$folder/report.json" >"$data/$run"
  mapfile -t ranks < <(jq -r '.ranks[]' "$folder/report.json")
  gnuplot <<PLOT
set terminal svg size 760,360 background "white"
set output "$folder/$run.svg"
set xlabel "second of the run"
set ylabel "answered attempts/s"
set yrange [0:*]
plot "$data/$run" using 1:2 with lines lw 2 title "${ranks[0]}", "" using 1:3 with lines lw 2 title "${ranks[1]}", \
  "" using 1:4 with lines lw 2 title "${ranks[2]}"
PLOT
done
