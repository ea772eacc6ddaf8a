#!/usr/bin/env bash
# Writes deploy/days/: one day for each kind of trouble. The trouble comes alone at 3 s, then again 13 s later
# together with the loss of a primary (a crash, or a planned replacement for those named *-handover).
set -euo pipefail
cd "$(dirname "$0")/.."
directory=deploy/days
mkdir -p "$directory"

# write_day NAME LIST ENTRY [LOSS]: LIST is plan or faults; ENTRY is the trouble without its time.
write_day()
{
    local name=$1 list=$2 entry=$3 loss=${4:-crash}
    local crash='{ at = 15.7, kind = "srv_crash", how = "primary", for_s = 7.0, service = "@s0" }'
    local handover='{ at = 16.4, kind = "release", how = "primary", service = "@s0" }'
    local plan="" faults=""
    local first="  { at = 3.0, $entry },"
    local second="  { at = 16.0, $entry },"
    [ "$list" = plan ] && plan="$first"$'\n'"$second" || faults="$first"$'\n'"$second"
    [ "$loss" = crash ] && faults="$faults"$'\n'"  $crash," || plan="$plan"$'\n'"  $handover,"
    {
        printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = %d\n' "$name" "$(printf '%s' "$name" | cksum | cut -d' ' -f1)"
        printf 'plan = [\n%s\n]\nfaults = [\n%s\n]\n' "$plan" "$faults" | sed '/^$/d'
    } > "$directory/$name.toml"
}

