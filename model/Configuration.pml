/*
 * Versions of the configuration head; docs/MODEL.md maps it to the code.
 *
 * Two operators apply one change each by compare-and-swap on almondlever/config/head. A request may take effect late or
 * twice, and an answer may be lost. Two daemons take versions from old answers of the key-value service or from each
 * other.
 *
 * -D macros break one mechanism each: ACCEPT_ANY, BLIND_PUT, REFUSE_ON_LOST.
 */
#define VERSIONS 4

byte head;                   /* version; its author is author[head] */
byte author[VERSIONS];       /* operator + 1, by version */
byte daemon[2];              /* version in force */
byte sentFrom[2];            /* expected version + 1 of the operator's request in flight */
byte outcome[2];             /* 0 open, 1 accepted, 2 refused, 3 unknown */
byte appliedAt[2];           /* version at which the operator's change took effect */

/* KeyValueService::compareAndSwap at the service; the request may arrive at any time after it was sent, or twice. */
inline arrive(op) {
#ifdef BLIND_PUT
  author[sentFrom[op]] = op + 1; head = sentFrom[op]; appliedAt[op] = head
#else
  if
  :: sentFrom[op] == head + 1 ->
    assert(author[sentFrom[op]] == 0);
    head++; author[head] = op + 1; appliedAt[op] = head
  :: else -> skip
  fi
#endif
}

/* Apply: on a lost answer the head is read, and the same request is sent again until the head tells the result. */
inline resolve(op) {
  if
  :: head >= sentFrom[op] && author[sentFrom[op]] == op + 1 && head == sentFrom[op] -> outcome[op] = 1
  :: head == sentFrom[op] && author[sentFrom[op]] != op + 1 -> outcome[op] = 2
  :: head > sentFrom[op] -> outcome[op] = 3
#ifdef REFUSE_ON_LOST
  :: head < sentFrom[op] -> outcome[op] = 2
#endif
  :: else -> skip
  fi
}

/* A daemon sees a version that was current at some time. */
inline see(d, version) {
#ifdef ACCEPT_ANY
  assert(version >= daemon[d]); daemon[d] = version
#else
  if
  :: version > daemon[d] -> daemon[d] = version
  :: else -> skip
  fi
#endif
}

#define SEND(op) :: d_step { sentFrom[op] == 0 -> sentFrom[op] = head + 1 }
#define ARRIVE(op) :: d_step { sentFrom[op] > 0 -> arrive(op) }
#define ANSWER(op) \
  :: d_step { outcome[op] == 0 && appliedAt[op] > 0 -> assert(author[appliedAt[op]] == op + 1); outcome[op] = 1 }
#define RESOLVE(op) :: d_step { outcome[op] == 0 && sentFrom[op] > 0 -> resolve(op) }
#define READ(d, v) :: d_step { v <= head -> see(d, v) }
#define GOSSIP(d) :: d_step { see(d, daemon[1 - d]) }
#define CHECK(op) \
  :: d_step { outcome[op] == 1 && appliedAt[op] == 0 -> assert(false) } \
  :: d_step { outcome[op] == 2 && appliedAt[op] > 0 -> assert(false) } \
  :: d_step { appliedAt[op] > 0 && author[appliedAt[op]] != op + 1 -> assert(false) }

active proctype service() {
end:
  do
  SEND(0) SEND(1) ARRIVE(0) ARRIVE(1) ANSWER(0) ANSWER(1) RESOLVE(0) RESOLVE(1)
  READ(0, 1) READ(0, 2) READ(1, 1) READ(1, 2) READ(0, 0) GOSSIP(0) GOSSIP(1)
  CHECK(0) CHECK(1)
  od
}
