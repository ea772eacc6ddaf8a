/*
 * Calls and orders whose outcome is not known; docs/MODEL.md maps it to the code.
 *
 * One group with one synchronous replica, two daemons that send writes to its primary, deciders that take the claim
 * one after the other. A call to the platform is sent, accepted or refused by its fence when it is carried out (an
 * equal fence is accepted), and takes effect later; each of these may come at any time or never, and the decider may
 * get no answer and repeat the call. Any daemon may reach the primary and any decider may fail to: no server is cut
 * off, a step that is not taken stands for a message that does not arrive. A decider dies or loses its claim at any
 * step. Asserted whenever a server starts to lead: its log holds every commit that was answered to a caller as a
 * success. Asserted at such an answer: the present leader holds the commit.
 *
 * The design: the claim opens the record of the change; each daemon that sees an open record holds writes until the
 * record is done or the decider of the newest fence that it knows says that the change has ended; a commit sent
 * before the hold is not answered as a success any more. Logs are compared after every daemon holds. A change with an
 * unanswered call is not done: a recovery under a newer fence follows, and ends only when no older call can take
 * effect any more.
 *
 * Replicas receive at any time, whatever they were ordered: this stands for every PAUSE that is lost, every RESUME
 * that is carried out late, every restart. A late PAUSE is a replica that receives nothing. PAUSES models pauses that
 * last until a RESUME, a promotion or one of RESTARTS restarts; it is for the variants that lose commits in spite of
 * them.
 *
 * Time is abstracted in two conditions. "Every daemon holds" (ALL_HOLD) stands for: each has answered, or a bounded
 * time has passed since the claim. This assumes that a daemon that does not answer has read the claim by then, or
 * holds because it has had no news of the store. "No older call is under way to its effect" (HAS_EFFECT_TIME_PASSED)
 * stands for: the time from acceptance to effect has passed since the acceptance of the own call. This assumes a
 * bound on that time. Besides, the holders of logs are known (LogHolders.pml), and a server keeps its log.
 *
 * -D macros: JOINS lets a fourth server join. NO_REPETITION repeats no call. MARK_UNANSWERED with
 * STEP_DOWN_AFTER_HOLD is another correct design: a change with an unanswered call is done once its endpoint leads,
 * and marks the record, so that the next change waits for the effect time like a recovery. PROMOTES asserts that
 * nothing is promoted after a promotion and a commit, to show that the model reaches it. LATE_NEWS drops the first
 * assumption for one daemon: a known hole. The others break one mechanism each: CLOSE_AFTER_UNANSWERED, NO_HOLD,
 * HOLD_ONLY_OWNERS, CALL_BEFORE_HOLD, COMPARE_BEFORE_HOLD, END_BEFORE_EFFECT, RESUME_BEFORE_VOID (a recovery resumes
 * and ends the hold before its own call), RESOLVE_BY_REPEAT (an accepted repetition counts as the answer of the call
 * before it), MARK_UNANSWERED alone, TWO_UNDER_ONE_FENCE, DONE_OVER_LATER_CLAIM, CLAIM_ENDS_HOLD (an open record
 * without a claim), SUCCESS_AFTER_HOLD.
 */

#ifndef WRITES
#define WRITES 1
#endif
#ifndef DECIDERS
#define DECIDERS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifdef JOINS
#define LAST 3
#else
#define LAST 2
#endif
#define DAEMONS 2
#define SLOTS (2 * DECIDERS)
#define NOBODY 7
#define BIT(s) (1 << (s))
#define IN(set, s) (((set) >> (s)) & 1)
#define COUNT(set) (IN(set, 0) + IN(set, 1) + IN(set, 2) + IN(set, 3))

/* Holders of each write. */
byte has[2];
byte termOf[2];
byte sentBy[2];
byte written;
/* Sets of writes: acknowledged by the primary, answered as a success, sent before a hold of their daemon. */
byte underWay;
byte acknowledged;
byte doubtful;

byte leader;
byte formerLeader;
/* Not stepped down. */
bool isLeading = 1;
byte term = 1;

/* Sets of servers. */
byte listed = 7;
#ifdef PAUSES
byte paused;
byte lateResumes;
byte restarts = RESTARTS;
#define RECEIVING (listed & ~paused)
#else
#define RECEIVING listed
#endif
byte lateStepDownTerm;

