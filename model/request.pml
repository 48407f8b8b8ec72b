/* A marked request with an idempotency key: a caller that tries again through
 * another entry, entries that claim the key, a store that loses replies, and
 * connections that break at any point. */

#define ENTRIES 2

byte claim = 0;          /* 0 free, else the entry's number plus one */
byte ran = 0;
byte toldNotRun = 0;     /* entries that said "not run" for their attempt */
bool ranFor[ENTRIES];
bool said[ENTRIES];

proctype Entry(byte me) {
  bool mine = false, sent = false;
  /* Claims::Take */
  atomic {
    if
#ifdef NO_CLAIM
    :: true -> mine = true
#else
    :: claim == 0 -> claim = me + 1; mine = true
    :: claim != 0 -> goto held
    :: claim == 0 -> claim = me + 1; /* the reply is lost */
         /* read back */
         if
#ifdef NO_READ_BACK
         :: goto refused
#else
         :: claim == me + 1 -> mine = true
#endif
         fi
    :: claim == 0 -> goto refused /* the store is down */
#endif
    fi
  }
  /* Exchange::Run: connecting may fail, which proves that nothing was sent. */
  if
  :: skip -> sent = true
  :: skip -> /* connect failed */
#ifndef NO_CLAIM
       claim = 0;
#endif
       goto refused
  fi;
  /* the backend server may run it, now or after the connection broke */
  atomic {
    if
    :: ran++; ranFor[me] = true
    :: skip
    fi
  }
#ifdef NOT_RUN_AFTER_SEND
  if
  :: skip -> goto refused
  :: skip
  fi;
#endif
#ifdef RETRY_MARKED
  atomic { if :: ran++ :: skip fi };
#endif
  /* marked_at_most_once */
  assert(ran <= 1);
  goto done;
refused:
  atomic {
    said[me] = true;
    /* not_run_is_true */
    assert(!ranFor[me]);
#ifdef NO_READ_BACK
    assert(claim != me + 1) /* a refused request must not hold the key */
#endif
  };
  goto done;
held:
  skip;
done:
  assert(ran <= 1)
}

init { atomic { run Entry(0); run Entry(1) } }
