#!/usr/bin/env bash
# Counts, from daemons' logs, the statements that were not served, by rank and cause, with the time that they had waited.
# Lines that the daemons left out under load are counted too. Usage: scripts/loss_table.sh [LOG...]   (default: standard input)
set -euo pipefail
cat "$@" | awk '
  function field(name,   at) {
    if (!match($0, " " name "=(\"[^\"]*\"|[^ ]*)")) return ""
    at = substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2)
    gsub(/"/, "", at)
    return at
  }
  / event=decision_lines_left_out / { left_out += field("count") }
  / event=(refuse|fail|time_out|abandon|retry) / {
    event = field("event")
    reason = field("reason")
    # Texts of endpoints differ in their details; their first words tell the cause.
    if (split(reason, words, " ") > 4) reason = words[1] " " words[2] " " words[3] " " words[4]
    key = field("rank") "\t" event "\t" reason "\t" field("outcome")
    ++count[key]
    waited[key] += field("waited_ms")
    if (field("waited_ms") + 0 > longest[key]) longest[key] = field("waited_ms") + 0
  }
  END {
    print "rank\tevent\treason\toutcome\tcount\tmean_waited_ms\tlongest_ms"
    for (key in count) printf "%s\t%d\t%d\t%d\n", key, count[key], waited[key] / count[key], longest[key] | "sort -t\"\t\" -k1,1n -k5,5nr"
    close("sort -t\"\t\" -k1,1n -k5,5nr")
    printf "lines left out by the daemons: %d\n", left_out
  }'
