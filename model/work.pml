/* One shard, its owners, two workers and one task that must never run in two
 * places at once. Instances pause, lose their lease and come back; messages are
 * lost, delayed and reordered; the reply to a write may be lost.
 *
 * Each macro below removes one guard of the protocol; the checker must then
 * find a violation. docs/design/model.md maps every step to its function. */

#define OWNERS 2
#define WORKERS 2
#define NONE 9

#ifndef MAXEPOCH
#define MAXEPOCH 2
#endif
#ifndef MAXATTEMPT
#define MAXATTEMPT 2
#endif
#ifndef MAXSEQ
#define MAXSEQ 5
#endif
#ifndef MAXLATE
#define MAXLATE 1
#endif
#ifndef MAXLAPSES
#define MAXLAPSES 1
#endif
#ifndef MAXPERIOD
#define MAXPERIOD 1
#endif

mtype = { waiting, starting, finished };

/* The store: the shard's row, and the task as the journal tells it. */
byte rowEpoch = 0;
byte rowOwner = NONE;
mtype recPhase = waiting;
byte recWorker = 0;
byte recAttempt = 0;

/* Leases. lease[o]: the member row shows o as alive. grant[o]: o's own clock
 * still lets it act; it ends no later than the time that others wait. */
bool lease[OWNERS];
bool grant[OWNERS];
bool holds[OWNERS];
bool verified[OWNERS];

/* Workers. The period stands for the age of a stamp: it moves on when a lease
 * given on an older stamp can hold no longer. */
byte seenEpoch[WORKERS];
byte seenSeq[WORKERS];
byte period[WORKERS];
byte running[WORKERS];
byte done[WORKERS];
byte everStarted = 0;
bool finishRecorded = false;

/* Newest stamp that each owner used towards each worker, plus one. */
byte sent[4];
#define SENT(o, w) sent[(o) * WORKERS + (w)]

chan net = [2] of { byte, byte, byte, byte, byte };
byte late = 0;

#define OTHER(o) (1 - (o))

/* The guards. */
#ifdef NO_SEQUENCE
#define NEWER(s, w) true
#else
#define NEWER(s, w) ((s) > seenSeq[w])
#endif
#ifdef NO_WORKER_EPOCH
#define OBEYS(e, s, w) true
#else
#define OBEYS(e, s, w) ((e) > seenEpoch[w] || ((e) == seenEpoch[w] && NEWER(s, w)))
#endif
#ifdef NO_STAMP
#define FRESH(p, w) true
#else
#define FRESH(p, w) ((p) == period[w])
#endif
#ifdef NO_FENCE
#define FENCED_WRITE(e) true
#else
#define FENCED_WRITE(e) (rowEpoch == (e))
#endif
#ifdef NO_WAIT
#define WAITED(o, w) true
#else
#define WAITED(o, w) (SENT(0, w) <= period[w] && SENT(1, w) <= period[w] && !(holds[OTHER(o)] && grant[OTHER(o)] && verified[OTHER(o)]))
#endif

inline begin_task(w, attempt) {
  /* never_two_at_once */
  assert(running[1 - w] == 0);
  /* resume_exactly_once: no attempt starts twice, none after the finish */
  assert(attempt > everStarted);
  assert(!finishRecorded);
  everStarted = attempt;
  running[w] = attempt;
}

/* The worker obeys one exchange: WorkerModel::Sync. */
inline obey(w, e, s, p, a) {
  if
  :: OBEYS(e, s, w) ->
       seenEpoch[w] = e;
       seenSeq[w] = s;
       if
       :: a > 0 && FRESH(p, w) && running[w] != a && done[w] != a -> begin_task(w, a)
       :: else -> skip
       fi
  :: else -> skip
  fi
}

proctype Worker(byte w) {
  byte e, s, p, a;
end:
  do
  /* A message that was late; its reply reaches nobody any more. */
  :: atomic { net??eval(w), e, s, p, a -> obey(w, e, s, p, a) }
  :: atomic { running[w] > 0 -> done[w] = running[w]; running[w] = 0 }
  /* Time passes: a lease on an older stamp has lapsed, and with it the task. */
  :: atomic { period[w] < MAXPERIOD -> period[w]++; running[w] = 0 }
  od
}