write_day burst-lowest faults 'kind = "burst", x = 2.5, for_s = 6.0, class = "@c1"'
write_day burst-urgent faults 'kind = "burst", x = 2.0, for_s = 4.0, class = "@c0"'
write_day shift faults 'kind = "shift", share = 0.5, for_s = 6.0'
write_day srv-crash-dark faults 'kind = "srv_crash", how = "dark", share = 0.3, for_s = 5.0'
write_day srv-crash-gone faults 'kind = "srv_crash", how = "gone", share = 0.15, for_s = 5.0'
write_day srv-crash-across faults 'kind = "srv_crash", how = "across", share = 0.3, for_s = 4.0'
write_day release plan 'kind = "release", share = 0.5, x = 1.0, gap_s = 1.0'
write_day release-primary plan 'kind = "release", how = "primary"'
write_day answer-lost faults 'kind = "answer_lost", share = 0.5, x = 0.2, for_s = 5.0, how = "primary"'
write_day answer-lost-reset faults 'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0, how = "reset primary"'
write_day answer-lost-handover faults 'kind = "answer_lost", share = 0.5, x = 0.1, for_s = 5.0' handover
write_day node-kill faults 'kind = "node_kill", on = "core", count = 2, for_s = 3.0, how = "leader race"'
write_day node-kill-power faults 'kind = "node_kill", share = 0.3, for_s = 4.0, how = "power"'
write_day roll-term plan 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0'
write_day roll-term-busy plan 'kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.0, how = "busy"'
write_day roll-term-handover plan 'kind = "roll_term", share = 0.6, x = 2.0, gap_s = 1.0' handover
write_day replace-core plan 'kind = "replace_core", how = "leader", x = 2.0'
write_day clock-step faults 'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "back"'
write_day clock-step-ahead faults 'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 6.0, how = "ahead"'
write_day reset-conns faults 'kind = "reset_conns", share = 0.5, x = 0.6'
write_day core-cut faults 'kind = "core_cut", count = 2, for_s = 5.0, how = "leader race"'
write_day core-cut-one-way faults 'kind = "core_cut", count = 2, for_s = 5.0, how = "leader one_way"'
write_day node-cut faults 'kind = "node_cut", share = 0.3, for_s = 6.0'
write_day node-cut-all faults 'kind = "node_cut", share = 0.2, for_s = 6.0, how = "all"'
write_day node-cut-servers faults 'kind = "node_cut", share = 0.3, for_s = 6.0, how = "servers reborn"'
write_day platform-down faults 'kind = "platform_down", for_s = 5.0, how = "silent"'
write_day platform-down-lapse faults 'kind = "platform_down", for_s = 6.5, how = "silent lapse"'
write_day platform-down-reset faults 'kind = "platform_down", for_s = 5.0, how = "reset lapse"'
write_day platform-down-nodes faults 'kind = "platform_down", share = 0.4, for_s = 8.0, how = "nodes many revoke meet"'
write_day platform-down-leader faults 'kind = "platform_down", count = 1, for_s = 7.0, how = "nodes leader silent"'
write_day platform-slow faults 'kind = "platform_slow", x = 80.0, for_s = 5.0'
write_day platform-lost faults 'kind = "platform_lost", x = 0.4, for_s = 5.0'
write_day platform-lost-late faults 'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"'
write_day platform-compact faults 'kind = "platform_compact", x = 5.0, for_s = 8.0'
write_day platform-compact-drain faults 'kind = "platform_compact", x = 5.0, for_s = 8.0, how = "drain"'
write_day config-route plan 'kind = "config_change", how = "route"'
write_day config-timeout plan 'kind = "config_change", how = "timeout"'
write_day config-idle plan 'kind = "config_change", how = "idle"'
write_day config-storm plan 'kind = "config_storm", for_s = 5.0, gap_s = 0.3'
write_day config-storm-handover plan 'kind = "config_storm", for_s = 5.0, gap_s = 0.3' handover
write_day big-config plan 'kind = "big_config", count = 400'
write_day replica-lag faults 'kind = "replica_lag", share = 1.0, x = 80.0, for_s = 7.0'
write_day replica-lag-deaf faults 'kind = "replica_lag", share = 0.5, x = 60.0, for_s = 6.0, how = "deaf"'
write_day replica-lag-deaf-crash faults 'kind = "replica_lag", count = 1, x = 60.0, for_s = 6.0, how = "deaf crash", service = "@s0"'
write_day replica-lag-handover faults 'kind = "replica_lag", share = 1.0, x = 80.0, for_s = 7.0' handover
write_day primary-cut faults 'kind = "primary_cut", share = 0.5, for_s = 5.0'
write_day primary-cut-replicas faults 'kind = "primary_cut", share = 0.5, for_s = 5.0, how = "replicas"'
write_day primary-cut-replicas-heals faults 'kind = "primary_cut", share = 1.0, for_s = 6.0, how = "replicas heals"'
write_day primary-cut-core faults 'kind = "primary_cut", share = 0.5, for_s = 5.0, how = "core"'
write_day primary-cut-heals faults 'kind = "primary_cut", share = 1.0, for_s = 6.0, how = "heals"'
write_day applied-late-orders faults 'kind = "applied_late", x = 0.5, for_s = 6.0, how = "orders"'
write_day applied-late-cloud faults 'kind = "applied_late", x = 0.6, for_s = 6.0, how = "cloud"'
write_day applied-late-all faults 'kind = "applied_late", x = 0.5, for_s = 6.0, how = "all"'
write_day applied-late-handover faults 'kind = "applied_late", x = 0.5, for_s = 6.0, how = "all"' handover
write_day srv-cut faults 'kind = "srv_cut", share = 0.3, for_s = 5.0'
write_day srv-cut-fronts faults 'kind = "srv_cut", share = 0.3, for_s = 5.0, x = 0.4, how = "fronts"'
write_day srv-cut-some faults 'kind = "srv_cut", share = 0.3, for_s = 5.0, x = 0.5, how = "some lossy"'
write_day srv-cut-reborn faults 'kind = "srv_cut", share = 0.2, for_s = 5.0, how = "reborn"'
write_day node-freeze faults 'kind = "node_freeze", share = 0.3, for_s = 4.0'
write_day node-freeze-renewed faults 'kind = "node_freeze", count = 1, for_s = 4.0, how = "renewed"'
write_day node-slow faults 'kind = "node_slow", share = 0.4, x = 5.0, for_s = 6.0'
write_day herd-kill faults 'kind = "herd_kill", share = 0.6'
write_day herd-kill-power faults 'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"'
write_day after-ack-kill faults 'kind = "after_ack_kill", count = 2, for_s = 3.0, how = "timed"'
write_day hup plan 'kind = "hup", share = 0.6, gap_s = 3.0'
write_day add-nodes plan 'kind = "add_nodes", share = 0.5'
for how in errors shed busy hang reset mute slow; do
    x=0.45
    [ "$how" = slow ] && x=8.0
    write_day "srv-grey-$how" faults "kind = \"srv_grey\", share = 0.15, x = $x, for_s = 6.0, how = \"$how\""
