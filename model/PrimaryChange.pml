/*
 * Promotion and acknowledgement in a group of three servers with two deciders; docs/MODEL.md maps it to the code.
 *
 * Every step reads and writes the servers' state at once, and the steps come in any order. A message that is lost is a
 * step that is not taken; a late or doubled one is a step taken later or twice. A decider that dies or sleeps takes no
 * more steps, or takes them later. A partitioned primary is one that no step of a decider reaches.
 *
 * -D macros break one mechanism each: ACK_BEFORE_MAJORITY, CHOOSE_WITHOUT_MAJORITY, REUSE_TERM, TRUST_LEASE,
 * SKIP_TAIL_DISCARD, SKIP_TERM_CHECK, PICK_ANY.
 */
#define TERMS 3      /* term 1 is the initial one; two changes */
#ifndef WRITES
#define WRITES 2
#endif
/* With TAIL, the initial primary starts with two entries that no other server has, as after a partition. */
#ifdef TAIL
#define LENGTH 7
#else
#define LENGTH 5     /* three markers and two writes */
#endif
#define WRITE 16     /* log entry of write w is WRITE + w; a smaller entry is the marker of that term */

#define LOG(s, i) logs[(s) * LENGTH + (i)]
#define HIST(t, i) hist[((t) - 1) * LENGTH + (i)]
#define TERM_OF(e) ((e) < WRITE -> (e) : wterm[(e) - WRITE])
#define LAST_TERM(s) (loglen[s] == 0 -> 0 : TERM_OF(LOG(s, loglen[s] - 1)))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)

byte promised[3] = 1;
byte proposer[3];             /* decider + 1; 0 when the promise came with a follow */
bool leads[3];
byte follows[3];              /* term whose primary the server follows */
byte loglen[3] = 1;
byte logs[3 * LENGTH];
byte hist[3 * LENGTH];              /* log of the primary of each term, append-only: what late replication carries */
byte hlen[4];
byte primaryOf[4];

byte dterm[2];                /* term of the attempt */
byte dmask[2];                /* servers whose promise the decider received */
byte dbest[2];
byte dbestTerm[2];
byte dbestLen[2];
byte target[8];               /* server + 1 of a sent promotion, by decider and term */

byte writes;
byte wterm[2];
byte windex[2];
byte wmask[2];                /* servers whose report counts */
bool acked[2];

byte rstate;                  /* a read without token: 0 none, 1 arrived, 2 answered, 3 done */
byte rterm;
byte rmask;
byte racked;
bool rcomplete;

/* FailoverCoordinator: RaiseTermAction, the server's promise, and its answer, which may be lost. */
inline raiseTerm(d, s) {
  if
  :: dterm[d] > promised[s] -> promised[s] = dterm[d]; proposer[s] = d + 1; leads[s] = 0; follows[s] = 0
  :: else -> skip
  fi;
  if
  :: true ->
    if
    :: (dmask[d] & (1 << s)) == 0 ->
      dmask[d] = dmask[d] | (1 << s);
      if
#ifdef PICK_ANY
      :: true -> dbest[d] = s; dbestTerm[d] = LAST_TERM(s); dbestLen[d] = loglen[s]
#else
      :: LAST_TERM(s) > dbestTerm[d] || (LAST_TERM(s) == dbestTerm[d] && loglen[s] > dbestLen[d]) ->
        dbest[d] = s; dbestTerm[d] = LAST_TERM(s); dbestLen[d] = loglen[s]
      :: else -> skip
#endif
      fi
    :: else -> skip
    fi
  :: true -> skip
  fi
}

#ifdef REUSE_TERM
#define MAY_PROMISE(d, s) (dterm[d] >= promised[s])
#else
#define MAY_PROMISE(d, s) (dterm[d] > promised[s] || (dterm[d] == promised[s] && proposer[s] == d + 1))
#endif
#define WANTS_PROMISE(d, s) (dterm[d] > 0 && target[(d) * 4 + dterm[d]] == 0 && (dmask[d] & (1 << s)) == 0 && MAY_PROMISE(d, s))