proctype Owner(byte me) {
  byte epoch = 0, seq = 0, lapses = 0;
  mtype phase = waiting;
  byte worker = 0, attempt = 0;
  byte known[WORKERS];   /* stamp plus one; 0 means that there is none */
  bool unsent = false;   /* the start was recorded by this owner, not sent yet */
  byte w, p, a;
  byte pending = 0;      /* worker plus one of a start that is not recorded yet */
  bool applied;
end:
  do
  /* Membership: the lease lapses, later the right to act; it may come back. */
  :: atomic { lease[me] && lapses < MAXLAPSES -> lease[me] = false; lapses++ }
  :: atomic { !lease[me] && grant[me] -> grant[me] = false }
  :: atomic { !lease[me] ->
       lease[me] = true; grant[me] = true;
#ifdef NO_VERIFY
       verified[me] = true
#else
       verified[me] = false
#endif
     }
  :: atomic { holds[me] && !verified[me] && lease[me] ->
       if
       :: rowEpoch == epoch -> verified[me] = true
       :: else -> holds[me] = false
       fi }

  /* ShardStore::TakeOver and Load */
  :: atomic { !holds[me] && lease[me] && rowEpoch < MAXEPOCH &&
              (rowOwner == NONE || rowOwner == me || !lease[rowOwner]) ->
       rowEpoch++; rowOwner = me; epoch = rowEpoch; seq = 0;
       holds[me] = true; verified[me] = true; unsent = false; pending = 0;
       phase = recPhase; worker = recWorker; attempt = recAttempt;
       known[0] = 0; known[1] = 0 }

  /* ShardStore::Release */
  :: atomic { holds[me] && rowEpoch == epoch -> rowOwner = NONE; holds[me] = false }

  /* Shard::PlaceTask decides; the write may leave much later. */
  :: atomic { holds[me] && lease[me] && verified[me] && phase == waiting &&
              pending == 0 && attempt < MAXATTEMPT ->
       if
       :: known[0] > 0 -> pending = 1
       :: known[1] > 0 -> pending = 2
       fi }
  /* Ledger::NextEntry and ShardStore::Append */
  :: atomic { holds[me] && pending > 0 ->
       w = pending - 1; pending = 0; applied = false;
       if
       :: FENCED_WRITE(epoch) ->
            recPhase = starting; recWorker = w; recAttempt = attempt + 1;
            applied = true
#ifdef NO_READ_BACK
       /* the write was lost, but is taken for done */
       :: rowEpoch == epoch -> applied = true
#endif
       :: rowEpoch != epoch -> skip /* fenced */
       fi;
       if
       :: applied -> phase = starting; worker = w; attempt = attempt + 1; unsent = true
       :: else -> holds[me] = false
       fi }

  /* Shard::NextSyncRequest; what is sent is fixed here. It arrives at once, and the
   * reply too, or it arrives late, or never. */
  :: atomic { holds[me] && grant[me] && verified[me] && seq < MAXSEQ ->
       if :: w = 0 :: w = 1 fi;
       seq++;
       a = 0;
       if
       :: known[w] > 0 && phase == starting && worker == w && lease[me] ->
            a = attempt; unsent = false
       :: else -> skip
       fi;
       if
       :: known[w] > SENT(me, w) -> SENT(me, w) = known[w]
       :: else -> skip
       fi;
       p = (known[w] > 0 -> known[w] - 1 : 99);
       if
       :: nfull(net) && late < MAXLATE -> late++; net!w, epoch, seq, p, a
       :: obey(w, epoch, seq, p, a);
          /* Shard::OnWorkerReport, if the worker obeyed and the reply came through */
          if
          :: seenEpoch[w] == epoch && seenSeq[w] == seq ->
               known[w] = period[w] + 1;
               if
               :: phase == starting && worker == w && done[w] == attempt &&
                  rowEpoch == epoch ->
                    /* finish_recorded_once */
                    assert(!finishRecorded);
                    recPhase = finished; phase = finished; finishRecorded = true
               :: phase == starting && worker == w && done[w] != attempt &&
                  running[w] != attempt && !unsent && rowEpoch == epoch ->
                    recPhase = waiting; phase = waiting
               :: else -> skip
               fi
          :: true -> skip
          fi
       fi }

  /* Shard::HandleLapsedWorkers: the worker is silent, and no lease that anyone
   * may have given it can hold any more. */
  :: atomic { holds[me] && lease[me] && verified[me] && phase == starting &&
              rowEpoch == epoch && WAITED(me, worker) ->
       recPhase = waiting; phase = waiting; known[worker] = 0 }
  od
}

init {
  atomic {
    lease[0] = true; lease[1] = true; grant[0] = true; grant[1] = true;
    run Worker(0); run Worker(1); run Owner(0); run Owner(1)
  }
}