done
write_day srv-grey-one-zone faults 'kind = "srv_grey", share = 0.15, x = 0.45, for_s = 6.0, how = "errors one_zone"'
write_day srv-slow faults 'kind = "srv_slow", share = 0.16, x = 5.0, for_s = 6.0'
write_day srv-flap faults 'kind = "srv_flap", share = 0.12, gap_s = 1.4, for_s = 6.0'
for how in errors hang reset bad; do
    write_day "srv-lying-$how" faults "kind = \"srv_lying_health\", share = 0.1, for_s = 6.0, how = \"$how\""
done
for how in flood idle_tx idle_herd early_leave slow_reader half_close; do
    write_day "rude-${how//_/-}" faults "kind = \"rude\", how = \"$how\", count = 100, for_s = 6.0"
done
write_day platform-down-meet faults 'kind = "platform_down", share = 0.35, for_s = 9.0, how = "nodes busy revoke meet"'
write_day roll-term-remove plan 'kind = "roll_term", share = 0.2, x = 1.0, gap_s = 1.5, how = "remove"'
write_day roll-term-leader plan 'kind = "roll_term", share = 0.3, x = 1.0, gap_s = 1.5, how = "leader"'

# seconds TENTHS: prints a time of a day.
seconds()
{
    printf '%d.%d' $(($1 / 10)) $(($1 % 10))
}

# write_takeover_day NAME DARK SUCCESSOR [AT ENTRY]...: a replica receives nothing for 6 s; the primary goes dark DARK
# tenths of a second later; the server that takes over goes dark SUCCESSOR tenths after that (0: it stays). Each ENTRY comes
# AT tenths after the replica's fault. All of it comes twice. The moment of the takeover varies: the successor's fault
# stands several times, and those that find no primary do nothing.
write_takeover_day()
{
    local name=$1 dark=$2 successor=$3 faults="" round at
    local deaf='kind = "replica_lag", x = 60.0, for_s = 6.0, count = 1, how = "deaf", service = "@s0"'
    local loss='kind = "srv_crash", how = "dark primary", for_s = 7.0, service = "@s0"'
    shift 3
    for round in 30 230; do
        faults+="  { at = $(seconds "$round"), $deaf },"$'\n'
        faults+="  { at = $(seconds $((round + dark))), $loss },"$'\n'
        if [ "$successor" != 0 ]; then
            for ((at = round + dark + successor; at < round + dark + successor + 6; ++at)); do
                faults+="  { at = $(seconds "$at"), $loss },"$'\n'
            done
        fi
        local entries=("$@")
        while [ "${#entries[@]}" -gt 0 ]; do
            faults+="  { at = $(seconds $((round + entries[0]))), ${entries[1]} },"$'\n'
            entries=("${entries[@]:2}")
        done
    done
    {
        printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = %d\n' "$name" "$(printf '%s' "$name" | cksum | cut -d' ' -f1)"
        printf 'length_s = 42.0\nplan = [\n]\nfaults = [\n%s]\n' "$faults"
    } > "$directory/$name.toml"
}

kill_one='kind = "node_kill", on = "core", count = 1, how = "leader"'
kill_some='kind = "herd_kill", share = 0.55'
kill_all='kind = "herd_kill", share = 1.0, for_s = 1.0'
write_takeover_day takeover-dark-early 10 0
write_takeover_day takeover-dark 30 0
write_takeover_day takeover-dark-late 45 0
write_takeover_day takeover-successor 30 10
write_takeover_day takeover-successor-late 20 25
write_takeover_day takeover-kill-one-before 30 10 15 "$kill_one"
write_takeover_day takeover-kill-one 30 24 50 "$kill_one"
write_takeover_day takeover-kill-some-before 25 12 12 "$kill_some"
write_takeover_day takeover-kill-some 25 26 46 "$kill_some"
write_takeover_day takeover-kill-all-before 35 15 5 "$kill_all"
write_takeover_day takeover-kill-all 20 30 40 "$kill_all"
write_takeover_day takeover-kill-each 30 26 10 "$kill_some" 40 "$kill_one" 65 "$kill_all"
