/*
 * The record of log holders in the platform's store; docs/MODEL.md maps it to the code.
 *
 * One group with one synchronous replica. A holder is an incarnation of a server: a server that returns empty under its id
 * and the empty server that takes the place of one that is gone for good are new incarnations. Entries lapse and return
 * whether the server lives or not; a server without an entry still receives and helps to acknowledge. Asserted at each
 * promotion: the log of the promoted server holds every acknowledged commit. Asserted where the number of logs does not
 * suffice: at least two holders did not answer.
 *
 * A decider knows nothing but the record and the list, as after a restart of every daemon. No owner reaches the old primary
 * once a decider has begun to pause (isCut), and pauses last until a promotion: GroupPromotion.pml models the step down,
 * the return of such a primary and the end of pauses.
 *
 * Assumed, unless the macro in brackets is given: a server receives only after its entry was listed (RECEIVE_BEFORE_LISTED);
 * an entry lapses or is overwritten only after it was recorded (LAPSE_BEFORE_RECORD); servers that run are listed until the
 * record is created (LAPSE_AT_CREATION); an answer is attributed to the incarnation that gave it (STALE_START); the entry of
 * a leaving server that runs does not lapse (LAPSE_WHILE_LEAVING); a server joins only in place of one that is gone
 * (ENLARGE). Each macro is a hole that a commit is lost through; PROVE_GONE, which removes a holder only after a connection
 * has shown that it does not run, closes the last two.
 *
 * Other -D macros: CREATE starts without a record, LEAVES lets a server announce that it leaves, TWO_DECIDERS adds a second
 * change. PROMOTES asserts that no promotion follows a removal, to show that the model reaches one. The rest break one
 * mechanism each: COUNT_LISTED, POSITION_IN_MEMORY, SHRINK_ON_LAPSE, SHRINK_WITHOUT_EVIDENCE, COUNT_EMPTY_RESTART,
 * CREATE_FROM_LIST, EVIDENCE_BEFORE_REPLACEMENT, COUNT_INCARNATIONS, COUNT_LEAVING, READ_BEFORE_PAUSES, SKIP_REFUSED,
 * IGNORE_RETURN, ONE_FEWER, NEED_ALL.
 */

#ifndef WRITES
#define WRITES 1
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 4
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
/* Lapses of entries of servers that are alive. */
#ifndef LAPSES
#define LAPSES 2
#endif
#define NONE 7
#define BIT(s) (1 << (s))
#define IN(set, s) (((set) >> (s)) & 1)
#define LAST (INCARNATIONS - 1)
#define ALL ((1 << INCARNATIONS) - 1)
#ifdef TWO_DECIDERS
#define DECIDERS 2
#else
#define DECIDERS 1
#endif
/* Nothing can be promoted any more. */
#define isOver (over == DECIDERS && callTarget[0] == NONE && callTarget[1] == NONE)
#define IS_ANSWERED (IN(up, leader) && !isCut)

/* Sets of incarnations. */
byte up = 7;
byte gone;
byte listed = 7;
#ifdef CREATE
byte record;
bool isCreated;
#else
byte record = 7;
bool isCreated = 1;
#endif
byte paused;
byte replicates = 7;
byte leaving;
/* Holders of each write. */
byte has[2];
byte termOf[2];

byte idOf[INCARNATIONS];
byte incarnations = 3;
/* Servers that are gone for good and not yet replaced. */
byte vacancies;
/* Largest number of ids that were listed at the same time. */
byte size = 3;
byte crashes = CRASHES;
byte lapses = LAPSES;
bool hasLeft;

byte leader;
byte term = 1;
bool isCut;
byte written;
byte acknowledged;
/* The record has grown since the keeper began. */
bool hasGrown;
/* Holders listed again since then. */
byte hasReturned;
bool isAtWork;
bool hasRemoved;
byte over;

byte claimant = NONE;
byte lastFence;
byte seenFence;
byte callTarget[2] = NONE;
byte callFence[2];
byte callTerm[2];

#define LAST_TERM(s) (IN(has[1], s) -> termOf[1] : (IN(has[0], s) -> termOf[0] : 0))
#define LENGTH(s) (IN(has[0], s) + IN(has[1], s))
#define POSITION(s) (4 * (LAST_TERM(s)) + LENGTH(s))
#define COUNT(set) (IN(set, 0) + IN(set, 1) + IN(set, 2) + IN(set, 3) + IN(set, 4))

