# Counts reads by rank that rules and session positions allow on replicas, and those that replicas served.
# Input, sorted by the first column: time_us, event (answer or send), session, database, rank, token_sent, may_be_stale, has_position,
# from. A session without a position of the database may read only from the primary, unless its rule accepts stale reads.
# A request sent without a token ends what its session had seen.
$2 == "answer" { if ($8 == "true") seen[$3, $4] = generation[$3] + 1; next }
$6 == "false" { ++generation[$3] }
$9 == "replica" || $9 == "primary" {
  ++reads[$5]
  isAllowed = $7 == "true" || ($6 == "true" && seen[$3, $4] == generation[$3] + 1)
  if (isAllowed) ++allowed[$5]
  if (isAllowed && $9 == "replica") ++served[$5]
}
END {
  printf "["
  for (rank in reads) {
    printf "%s{\"rank\":\"%s\",\"reads\":%d,\"allowed_on_replicas\":%d,\"served_by_replicas\":%d}", separator, rank, reads[rank], \
      allowed[rank], served[rank]
    separator = ","
  }
  print "]"
}