/* The store: the claim, the fence of the last one, the record of the change. */
byte claimant = NOBODY;
byte lastFence;
bool isOpen;
#ifdef MARK_UNANSWERED
bool isMarked;
#endif

/* Daemons: the hold, the newest fence known, closing messages by fence. */
bool isHolding[DAEMONS];
byte knownFence[DAEMONS];
byte closed;

/* Calls to the platform, two for each decider. */
/* Decider 0 claims first, and so on. */
#define FENCE_OF(c) ((c) / 2 + 1)
mtype = { Unused, Sent, Effective, Over };
mtype callState[SLOTS] = Unused;
byte callTarget[SLOTS];
byte isAccepted;
byte acceptedFence;

#define LAST_TERM(s) (IN(has[1], s) -> termOf[1] : (IN(has[0], s) -> termOf[0] : 0))
#define LENGTH(s) (IN(has[0], s) + IN(has[1], s))
#define POSITION(s) (4 * (LAST_TERM(s)) + LENGTH(s))
#define LOG(s) (IN(has[0], s) + 2 * IN(has[1], s))

#if defined(NO_HOLD)
#define HOLDS(d) 0
#elif defined(HOLD_ONLY_OWNERS)
#define HOLDS(d) ((d) == 0)
#else
#define HOLDS(d) 1
#endif
#ifdef CLAIM_ENDS_HOLD
#define IS_HOLD_DUE (isOpen && claimant != NOBODY)
#else
#define IS_HOLD_DUE isOpen
#endif
#define HAS_NEWS(d) (!HOLDS(d) || (isHolding[d] && knownFence[d] >= fence))
#ifdef LATE_NEWS
#define ALL_HOLD HAS_NEWS(0)
#else
#define ALL_HOLD (HAS_NEWS(0) && HAS_NEWS(1))
#endif

/* Accepted no later than the call whose answer the decider has. */
#define IS_OLDER_PENDING(c) (callState[c] == Effective && (FENCE_OF(c) < fence || c == answered))
#if DECIDERS == 3
#define HAS_EFFECT_TIME_PASSED (!IS_OLDER_PENDING(0) && !IS_OLDER_PENDING(1) && !IS_OLDER_PENDING(2) && \
    !IS_OLDER_PENDING(3) && !IS_OLDER_PENDING(4) && !IS_OLDER_PENDING(5))
#else
#define HAS_EFFECT_TIME_PASSED (!IS_OLDER_PENDING(0) && !IS_OLDER_PENDING(1) && !IS_OLDER_PENDING(2) && \
    !IS_OLDER_PENDING(3))
#endif

#ifdef SUCCESS_AFTER_HOLD
#define MAY_SUCCEED(w) (!IN(underWay, w))
#else
#define MAY_SUCCEED(w) (!IN(underWay | doubtful, w))
#endif
#define IS_REPLICATED(w) (isLeading && IN(has[w], leader) && (has[w] & ~BIT(leader)) && MAY_SUCCEED(w))

inline hold(d) {
  isHolding[d] = 1;
  doubtful = doubtful | ((written > 0 && sentBy[0] == d) -> 1 : 0);
  doubtful = doubtful | ((written > 1 && sentBy[1] == d) -> 2 : 0);
#ifndef SUCCESS_AFTER_HOLD
  underWay = underWay & (acknowledged | ~doubtful)
#endif
}

inline lead(target) {
  assert((acknowledged & ~LOG(target)) == 0);
#ifdef PROMOTES
  assert(acknowledged == 0 || term == 1);
#endif
  formerLeader = leader;
  leader = target;
  term++;
  isLeading = 1;
  lateStepDownTerm = (lateStepDownTerm > term -> lateStepDownTerm : 0);
#ifdef PAUSES
  paused = paused & ~BIT(target);
#endif
  if
  :: !IN(has[0], leader) -> has[1] = has[1] & ~has[0]; has[0] = 0
  :: else -> has[1] = has[1] & has[0]
  fi;
  if
  :: !IN(has[1], leader) -> has[1] = 0
  :: else -> skip
  fi
}