#ifdef CHOOSE_WITHOUT_MAJORITY
#define MAY_CHOOSE(d) (dmask[d] != 0)
#else
#define MAY_CHOOSE(d) MAJORITY(dmask[d])
#endif

/* The server's promotion with its marker; every write acknowledged in an older term must be in its log. */
inline promote(t, s) {
  assert(hlen[t] == 0);
  leads[s] = 1; follows[s] = 0;
  LOG(s, loglen[s]) = t; loglen[s]++;
  primaryOf[t] = s;
  i = 0;
  do
  :: i < loglen[s] -> HIST(t, i) = LOG(s, i); i++
  :: else -> break
  od;
  hlen[t] = loglen[s]; i = 0;
  assert(!acked[0] || wterm[0] > t || LOG(s, windex[0]) == WRITE);
  assert(!acked[1] || wterm[1] > t || LOG(s, windex[1]) == WRITE + 1)
}

#define MAY_PROMOTE(d, t, s) (target[(d) * 4 + (t)] == s + 1 && promised[s] == (t) && !leads[s])
#define MAY_FOLLOW(t, s) (hlen[t] > 0 && primaryOf[t] != s && (t) >= promised[s] && follows[s] != (t))

inline follow(t, s) {
  if
  :: t > promised[s] -> proposer[s] = 0
  :: else -> skip
  fi;
  promised[s] = t; leads[s] = 0; follows[s] = t
}

#define FOLLOWED(s) promised[s]
#define IS_AHEAD(s) (loglen[s] > hlen[FOLLOWED(s)] || (loglen[s] > 0 && LOG(s, loglen[s] - 1) != HIST(FOLLOWED(s), loglen[s] - 1)))
#define MAY_DISCARD(s) (follows[s] == promised[s] && IS_AHEAD(s))
#ifdef SKIP_TAIL_DISCARD
#define MAY_COPY(s) (follows[s] == promised[s] && loglen[s] < hlen[FOLLOWED(s)])
#else
#define MAY_COPY(s) (follows[s] == promised[s] && !IS_AHEAD(s) && loglen[s] < hlen[FOLLOWED(s)])
#endif

#ifdef SKIP_TERM_CHECK
#define COUNTS(w, s) (promised[s] == wterm[w] && loglen[s] > windex[w])
#else
#define COUNTS(w, s) (promised[s] == wterm[w] && loglen[s] > windex[w] && LAST_TERM(s) == wterm[w])
#endif

#ifdef ACK_BEFORE_MAJORITY
#define MAY_ACK(w) (wmask[w] != 0)
#else
#define MAY_ACK(w) MAJORITY(wmask[w])
#endif

#define SUPERSEDED_HAS(w, t) ((t) <= wterm[w] || hlen[t] == 0 || HIST(t, windex[w]) == WRITE + w)

#ifdef TRUST_LEASE
#define IS_CONFIRMED true
#else
#define IS_CONFIRMED MAJORITY(rmask)
#endif

#define START(d, t) \
  :: d_step { dterm[d] < (t) -> dterm[d] = t; dmask[d] = 0; dbest[d] = 0; dbestTerm[d] = 0; dbestLen[d] = 0 }
#define RAISE(d, s) :: atomic { WANTS_PROMISE(d, s) -> raiseTerm(d, s) }
#define CHOOSE(d) \
  :: d_step { dterm[d] > 0 && MAY_CHOOSE(d) && target[(d) * 4 + dterm[d]] == 0 -> \
    target[(d) * 4 + dterm[d]] = dbest[d] + 1; dmask[d] = 0; dbest[d] = 0; dbestTerm[d] = 0; dbestLen[d] = 0 }
#define PROMOTE(d, t, s) :: d_step { MAY_PROMOTE(d, t, s) -> promote(t, s) }
#define FOLLOW(t, s) :: d_step { MAY_FOLLOW(t, s) -> follow(t, s) }
#ifdef SKIP_TAIL_DISCARD
#define REPLICATE(s) :: d_step { MAY_COPY(s) -> LOG(s, loglen[s]) = HIST(FOLLOWED(s), loglen[s]); loglen[s]++ }
#else
#define REPLICATE(s) \
  :: d_step { MAY_DISCARD(s) -> loglen[s]--; LOG(s, loglen[s]) = 0 } \
  :: d_step { MAY_COPY(s) -> LOG(s, loglen[s]) = HIST(FOLLOWED(s), loglen[s]); loglen[s]++ }
