/*
 * Promotion through the platform's fenced call; docs/MODEL.md maps it to the code.
 *
 * Three servers with one synchronous replica, two deciders that take the claim one after the other, a platform that
 * carries calls out at any later time. Servers crash and return with their log, which ends a pause; a decider may suspect
 * a primary that lives, know an old term, not know a replica, die at any step, or lose its claim. Asserted at each
 * promotion: the log of the promoted server holds every acknowledged commit.
 *
 * A decider that reaches the primary, itself or through another owner, makes it step down. Otherwise no owner reaches it,
 * so that nothing it acknowledges arrives at a caller (isCut).
 *
 * Orders to servers arrive at once or never; late ones are not modelled, nor is the time from the acceptance of a call to
 * its effect.
 *
 * -D macros: UNREACHED models only changes of a primary that no owner reaches; with it, calls of an unfinished change are
 * carried out at any time. RETURNS lets such a primary be reached again before the promotion. KEEP_PAUSES lets pauses
 * survive restarts. RETURNS without KEEP_PAUSES, and LATE_CALLS (a call of an unfinished change is carried out after the
 * recovery has begun) are known holes: see KNOWN-RED.txt. The others break one mechanism each: NO_STEP_DOWN,
 * IGNORE_LAST_ENTRIES, ONE_ANSWER, PICK_ANY, PAUSE_IN_OLD_TERM, RESUME_BEFORE_FENCE, RESUME_AFTER_FAILED_RECOVERY, NO_FENCE.
 */

#ifndef WRITES
#define WRITES 2
#endif
#define CALLS 3
#define NOBODY 3

/* A log is the set of the writes in it, in the order of their numbers. */
byte holds[3];
byte termOf[WRITES];
bool up[3] = 1;
byte pausedIn[3];
byte leader = 0;
/* The leader has stepped down and nobody leads. */
bool isSteppedDown;
/* No owner reaches the leader. */
bool isCut;
byte formerLeader = 0;
byte term = 1;
byte acknowledged;
byte written;
#ifndef CRASHES
#define CRASHES 2
#endif
byte crashes = CRASHES;

byte claimant = NOBODY;
byte lastFence;
bool isOpen;

bool isCalled[CALLS];
byte callTarget[CALLS];
byte callFence[CALLS];
byte seenFence;

#define LAST_TERM(s) ((holds[s] & 2) -> termOf[1] : ((holds[s] & 1) -> termOf[0] : 0))
#define LENGTH(s) ((holds[s] & 1) + ((holds[s] >> 1) & 1))
#define IS_AHEAD(a, b) (LAST_TERM(a) > LAST_TERM(b) || (LAST_TERM(a) == LAST_TERM(b) && LENGTH(a) > LENGTH(b)))

#ifdef IGNORE_LAST_ENTRIES
#define HAS_LAST_ENTRIES(s) 1
#else
#define HAS_LAST_ENTRIES(s) ((holds[leader] & ~holds[s]) == 0)
#endif

/* A promotion rolls the others back to what they have in common with the new leader. */
inline rollBack(server) {
  if
  :: (holds[server] & 1) != (holds[leader] & 1) -> holds[server] = 0
  :: (holds[server] & 1) == (holds[leader] & 1) && (holds[server] & 2) != (holds[leader] & 2) ->
    holds[server] = holds[server] & 1
  :: else -> skip
  fi
}