#ifdef LAPSE_BEFORE_RECORD
#define MAY_LAPSE_UNRECORDED(s) 1
#define MAY_BE_REPLACED(set) 1
#else
#define MAY_LAPSE_UNRECORDED(s) (IN(record, s) || !isCreated)
#define MAY_BE_REPLACED(set) (((set) & ~record) == 0 || !isCreated)
#endif
#ifdef LAPSE_AT_CREATION
#define MAY_LAPSE_BEFORE_CREATION(s) 1
#else
#define MAY_LAPSE_BEFORE_CREATION(s) (isCreated || !IN(up, s))
#endif
#ifdef LAPSE_WHILE_LEAVING
#define MAY_LAPSE_LEAVING(s) 1
#else
#define MAY_LAPSE_LEAVING(s) (!IN(leaving & up, s))
#endif
#ifdef SHRINK_ON_LAPSE
#define IS_SIZE_KEPT 1
#elif defined(COUNT_INCARNATIONS)
#define IS_SIZE_KEPT (COUNT(record & ~BIT(victim)) >= size)
#else
/* No two incarnations of one id are listed. */
#define IS_SIZE_KEPT (COUNT(record & listed & ~BIT(victim) & ~NOT_STAYING) >= size)
#endif
#ifdef COUNT_LEAVING
#define NOT_STAYING 0
#else
#define NOT_STAYING leaving
#endif
#define IS_REPLACED (IN(leaving, victim) || (listed & set) || IS_SIZE_KEPT)
#ifdef IGNORE_RETURN
#define HAS_RETURNED 0
#else
#define HAS_RETURNED hasReturned
#endif
#ifdef PROVE_GONE
#define IS_PROVED_GONE(s) (!IN(up, s))
#else
#define IS_PROVED_GONE(s) 1
#endif

/* The incarnations of the server of s. */
inline sameId(s, set) {
  set = 0; k = 0;
  do
  :: k < incarnations -> if :: idOf[k] == idOf[s] -> set = set | BIT(k) :: else -> skip fi; k++
  :: else -> break
  od;
  k = 0
}

inline promote(target) {
  assert(((acknowledged & 1) == 0 || IN(has[0], target)) && ((acknowledged & 2) == 0 || IN(has[1], target)));
#ifdef PROMOTES
  assert(!hasRemoved);
#endif
  leader = target;
  term++;
  isCut = 0;
  paused = 0;
  if
  :: !IN(has[0], leader) -> has[1] = has[1] & ~has[0]; has[0] = 0
  :: else -> has[1] = has[1] & has[0]
  fi;
  if
  :: !IN(has[1], leader) -> has[1] = 0
  :: else -> skip
  fi
}

