/*
 * One coordinator's share of a customer's limit with operations granted ahead; docs/MODEL.md maps it to the code.
 *
 * Time runs in steps, of which four make a window (the present step and the three before). One coordinator that may
 * restart, one daemon that asks and another that is cut off with what it holds, both of which may be suspended for any
 * time, requests that may be lost or late, answers that may be lost. An operation granted for a waiting caller is used in the same step (grantLifetime is 0). Asserted whenever an operation is used: no window
 * contains more than the share.
 *
 * The bucket holds at most 1 and earns 1 a step, so a window contains at most 4 operations that it grants; the
 * share is 4, and daemons hold at most 2, which a restarted coordinator earns nothing for.
 *
 * -D macros break one mechanism each: NO_DEBT (a restarted coordinator does not start in debt), AHEAD_AT_ONCE (it grants
 * ahead before the grants of its predecessor have lapsed), NO_LAPSE (a daemon that was suspended uses what has lapsed),
 * FORGET_USED (what a daemon reports as used is no longer counted), NO_LOG (the log of grants is not consulted),
 * FORGET_PREDECESSOR (it does not count those grants), IGNORE_USED (a daemon does not subtract what it used while an answer was under way), UNORDERED (a report that was overtaken is applied).
 */

#define SHARE 4
#define WINDOW 4
#define CAPACITY 1
#define HELD_LIMIT 2
#define DEBT 2
#define LIFETIME 3
#ifndef MESSAGES
#define MESSAGES 3
#endif
#ifndef STEPS
#define STEPS 7
#endif

byte step;
/* Operations used in the present step and the ones before. */
byte used[WINDOW];
byte restarts = 1;

/* Coordinator. */
short level = CAPACITY;
byte aheadFrom;
/* What a predecessor may have let daemons hold, counted until a window after its lifetime. */
byte assumed;
byte logged[WINDOW];
byte held;
byte heldUntil;
byte lastNumber;

/* A daemon that is cut off, and what the coordinator knows of it. */
byte cutStock;
byte cutUntil;
byte cutHeld;
byte cutHeldUntil;

/* The daemon that asks. */
byte stock;
byte stockUntil;
byte number;
/* An answer under way: the total that may be held, or nothing. */
byte answer;
byte sentAt;
byte stated;
bool isAsked;
/* A request that was delayed and may arrive after later ones. */
bool isLate;
byte lateStated;
byte lateNumber;

#define USED (used[0] + used[1] + used[2] + used[3])
#define COUNTED (logged[0] + logged[1] + logged[2] + logged[3] + held + cutHeld + assumed)
#ifdef NO_LOG
#define HAS_ROOM 1
#else
#define HAS_ROOM (COUNTED < SHARE)
#endif

inline use() {
  used[0]++;
  assert(USED <= SHARE)
}

/* QuotaWindow::settle. */
inline settle(remaining) {
  if
  :: held > remaining ->
#ifndef FORGET_USED
    logged[0] = logged[0] + held - remaining;
#endif
    held = remaining
  :: else -> skip
  fi
}

active proctype world() {
end:
  do
  /* A step passes; QuotaWindow::advance for what has lapsed. */
  :: atomic { step < STEPS ->
      step++;
      used[3] = used[2]; used[2] = used[1]; used[1] = used[0]; used[0] = 0;
      logged[3] = logged[2]; logged[2] = logged[1]; logged[1] = logged[0]; logged[0] = 0;
      level = (level < CAPACITY -> level + 1 : CAPACITY);
      assumed = (step < aheadFrom + WINDOW -> assumed : 0);
      if
      :: held > 0 && step >= heldUntil -> logged[0] = logged[0] + held; held = 0
      :: else -> skip
      fi;
      if
      :: cutHeld > 0 && step >= cutHeldUntil -> logged[0] = logged[0] + cutHeld; cutHeld = 0
      :: else -> skip
      fi }
  /* The daemon is cut off; another one asks from now on. */
  :: atomic { stock > 0 && !isAsked && cutStock == 0 && cutHeld == 0 ->
      cutStock = stock; cutUntil = stockUntil; cutHeld = held; cutHeldUntil = heldUntil;
      stock = 0; stockUntil = 0; held = 0; heldUntil = 0;
      isLate = 0; lateStated = 0; lateNumber = 0 }
  /* QuotaCoordinator::makeShare in a new process. */
  :: atomic { restarts > 0 ->
      restarts--;
#ifdef NO_DEBT
      level = 0;
#else
      level = -DEBT;
#endif
#ifdef AHEAD_AT_ONCE
      aheadFrom = 0;
#else
      aheadFrom = step + LIFETIME;
#endif
#ifndef FORGET_PREDECESSOR
      assumed = HELD_LIMIT;
#endif
      held = 0; heldUntil = 0; lastNumber = 0; cutHeld = 0; cutHeldUntil = 0;
      logged[0] = 0; logged[1] = 0; logged[2] = 0; logged[3] = 0 }
  /* QuotaCoordinator::grant: a caller waits for it. */
  :: atomic { level >= 1 && HAS_ROOM ->
      level--;
      logged[0]++;
      use() }
  /* QuotaClient::takeHeld. */
#ifdef NO_LAPSE
  :: atomic { stock > 0 ->
#else
  :: atomic { stock > 0 && step < stockUntil ->
#endif
      stock--;
      use() }
#ifdef NO_LAPSE
  :: atomic { cutStock > 0 ->
#else
  :: atomic { cutStock > 0 && step < cutUntil ->
#endif
      cutStock--;
      use() }
  /* QuotaClient::askAhead: the request arrives at once, late, or never. */
  :: atomic { !isAsked && number < MESSAGES ->
      number++;
      sentAt = step;
      stated = (step < stockUntil -> stock : 0);
      isAsked = 1;
      answer = 0;
      if
      :: true -> skip
      :: !isLate -> isLate = 1; lateStated = stated; lateNumber = number
      :: true ->
        lastNumber = number;
        settle(stated);
        if
        :: step >= aheadFrom && HAS_ROOM && held + cutHeld < HELD_LIMIT && level >= 1 ->
          level--;
          held++;
          heldUntil = step + LIFETIME;
          answer = held
        :: step >= aheadFrom && held > 0 -> heldUntil = step + LIFETIME; answer = held
        :: true -> skip
        fi
      fi }
  /* A delayed request arrives; nobody waits for its answer any more. */
  :: atomic { isLate ->
      if
#ifdef UNORDERED
      :: true -> settle(lateStated)
#else
      :: lateNumber > lastNumber -> lastNumber = lateNumber; settle(lateStated)
      :: else -> skip
#endif
      fi;
      isLate = 0; lateStated = 0; lateNumber = 0 }
  /* QuotaClient::applyAhead: what was used since the request is part of the total. */
  :: atomic { isAsked && answer > 0 ->
      stated = (stated > stock -> stated - stock : 0);
#ifdef IGNORE_USED
      stock = answer;
#else
      stock = (answer > stated -> answer - stated : 0);
#endif
      stockUntil = sentAt + LIFETIME;
      answer = 0; isAsked = 0; stated = 0; sentAt = 0 }
  /* The answer is lost or too late. */
  :: atomic { isAsked -> answer = 0; isAsked = 0; stated = 0; sentAt = 0 }
  od
}