/* Writes, replication, acknowledgements, crashes, and the platform's late execution of calls. */
proctype world() {
  byte s, c;
end:
  do
  :: atomic { written < WRITES && up[leader] && !isSteppedDown ->
      holds[leader] = holds[leader] | (1 << written);
      termOf[written] = term;
      written++ }
#ifdef RETURNS
  :: atomic { isCut -> isCut = 0 }
#endif
  :: atomic { up[leader] && !isSteppedDown ->
      select(s : 0 .. 2);
      if
      :: s != leader && up[s] && pausedIn[s] == 0 ->
        holds[s] = holds[leader]
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { up[leader] && !isSteppedDown && !isCut ->
      select(s : 0 .. 2);
      if
      :: s != leader && up[s] -> acknowledged = acknowledged | (holds[leader] & holds[s])
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { crashes > 0 ->
      select(s : 0 .. 2);
      if
      :: up[s] -> up[s] = 0; crashes--
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { !up[0] || !up[1] || !up[2] ->
      select(s : 0 .. 2);
      if
      :: !up[s] -> up[s] = 1;
#ifndef KEEP_PAUSES
        pausedIn[s] = 0
#endif
      :: else -> skip
      fi;
      s = 0 }
  :: atomic { isCalled[0] || isCalled[1] || isCalled[2] ->
      select(c : 0 .. 2);
      if
      :: isCalled[c] ->
        isCalled[c] = 0;
        if
#ifdef NO_FENCE
        :: up[callTarget[c]] ->
#else
        :: callFence[c] >= seenFence && up[callTarget[c]] ->
#endif
          seenFence = callFence[c];
          if
          :: callTarget[c] != leader || isSteppedDown ->
            assert((acknowledged & ~holds[callTarget[c]]) == 0);
            formerLeader = leader;
            leader = callTarget[c];
            term++;
            isSteppedDown = 0;
            isCut = 0;
            pausedIn[leader] = 0;
            rollBack(0);
            rollBack(1);
            rollBack(2)
          :: else -> skip
          fi
        :: else -> skip
        fi
      :: else -> skip
      fi;
      c = 0 }
  od
}

inline mayEnd() {
  if
  :: true -> goto gone
  :: claimant != self -> goto gone
  :: claimant == self -> skip
  fi
}

proctype decider(byte self) {
  byte fence, believed, pauseTerm, s, answers, chosen, known, unknown;
  bool isRecovery;
  bool answered[3];
  /* PromotionDriver::begin: the record is read before the claim is taken. */
  atomic { claimant == NOBODY ->
    claimant = self; lastFence++; fence = lastFence; isRecovery = isOpen; isOpen = 1;
#if !defined(LATE_CALLS) && !defined(UNREACHED)
    isCalled[0] = 0; isCalled[1] = 0; isCalled[2] = 0;
#endif
    /* What this daemon knows of the group may be old. */
    if
    :: known = term; believed = leader
    :: term > 1 -> known = term - 1; believed = formerLeader
    fi };
  pauseTerm = known + 1;
  mayEnd();
  /* A recovery asks the endpoints: one that has stepped down is paused like the others. */
  if
  :: atomic { isRecovery && isSteppedDown && up[leader] -> believed = NOBODY }
  :: !isRecovery || !isSteppedDown || !up[leader] -> skip
  fi;
  if
  :: isRecovery && up[leader] && !isSteppedDown ->
    chosen = leader;
#ifdef RESUME_BEFORE_FENCE
    goto resume
#else
    goto call
#endif
  :: true -> skip
  fi;

#if !defined(NO_STEP_DOWN) && !defined(UNREACHED)
  /* GroupPromotion::beginStepDown and awaitLastEntries. */
  chosen = NOBODY;
  if
  :: atomic { up[leader] && believed == leader && !isSteppedDown && fence >= seenFence ->
      /* GroupPromotion::probePlatform: after an unfinished change, older calls are void before the step. */
      seenFence = (isRecovery -> fence : seenFence);
      isSteppedDown = 1;
      /* A replica that joined late or whose entry is missing is not asked. */
      select(unknown : 0 .. 3);
      s = 0;
      do
      :: s < 3 ->
        if
        :: s != leader && s != unknown && up[s] && HAS_LAST_ENTRIES(s) -> chosen = s
        :: true -> skip
        fi;
        s++
      :: else -> break
      od;
      s = 0;
      /* GroupPromotion::returnToOldPrimary. */
      if
      :: chosen == NOBODY -> chosen = leader
      :: else -> skip
      fi }
    mayEnd();
    goto call
  :: atomic { !isSteppedDown -> isCut = 1 }
  :: isSteppedDown -> skip
  fi;
#endif

  /* GroupPromotion::beginFencing and tryChooseReplica. */
  s = 0; answers = 0; chosen = NOBODY;
  do
  :: s < 3 ->
    atomic {
      if
      :: s != believed && up[s] ->
        if
        :: pauseTerm > term && s != leader -> pausedIn[s] = pauseTerm
        :: else -> skip
        fi;
#ifndef PAUSE_IN_OLD_TERM
        if
        :: term >= pauseTerm -> goto failed
        :: else -> skip
        fi;
#endif
        if
        :: s == leader -> goto failed
        :: else -> skip
        fi;
        answered[s] = 1;
        answers++
      :: true -> skip
      fi;
      s++
    }
  :: else -> break
  od;
  mayEnd();
#ifdef ONE_ANSWER
  if
  :: answers < 1 -> goto failed
  :: else -> skip
  fi;
#else
  if
  :: answers < 2 -> goto failed
  :: else -> skip
  fi;
#endif
  atomic {
    s = 0;
    do
    :: s < 3 ->
      if
#ifdef PICK_ANY
      :: answered[s] -> chosen = s
#else
      :: answered[s] && (chosen == NOBODY || IS_AHEAD(s, chosen)) -> chosen = s
#endif
      :: else -> skip
      fi;
      s++
    :: else -> break
    od;
    s = 0
  };

call:
  /* PromotionDriver::promote: only while the claim is held. */
  atomic {
    if
    :: claimant == self ->
      if
      :: !isCalled[self] -> isCalled[self] = 1; callTarget[self] = chosen; callFence[self] = fence
      :: else -> skip
      fi
    :: else -> goto gone
    fi };
  mayEnd();
  /* Confirmed: the call was carried out under this fence and the chosen one leads. */
  if
  :: atomic { seenFence == fence && leader == chosen -> skip }
  :: true -> goto gone
  fi;
#ifdef RESUME_BEFORE_FENCE
resume:
#endif
  mayEnd();
  atomic { claimant == self -> pausedIn[0] = 0; pausedIn[1] = 0; pausedIn[2] = 0; isOpen = 0; claimant = NOBODY };
  goto over;

failed:
  /*
   * GroupPromotion::fail: nothing was called, so that what was paused can be resumed; not after an unfinished change,
   * whose call may still come.
   */
  atomic {
    if
    :: claimant == self ->
#ifndef RESUME_AFTER_FAILED_RECOVERY
      if
      :: isRecovery -> goto gone
      :: else -> skip
      fi;
#endif
      s = 0;
      do
      :: s < 3 ->
        if
        :: answered[s] -> pausedIn[s] = 0
        :: else -> skip
        fi;
        s++
      :: else -> break
      od;
      isOpen = 0;
      claimant = NOBODY
    :: else -> skip
    fi };
  goto over;

gone:
  /* Died, or lost its claim: the record stays open and the lease ends. */
  atomic {
    if
    :: claimant == self -> claimant = NOBODY
    :: else -> skip
    fi };
over:
  skip
}

init {
  atomic {
    run world();
    run decider(0);
    run decider(1)
#ifdef THREE_DECIDERS
    ; run decider(2)
#endif
  }
}