/* Writes, replication, acknowledgements, crashes, restarts, replacement, entries, and the platform's late execution of calls. */
proctype world() {
  byte s, k, set;
end:
  do
  :: isOver -> break
  :: atomic { !isOver && written < WRITES && IN(up, leader) ->
      has[written] = has[written] | BIT(leader);
      termOf[written] = term;
      written++ }
  :: atomic { !isOver && IN(up, leader) ->
      select(s : 0 .. LAST);
      if
      :: s != leader && IN(up & replicates & ~paused, s) ->
        has[0] = (IN(has[0], leader) -> has[0] | BIT(s) : has[0] & ~BIT(s));
        has[1] = (IN(has[1], leader) -> has[1] | BIT(s) : has[1] & ~BIT(s))
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { !isOver && IN(up, leader) && !isCut ->
      if
      :: IN(has[0], leader) && (has[0] & ~BIT(leader)) -> acknowledged = acknowledged | 1
      :: else -> skip
      fi;
      if
      :: IN(has[1], leader) && (has[1] & ~BIT(leader)) -> acknowledged = acknowledged | 2
      :: else -> skip
      fi }
  /* A crash, and the return with the log. */
  :: atomic { !isOver && crashes > 0 && up ->
      select(s : 0 .. LAST);
      if
      :: IN(up, s) -> up = up & ~BIT(s); replicates = replicates & ~BIT(s); crashes--
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { !isOver && (ALL & ~up & ~gone) ->
      select(s : 0 .. LAST);
      if
      :: s < incarnations && !IN(up, s) && !IN(gone, s) ->
        up = up | BIT(s);
#ifdef RECEIVE_BEFORE_LISTED
        replicates = replicates | BIT(s)
#else
        replicates = replicates | (listed & BIT(s))
#endif
      :: else -> skip
      fi;
      s = 0 }
  /* Restart without the log under the same id. */
  :: atomic { !isOver && incarnations < INCARNATIONS ->
      select(s : 0 .. LAST);
      if
      :: s < incarnations && !IN(gone, s) ->
        up = (up & ~BIT(s)) | BIT(incarnations);
        gone = gone | BIT(s);
        replicates = replicates & ~BIT(s);
        paused = paused & ~BIT(s);
#ifdef RECEIVE_BEFORE_LISTED
        replicates = replicates | BIT(incarnations);
#endif
        idOf[incarnations] = idOf[s];
        incarnations++
      :: else -> skip
      fi;
      s = 0 }
  /* Gone for good. */
  :: atomic { !isOver && incarnations < INCARNATIONS && vacancies == 0 ->
      select(s : 0 .. LAST);
      if
      :: s < incarnations && !IN(gone, s) ->
        up = up & ~BIT(s); gone = gone | BIT(s); replicates = replicates & up; paused = paused & up; vacancies++
      :: else -> skip
      fi;
      s = 0 }
  /* The server that replaces it. */
#ifdef ENLARGE
  :: atomic { !isOver && incarnations < INCARNATIONS ->
#else
  :: atomic { !isOver && incarnations < INCARNATIONS && vacancies > 0 ->
#endif
      up = up | BIT(incarnations);
#ifdef RECEIVE_BEFORE_LISTED
      replicates = replicates | BIT(incarnations);
#endif
      idOf[incarnations] = incarnations;
      vacancies = (vacancies -> vacancies - 1 : 0);
      incarnations++ }
  /* An announced departure: receives until it is gone. */
#ifdef LEAVES
  :: atomic { !isOver && !hasLeft ->
      select(s : 0 .. 2);
      if
      :: s != leader && IN(up & listed, s) -> leaving = leaving | BIT(s); hasLeft = 1
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { !isOver && (leaving & ~gone) -> up = up & ~leaving; gone = gone | leaving; replicates = replicates & up; paused = paused & up }
#endif
  /* The entry of a server is written, or lapses. */
  :: atomic { !isOver && (up & ~listed) ->
      select(s : 0 .. LAST);
      if
      :: IN(up & ~listed, s) ->
        sameId(s, set);
        if
        :: MAY_BE_REPLACED(set & listed) ->
          listed = (listed & ~set) | BIT(s);
          hasReturned = (isAtWork -> hasReturned | BIT(s) : 0);
          replicates = replicates | BIT(s);
          size = (COUNT(listed) > size -> COUNT(listed) : size)
        :: else -> skip
        fi;
        set = 0
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { !isOver && listed ->
      select(s : 0 .. LAST);
      if
      :: IN(listed, s) && MAY_LAPSE_UNRECORDED(s) && MAY_LAPSE_BEFORE_CREATION(s) && MAY_LAPSE_LEAVING(s) &&
        (lapses || !IN(up, s)) ->
        lapses = lapses - IN(up, s);
        listed = listed & ~BIT(s)
      :: else -> skip
      fi;
      s = 0 }
  /* The record grows: any daemon. */
  :: atomic { !isOver && isCreated && (listed & ~record) -> record = record | listed; hasGrown = isAtWork }
  /* The platform carries a call out while the pauses hold. */
  :: atomic { (callTarget[0] != NONE || callTarget[1] != NONE) ->
      if
      :: s = 0
      :: s = 1
      fi;
      if
      :: callTarget[s] != NONE ->
        if
        :: callFence[s] >= seenFence && callTerm[s] == term && IN(up, callTarget[s]) ->
          seenFence = callFence[s];
          promote(callTarget[s])
        :: else -> skip
        fi;
        callTarget[s] = NONE;
        callFence[s] = 0;
        callTerm[s] = 0
      :: else -> skip
      fi;
      s = 0 }
  od
}

/* LogHolders: removal of a holder and creation of the record. */
proctype keeper() {
  byte victim, position, answering, members, set, k;
end:
  do
  :: isOver -> break
  /* The entry is gone and its server replaced. After that the primary answers with its position. */
  :: atomic { !isOver && isCreated && IS_ANSWERED && (record & ~listed) ->
      select(victim : 0 .. LAST);
      if
      :: IN(record & ~listed, victim) && victim != leader && IS_PROVED_GONE(victim) ->
        sameId(victim, set);
#ifndef EVIDENCE_BEFORE_REPLACEMENT
        if
        :: IS_REPLACED -> skip
        :: else -> goto reset
        fi;
#endif
        set = 0;
        isAtWork = 1; answering = leader; position = POSITION(leader)
      :: else -> goto reset
      fi };
#ifndef SHRINK_WITHOUT_EVIDENCE
    /* After that, one other remaining holder answers that it reaches the position. */
    atomic {
      select(k : 0 .. LAST);
      if
      :: IN(up & record & ~BIT(answering) & ~BIT(victim), k) && POSITION(k) >= position -> k = 0; position = 0; answering = 0
      :: else -> goto reset
      fi };
#endif
    /* Compare-and-set; the size never falls by a lapse. */
    atomic {
      sameId(victim, set);
      if
      :: !hasGrown && !IN(HAS_RETURNED, victim) && IS_REPLACED ->
        record = record & ~BIT(victim);
        hasRemoved = 1
      :: else -> skip
      fi;
reset:
      victim = 0; position = 0; answering = 0; k = 0; set = 0; isAtWork = 0; hasReturned = 0; hasGrown = 0 }
#ifdef CREATE
  :: atomic { !isOver && !isCreated && IS_ANSWERED && IN(listed, leader) ->
      members = listed; answering = leader; position = POSITION(leader) };
    atomic {
      select(k : 0 .. LAST);
      if
      :: !isCreated && IN(up & members & ~BIT(answering), k) && POSITION(k) >= position -> record = members; isCreated = 1
      :: else -> skip
      fi;
      members = 0; answering = 0; position = 0; k = 0 }
#endif
  od
}

proctype decider(byte self) {
  byte fence, holders, seen, chosen, s, set, k, answers, needed;
  atomic { claimant == NONE -> claimant = self; lastFence++; fence = lastFence;
#ifdef READ_BEFORE_PAUSES
    holders = record | listed
#endif
  };
  /*
   * No owner reaches the primary, which steps down otherwise (GroupPromotion.pml). Any of the others answer the pause. The
   * record and the list are read after that.
   */
  atomic {
    isCut = 1;
    do
    :: s <= LAST ->
      if
      :: s != leader && IN(up, s) -> seen = seen | BIT(s)
      :: true -> skip
      fi;
      s++
    :: else -> break
    od;
    s = 0;
    paused = paused | seen;
#ifndef READ_BEFORE_PAUSES
    holders = record | listed;
#endif
#ifdef COUNT_LISTED
    holders = listed;
#endif
#ifndef CREATE_FROM_LIST
    if
    :: !isCreated -> goto failed
    :: else -> skip
    fi;
#endif
    answers = seen & holders;
#ifdef STALE_START
    /* An answer counts for the incarnation whose entry is listed under the id. */
    do
    :: s < incarnations ->
      if
      :: IN(seen & ~listed, s) -> sameId(s, set); answers = answers | (set & listed)
      :: else -> skip
      fi;
      s++
    :: else -> break
    od;
    s = 0; set = 0;
#endif
    needed = COUNT(holders);
#ifdef COUNT_EMPTY_RESTART
    /* One holder for each id: the newest incarnation stands for all of them. */
    needed = 0; answers = 0;
    do
    :: s < incarnations ->
      sameId(s, set);
      if
      :: (set & holders) && set < 2 * BIT(s) -> needed++; answers = answers | (set & seen)
      :: else -> skip
      fi;
      s++
    :: else -> break
    od;
    s = 0; set = 0;
#endif
    needed = (needed > 1 -> needed - 1 : 1);
#ifdef POSITION_IN_MEMORY
    needed = 1;
#endif
#ifdef ONE_FEWER
    needed = (needed > 1 -> needed - 1 : 1);
#endif
#ifdef NEED_ALL
    needed = COUNT(holders);
#endif
    if
    :: COUNT(answers) < needed -> assert(COUNT(holders & ~seen) > 1); goto failed
    :: else -> skip
    fi;
    /* The most advanced log that was seen. */
    chosen = NONE;
    do
    :: s <= LAST ->
      if
      :: !IN(seen, s) -> skip
#ifdef SKIP_REFUSED
      /* The platform refused it, as it went down after its answer. */
      :: IN(seen, s) -> skip
#endif
      :: IN(seen, s) ->
        if
        :: chosen == NONE -> chosen = s
        :: else -> chosen = (POSITION(s) > POSITION(chosen) -> s : chosen)
        fi
      fi;
      s++
    :: else -> break
    od;
    if
    :: chosen != NONE -> callTarget[self] = chosen; callFence[self] = fence; callTerm[self] = term
    :: else -> skip
    fi;
failed:
    /* The pauses last until a promotion. */
    claimant = NONE; over++; fence = 0; holders = 0; seen = 0; chosen = 0; s = 0; set = 0; answers = 0; needed = 0 }
}

init {
  atomic {
    idOf[1] = 1;
    idOf[2] = 2;
    run world();
    run keeper();
    run decider(0)
#ifdef TWO_DECIDERS
    ; run decider(1)
#endif
  }
}
