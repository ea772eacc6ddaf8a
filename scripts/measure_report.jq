# Builds report.json of scripts/measure.sh from the runs' figures.
def quantile($share): sort | if length == 0 then null else .[([length - 1, ((length * $share) | floor)] | min)] end;
def service($run; $phase): [$run.services[] | select(.phase == $phase)];
def of_rank($run; $phase; $rank): service($run; $phase)[] | select(.rank == $rank);
# Requests inside the deadline in relation to what the floor guarantees of the arrivals, as in almondlever-measure schedulers.
def floor_kept($run; $rank): of_rank($run; "flood"; $rank)
  | [1, .inside_deadline_requests / ([.offered_requests, .floor_per_s * .phase_s] | min)] | min;
def share_of_reads: { reads: (map(.reads) | add), allowed_on_replicas: (map(.allowed_on_replicas) | add),
  served_by_replicas: (map(.served_by_replicas) | add) }
  | .share_of_allowed = (if .allowed_on_replicas > 0 then .served_by_replicas / .allowed_on_replicas else null end);

$runs[0] as $run
| (if $deployment == "kavango" then ["border", "sheds", "market"] else ["desk", "plotter", "viewing"] end) as $ranks
| ($run.changes.write_gaps | map(select(.fault | contains("kill")))) as $kills
| [$kills[].last_before_to_first_after_ms] as $gaps
| { median_ms: ($gaps | quantile(0.5)), p99_ms: ($gaps | quantile(0.99)), longest_ms: ($gaps | max), changes: ($gaps | length),
    recovered: ([$kills[] | select(.recovered)] | length),
    changes_of_term: ([$kills[] | select(.term_after > .term_before)] | length),
    usual_gap_median_ms: ([$kills[].usual_gap_ms] | quantile(0.5)), each_ms: $gaps } as $write_gap
| ($run.changes.replica_reads | share_of_reads) as $reads
| ($run.flood_lowest) as $lowest | ($run.flood_urgent) as $urgent
| of_rank($lowest; "flood"; $ranks[0]).inside_deadline_share as $urgent_inside
| (of_rank($lowest; "flood"; $ranks[1]).inside_deadline_share / of_rank($lowest; "before"; $ranks[1]).inside_deadline_share) as $middle_kept
| [$ranks[1:][] as $rank | floor_kept($urgent; $rank)] as $floors_kept
| [$run[] | .violations | length] as $violations
| [$run[] | .endpoints[] | select(.connections_peak > .connections_limit)] as $over_limit
| def target($name; $measured; $bound; $met): { name: $name, measured: $measured, bound: $bound, is_met: $met };
{
  deployment: $deployment, measured_at: $measured_at, command: $command, seed: $seed, commit: $commit, machine: $machine, daemons: $daemons,
  ranks: $ranks,
  load_average_by_run: ($run | map_values([.load_average_before, .load_average_after])),
  is_machine_overloaded: ([$run[] | .load_average_before, .load_average_after] | max > 10),
  write_gap: $write_gap,
  replica_reads: { all_ranks: $reads, by_rank: ($run.changes.replica_reads | map(. + { share_of_allowed:
    (if .allowed_on_replicas > 0 then .served_by_replicas / .allowed_on_replicas else null end) })) },
  floods: { lowest_rank: { urgent_inside_deadline_share: $urgent_inside, middle_kept_share: $middle_kept,
      slots_busy_share: $lowest.slots_busy_share_by_phase.flood },
    urgent_rank: { floor_kept_share_of_lower_ranks: $floors_kept, slots_busy_share: $urgent.slots_busy_share_by_phase.flood } },
  throughput: $throughput,
  targets: ([
    target("write gap median, ms"; $write_gap.median_ms; "at most 1000"; $write_gap.median_ms <= 1000),
    target("write gap p99, ms"; $write_gap.p99_ms; "at most 2000"; $write_gap.p99_ms <= 2000),
    target("write gap longest, ms"; $write_gap.longest_ms; "at most 18000"; $write_gap.longest_ms <= 18000),
    target("primary changes with writes again"; $write_gap.recovered; "all of \($write_gap.changes)"; $write_gap.recovered == $write_gap.changes),
    target("allowed reads on replicas"; $reads.share_of_allowed; "at least 0.95"; $reads.share_of_allowed >= 0.95),
    target("flood of lowest rank: urgent inside deadline"; $urgent_inside; "at least 0.999"; $urgent_inside >= 0.999),
    target("flood of lowest rank: middle rank keeps"; $middle_kept; "at least 0.95"; $middle_kept >= 0.95),
    target("flood of lowest rank: slots busy"; $lowest.slots_busy_share_by_phase.flood; "at least 0.95";
      $lowest.slots_busy_share_by_phase.flood >= 0.95),
    target("flood of urgent rank: least floor kept"; ($floors_kept | min); "at least 0.95"; ($floors_kept | min) >= 0.95),
    target("broken promises"; ($violations | add); "0"; ($violations | add) == 0),
    target("servers above their connection limit"; ($over_limit | length); "0"; ($over_limit | length) == 0)
  ] + (if $run.flood_both then $run.flood_both as $both | [
    target("both floods: least floor kept by lower ranks"; ([$ranks[1:][] as $rank | floor_kept($both; $rank)] | min);
      "at least 0.95"; ([$ranks[1:][] as $rank | floor_kept($both; $rank)] | min) >= 0.95)] else [] end)
  + (if $throughput then [
    target("throughput against bare handler"; $throughput.read_throughput_ratio; "at least 0.35"; $throughput.read_throughput_ratio >= 0.35),
    target("added median latency, ms"; $throughput.read_added_median_ms; "at most 0.3"; $throughput.read_added_median_ms <= 0.3)] else [] end)),
  score: ({ gap: (([1, 1000 / $write_gap.median_ms] | min) / 2 + ([1, 2000 / $write_gap.p99_ms] | min) / 2),
      urgent: ([1, $urgent_inside / 0.999] | min),
      lower_ranks: ([1, ($floors_kept | min) / 0.95, $middle_kept / 0.95] | min),
      replica_reads: ([1, $reads.share_of_allowed / 0.95] | min) }
    | . as $parts
    | (if $deployment == "kavango" then { gap: 0.35, urgent: 0.35, lower_ranks: 0.15, replica_reads: 0.15 }
       else { gap: 0.15, urgent: 0.2, lower_ranks: 0.5, replica_reads: 0.15 } end) as $weights
    | { parts: $parts, weights: $weights, total: ([$parts | keys[] as $k | $parts[$k] * $weights[$k]] | add) }),
  runs: ($run | map_values(del(.violations, .faults) + { violations: (.violations | length), faults: (.faults | length) })),
  schedulers_replayed: [$schedulers[0].results[] | select(.deployment == $deployment)]
}