proctype world() {
  byte s, c;
end:
  do
  /* A daemon that does not hold sends a write. */
  :: atomic { written < WRITES && isLeading ->
      select(s : 0 .. DAEMONS - 1);
      if
      :: !isHolding[s] ->
        has[written] = BIT(leader);
        termOf[written] = term;
        sentBy[written] = s;
        written++
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { isLeading && written > 0 ->
      select(s : 0 .. LAST);
      if
      :: s != leader && IN(RECEIVING, s) ->
        has[0] = (IN(has[0], leader) -> has[0] | BIT(s) : has[0] & ~BIT(s));
        has[1] = (IN(has[1], leader) -> has[1] | BIT(s) : has[1] & ~BIT(s))
      :: else -> skip
      fi;
      s = 0 }
  :: IS_REPLICATED(0) -> underWay = underWay | 1
  :: IS_REPLICATED(1) -> underWay = underWay | 2
  /* The acknowledgement arrives at the daemon, which answers its caller. */
  :: atomic { underWay & ~acknowledged ->
      if
      :: s = 0
      :: s = 1
      fi;
      if
      :: IN(underWay & ~acknowledged, s) && !isHolding[sentBy[s]] ->
        acknowledged = acknowledged | BIT(s);
        assert(IN(has[s], leader))
      :: else -> skip
      fi;
      s = 0 }
  /* News of the store, or a message of the decider. */
  :: atomic { true ->
      select(s : 0 .. DAEMONS - 1);
      if
      :: HOLDS(s) && knownFence[s] < lastFence && IS_HOLD_DUE -> knownFence[s] = lastFence; hold(s)
      :: HOLDS(s) && isHolding[s] && !IS_HOLD_DUE -> knownFence[s] = lastFence; isHolding[s] = 0
      :: isHolding[s] && closed >= knownFence[s] -> isHolding[s] = 0; knownFence[s] = closed
      :: else -> skip
      fi;
      s = 0 }
  /* The platform carries a call out. */
  :: atomic { select(c : 0 .. SLOTS - 1);
      if
      :: callState[c] == Sent && FENCE_OF(c) >= acceptedFence ->
        acceptedFence = FENCE_OF(c);
        isAccepted = isAccepted | (claimant == c / 2 -> BIT(c) : 0);
        callState[c] = (callTarget[c] == leader && isLeading -> Over : Effective)
      :: callState[c] == Sent && FENCE_OF(c) < acceptedFence -> callState[c] = Over
      :: callState[c] == Effective -> callState[c] = Over; lead(callTarget[c])
      :: else -> skip
      fi;
      if
      :: callState[c] == Over -> callTarget[c] = 0
      :: else -> skip
      fi;
      c = 0 }
  :: atomic { lateStepDownTerm > term && isLeading -> isLeading = 0; lateStepDownTerm = 0 }
#ifdef PAUSES
  /* A RESUME, and a restart, which ends a pause. */
  :: atomic { lateResumes ->
      select(s : 0 .. LAST);
      if
      :: IN(lateResumes, s) -> lateResumes = lateResumes & ~BIT(s); paused = paused & ~BIT(s)
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { restarts > 0 && paused ->
      select(s : 0 .. LAST);
      if
      :: IN(paused, s) -> paused = paused & ~BIT(s); restarts--
      :: else -> skip
      fi;
      s = 0 }
#endif
#ifdef JOINS
  :: atomic { listed != 15 -> listed = 15 }
#endif
  od
}

/* The decider dies, or finds that its claim has ended. */
inline mayEnd() {
  if
  :: true -> goto gone
  :: true -> skip
  fi
}

inline resume() {
#ifdef PAUSES
  lateResumes = lateResumes | listed
#else
  skip
#endif
}

inline awaitHold() {
#ifdef CALL_BEFORE_HOLD
  skip
#else
  ALL_HOLD
#endif
}

proctype decider(byte self) {
  byte fence, believed, pauseTerm, s, chosen = NOBODY, compared, position, required, answered;
  bool isRecovery, mustWait, hasUnanswered;
  atomic { claimant == NOBODY && lastFence == self ->
    claimant = self; lastFence++; fence = lastFence; isRecovery = isOpen; mustWait = isOpen; isOpen = 1;
#ifdef MARK_UNANSWERED
    mustWait = mustWait || isMarked;
#endif

    if
    :: pauseTerm = term + 1; believed = leader
    :: term > 1 -> pauseTerm = term; believed = formerLeader
    fi };
  mayEnd();
#ifdef RESUME_BEFORE_VOID
  if
  :: isRecovery -> resume(); closed = fence
  :: else -> skip
  fi;
#endif
  /* A recovery names the primary that answers. */
  if
  :: atomic { isRecovery && isLeading -> chosen = leader; goto call }
  :: true -> skip
  fi;

#ifdef STEP_DOWN_AFTER_HOLD
  awaitHold();
#endif
  if
  :: atomic { !isRecovery && believed == leader && isLeading && pauseTerm > term ->
      isLeading = 0; required = LOG(leader) }
    mayEnd();
    atomic {
      if
      :: s = 0
      :: s = 1
      :: s = 2
      fi;
      if
      :: s != believed && (required & ~LOG(s)) == 0 -> chosen = s
      :: else -> chosen = believed
      fi;
      s = 0; required = 0 }
    goto call
  :: atomic { !isRecovery -> lateStepDownTerm = pauseTerm }
  :: true -> skip
  fi;

#ifndef COMPARE_BEFORE_HOLD
  awaitHold();
#endif
  do
  :: s <= LAST ->
    atomic {
      if
      :: s != believed && IN(listed, s) ->
        if
        :: s == leader && isLeading -> goto failed
        :: else -> skip
        fi;
#ifdef PAUSES
        if
        :: term >= pauseTerm -> goto failed
        :: else -> paused = paused | BIT(s)
        fi;
#endif
        compared = compared | BIT(s);
        if
        :: chosen == NOBODY || POSITION(s) >= position -> chosen = s; position = POSITION(s)
        :: chosen != NOBODY && POSITION(s) <= position -> skip
        fi
      :: true -> skip
      fi;
      s++ }
  :: else -> break
  od;
#ifdef COMPARE_BEFORE_HOLD
  awaitHold();
#endif
  atomic {
    s = 0; position = 0;
    if
    :: COUNT(compared) + 1 < COUNT(listed) -> goto failed
    :: else -> skip
    fi };

call:
  atomic {
    callState[2 * self] = Sent; callTarget[2 * self] = chosen;
    compared = 0; pauseTerm = 0;
#ifndef TWO_UNDER_ONE_FENCE
    believed = 0; isRecovery = 0
#endif
  };
  mayEnd();
  if
  :: IN(isAccepted, 2 * self) -> answered = 2 * self; goto confirm
  :: true -> skip
  fi;
  /* No answer. */
  hasUnanswered = 1;
#ifdef NO_REPETITION
  goto gone;
#endif
#ifdef CLOSE_AFTER_UNANSWERED
  if
  :: true -> goto finish
  :: true -> skip
  fi;
#endif
  atomic {
#ifdef TWO_UNDER_ONE_FENCE
    if
    :: !isRecovery -> chosen = believed
    :: true -> skip
    fi;
#endif
    callState[2 * self + 1] = Sent; callTarget[2 * self + 1] = chosen };
  if
  :: IN(isAccepted, 2 * self + 1) -> answered = 2 * self + 1
  :: true -> goto gone
  fi;

confirm:
  if
#ifndef END_BEFORE_EFFECT
  :: leader == chosen && isLeading && (!mustWait || HAS_EFFECT_TIME_PASSED) -> skip
#else
  :: leader == chosen && isLeading -> skip
#endif
  :: true -> goto gone
  fi;
#if !defined(RESOLVE_BY_REPEAT) && !defined(MARK_UNANSWERED)
  if
  :: hasUnanswered -> goto gone
  :: else -> skip
  fi;
#endif
  goto finish;

failed:
  /* Nothing was called: a mark stays. */
  hasUnanswered = mustWait;
  if
  :: isRecovery -> goto gone
  :: else -> skip
  fi;
finish:
  atomic { resume(); closed = fence };
  /* It dies, writes the record, or writes it after its claim has ended. */
  if
  :: true -> goto gone
  :: true -> skip
  :: claimant = NOBODY
  fi;
  atomic {
    if
#ifdef DONE_OVER_LATER_CLAIM
    :: true -> isOpen = 0
#else
    :: lastFence == fence -> isOpen = 0;
#ifdef MARK_UNANSWERED
      isMarked = hasUnanswered
#endif
    :: else -> skip
#endif
    fi };
gone:
  atomic {
    if
    :: claimant == self -> claimant = NOBODY; isAccepted = 0
    :: else -> skip
    fi };
  /* Fewer states. */
  chosen = NOBODY; fence = 0; pauseTerm = 0; believed = 0; compared = 0; required = 0; s = 0; position = 0;
  isRecovery = 0; mustWait = 0; hasUnanswered = 0; answered = 0
}

init {
  atomic {
    run world();
    run decider(0);
    run decider(1)
#if DECIDERS == 3
    ; run decider(2)
#endif
  }
}