#endif
#define APPEND(s) \
  :: d_step { leads[s] && writes < WRITES && loglen[s] < LENGTH -> \
    LOG(s, loglen[s]) = WRITE + writes; HIST(promised[s], loglen[s]) = WRITE + writes; \
    wterm[writes] = promised[s]; windex[writes] = loglen[s]; wmask[writes] = 1 << s; \
    loglen[s]++; hlen[promised[s]] = loglen[s]; writes++ }
#define REPORT(w, s) \
  :: d_step { w < writes && !acked[w] && (wmask[w] & (1 << s)) == 0 && COUNTS(w, s) -> wmask[w] = wmask[w] | (1 << s) }
#define ACKNOWLEDGE(w) \
  :: d_step { w < writes && !acked[w] && MAY_ACK(w) -> \
    assert(SUPERSEDED_HAS(w, 2)); assert(SUPERSEDED_HAS(w, 3)); acked[w] = 1; wmask[w] = 0 }
#define ARRIVE(t) \
  :: d_step { rstate == 0 && hlen[t] > 0 && acked[0] -> rstate = 1; rterm = t; racked = acked[0] + 2 * acked[1] }
#define READ_AT(s) \
  :: d_step { rstate == 1 && primaryOf[rterm] == s && leads[s] -> rstate = 2; \
    rcomplete = (((racked & 1) == 0 || LOG(s, windex[0]) == WRITE) && ((racked & 2) == 0 || LOG(s, windex[1]) == WRITE + 1)) }
#define CONFIRM_READ(s) \
  :: d_step { rstate > 0 && rstate < 3 && promised[s] == rterm && (rmask & (1 << s)) == 0 -> rmask = rmask | (1 << s) }

active proctype group() {
  byte i = 0;
  d_step {
    leads[0] = 1; follows[1] = 1; follows[2] = 1;
    LOG(0, 0) = 1; LOG(1, 0) = 1; LOG(2, 0) = 1;
    HIST(1, 0) = 1; hlen[1] = 1; primaryOf[1] = 0;
#ifdef TAIL
    LOG(0, 1) = 1; LOG(0, 2) = 1; HIST(1, 1) = 1; HIST(1, 2) = 1; loglen[0] = 3; hlen[1] = 3
#endif
  };
end:
  do
  /* Decider 0 tries once, decider 1 competes for the same term and may go on to the next one. */
  START(0, 2) START(1, 2) START(1, 3)
  RAISE(0, 0) RAISE(0, 1) RAISE(0, 2) RAISE(1, 0) RAISE(1, 1) RAISE(1, 2)
  CHOOSE(0) CHOOSE(1)
  PROMOTE(0, 2, 0) PROMOTE(0, 2, 1) PROMOTE(0, 2, 2)
  PROMOTE(1, 2, 0) PROMOTE(1, 2, 1) PROMOTE(1, 2, 2) PROMOTE(1, 3, 0) PROMOTE(1, 3, 1) PROMOTE(1, 3, 2)
  FOLLOW(2, 0) FOLLOW(2, 1) FOLLOW(2, 2) FOLLOW(3, 0) FOLLOW(3, 1) FOLLOW(3, 2)
  REPLICATE(0) REPLICATE(1) REPLICATE(2)
  APPEND(0) APPEND(1) APPEND(2)
  REPORT(0, 0) REPORT(0, 1) REPORT(0, 2) REPORT(1, 0) REPORT(1, 1) REPORT(1, 2)
  ACKNOWLEDGE(0) ACKNOWLEDGE(1)
#ifdef READER
  ARRIVE(1) ARRIVE(2) ARRIVE(3)
  READ_AT(0) READ_AT(1) READ_AT(2)
  CONFIRM_READ(0) CONFIRM_READ(1) CONFIRM_READ(2)
  :: d_step { rstate == 2 && IS_CONFIRMED -> assert(rcomplete); rstate = 3; rmask = 0 }
#endif
  od
}
