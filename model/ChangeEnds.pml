/*
 * A change of primary ends when faults end; docs/MODEL.md maps it to the code.
 *
 * Server 0, the old primary, is dead. Two deciders compete; a bounded number of messages is lost, of attempts overlap
 * (distinct back-off delays keep later ones apart), and of deciders die half way. When nothing can happen any more, a
 * new primary must lead and the other server must follow it.
 *
 * -D macros break one mechanism each: NO_TAKEOVER, FOLLOW_ONCE, STOP_WATCHING.
 */

byte promised[3] = 1;
byte proposer[3];
bool leads[3];
byte follows[3] = 1;
byte losses = 2;
byte overlaps = 1;
byte crashes = 1;
bool active_[2];

#define IS_DONE ((leads[1] && follows[2] == promised[1] && promised[2] == promised[1]) || \
  (leads[2] && follows[1] == promised[2] && promised[1] == promised[2]))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* A message that arrives, or is lost while the budget lasts. */
inline transmit(ok) {
  if
  :: ok = 1
  :: losses > 0 -> losses--; ok = 0
  fi
}

inline mayDie() {
  atomic {
    if
    :: crashes > 0 -> crashes--; goto dead
    :: true -> skip
    fi
  }
}

proctype decider(byte self) {
  byte term = 1, s, primary, count;
  bool ok, refused;
endbegin:
  do
#ifdef STOP_WATCHING
  :: atomic { IS_DONE -> goto over }
#endif
  :: atomic { !IS_DONE && (!active_[1 - self] || overlaps > 0) ->
      if
      :: active_[1 - self] -> overlaps--
      :: else -> skip
      fi;
      active_[self] = 1 };
    mayDie();
    /* ServerMonitor: probes; a leading server of the newest term is adopted instead of proposing. */
    atomic {
      primary = 0;
      if
      :: leads[1] && promised[1] >= promised[2] -> primary = 1
      :: leads[2] && promised[2] >= promised[1] -> primary = 2
      :: else -> skip
      fi
    };
    if
    :: primary != 0 -> term = promised[primary]; goto tellFollowers
    :: else -> skip
    fi;
#ifdef NO_TAKEOVER
    if
    :: promised[1] > 1 && proposer[1] != self + 1 -> active_[self] = 0; goto over
    :: else -> skip
    fi;
#endif
    atomic { term = MAX(term, MAX(promised[1], promised[2])) + 1 };
    /* PrimaryChange: the majority of three is both live servers. */
    s = 1; count = 0; refused = 0;
    do
    :: s <= 2 ->
      atomic {
        transmit(ok);
        if
        :: ok && (term > promised[s] || (term == promised[s] && proposer[s] == self + 1)) ->
          if
          :: term > promised[s] -> promised[s] = term; proposer[s] = self + 1; leads[s] = 0; follows[s] = 0
          :: else -> skip
          fi;
          transmit(ok);
          if
          :: ok -> count++
          :: else -> skip
          fi
        :: else -> skip
        fi;
        s++
      };
      mayDie()
    :: else -> break
    od;
    if
    :: count < 2 -> active_[self] = 0; goto endbegin
    :: else -> skip
    fi;
    atomic {
      if
      :: primary = 1
      :: primary = 2
      fi;
      transmit(ok);
      if
      :: ok && promised[primary] == term -> leads[primary] = 1; transmit(ok)
      :: else -> ok = 0
      fi
    };
    mayDie();
    if
    :: !ok -> active_[self] = 0; goto endbegin
    :: else -> skip
    fi;
tellFollowers:
    s = 3 - primary;
    do
    :: atomic { promised[s] > term || promised[primary] != term || follows[s] == term -> break }
    :: atomic { promised[s] <= term && promised[primary] == term && follows[s] != term ->
        transmit(ok);
        if
        :: ok -> promised[s] = term; follows[s] = term; leads[s] = 0; proposer[s] = 0
        :: else -> skip
        fi };
#ifdef FOLLOW_ONCE
      active_[self] = 0; goto over
#endif
    od;
    active_[self] = 0
  od;
dead:
  active_[self] = 0;
over:
  skip
}

active proctype monitor() {
  atomic { run decider(0); run decider(1) };
end:
  do
  :: timeout -> assert(IS_DONE); break
  od
}
