/* One task of a job. Its home cell may start it on its own worker or delegate it
 * to a host cell, which starts it on another worker, reports it as done or
 * returns it. Each cell is taken over once at any moment; the owner that was
 * replaced goes on acting as long as nothing stops it, and its start orders may
 * arrive late. The host hears of delegations by a feed of changes.
 *
 * Each macro below removes one guard of the protocol; the checker must then
 * find a violation. docs/design/model.md maps every step to its function. */

#ifndef MAXRUN
#define MAXRUN 3
#endif
#ifndef MAXDELEGATIONS
#define MAXDELEGATIONS 2
#endif
#define EVENTS 6

mtype = { nothing, held, done, returned };

/* The store: rows of the home cell's part, and of the host's. A delegation of
 * number 0 does not exist. */
byte homeEpoch = 0;
byte recordedLast = 0;
byte recordedRun = 0;
bool recordedDone = false;
byte delegation = 0;
byte given[3];
bool recalled = false;
byte delegations = 0;

byte hostEpoch = 0;
byte report = 0;
mtype reportState = nothing;
byte reportLast = 0;
byte reportRun = 0;

/* Changes of the delegation row: its number, and 0 in removed for a write. */
byte changes = 0;
byte changedNumber[EVENTS];
bool changedToNone[EVENTS];

/* The two workers: the newest epoch seen, what runs, and an end that is not
 * acknowledged. */
byte seen[2];
byte running[2];
byte ended[2];
bool doneNoted = false;

#define HOME 0
#define HOST 1

#ifdef NO_OWNER_CONDITION
#define IS_OWNER(epoch) true
#else
#define IS_OWNER(epoch) (epoch == me)
#endif

inline note_change(number, none)
{
  if
  :: changes < EVENTS ->
     changedNumber[changes] = number;
     changedToNone[changes] = none;
     changes++
  :: else -> skip
  fi
}

/* The worker carries a start order out, unless it has seen a newer owner. */
inline start(worker, attempt)
{
  if
  :: me >= seen[worker] ->
     seen[worker] = me;
     assert(running[HOME] == 0 && running[HOST] == 0);
     assert(!doneNoted);
     running[worker] = attempt
  :: else -> skip
  fi
}

proctype Worker(byte w)
{
end:
  do
  :: atomic { running[w] != 0 && ended[w] == 0 ->
       ended[w] = running[w];
       running[w] = 0 }
  od
}

proctype Home(byte me)
{
  byte last, attempt, number;
  bool here, isDone, pending, settled;

  /* Takeover. The home cell's part changes no more but by this owner. */
  atomic {
    homeEpoch == me - 1 -> homeEpoch = me;
    last = recordedLast;
    attempt = recordedRun;
    isDone = recordedDone;
    here = true;
    number = delegation;
    if
    :: delegation != 0 && !recordedDone &&
       recordedLast <= given[delegation] -> here = false
    :: else -> settled = (delegation != 0)
    fi
  }
end:
  do
  /* Cell::PlanRun, recorded before it is sent. */
  :: atomic { here && !isDone && attempt == 0 && last < MAXRUN ->
       if
       :: IS_OWNER(homeEpoch) ->
          last++;
          attempt = last;
          recordedLast = last;
          recordedRun = attempt;
          pending = true
       :: else -> break
       fi }
  :: atomic { pending -> pending = false; start(HOME, attempt) }
  /* A run that a worker does not list, asked for under this owner's epoch, does
   * not exist and never will. */
  :: atomic { attempt != 0 && !pending && me >= seen[HOME] &&
              running[HOME] != attempt && ended[HOME] != attempt ->
       seen[HOME] = me;
       attempt = 0 }
  :: atomic { attempt != 0 && !pending && ended[HOME] == attempt && me >= seen[HOME] ->
       if
       :: IS_OWNER(homeEpoch) ->
          recordedDone = true;
          recordedRun = 0;
          doneNoted = true;
          isDone = true;
          ended[HOME] = 0;
          attempt = 0
       :: else -> break
       fi }
  /* Cell::Delegate */
  :: atomic { here && !isDone && attempt == 0 && number == 0 &&
              delegations < MAXDELEGATIONS ->
       if
       :: IS_OWNER(homeEpoch) ->
          delegations++;
          number = delegations;
          delegation = number;
          given[number] = last;
          recalled = false;
          recordedRun = 0;
          recordedLast = last;
          here = false;
          settled = false;
          note_change(number, false)
       :: else -> break
       fi }
  :: atomic { number != 0 && !settled && !recalled && delegation == number ->
       if
       :: IS_OWNER(homeEpoch) -> recalled = true; note_change(number, false)
       :: else -> break
       fi }
#ifdef RECORD_BEFORE_SETTLED
  :: atomic { number != 0 && !settled && report == number && reportState == held ->
       if
       :: IS_OWNER(homeEpoch) -> last = reportLast; recordedLast = last
       :: else -> break
       fi }
#endif
  /* Cell::OnDelegationReport */
  :: atomic { number != 0 && !settled && report == number &&
              (reportState == done || reportState == returned) ->
       settled = true;
       if
       :: reportState == done -> isDone = true
       :: else -> here = true;
          if
          :: reportLast > last -> last = reportLast
          :: else -> skip
          fi
       fi }
  /* The row goes with the record that tells what became of the task. */
  :: atomic { number != 0 && settled ->
       if
       :: IS_OWNER(homeEpoch) ->
          delegation = 0;
          note_change(number, true);
#ifndef CLOSE_BEFORE_RECORD
          recordedDone = isDone;
          recordedLast = last;
          recordedRun = attempt;
          doneNoted = doneNoted || isDone;
#endif
          number = 0
       :: else -> break
       fi }
#ifdef CLOSE_BEFORE_RECORD
  :: atomic { number == 0 && isDone && !recordedDone ->
       if
       :: IS_OWNER(homeEpoch) -> recordedDone = true; doneNoted = true
       :: else -> break
       fi }
#endif
  od
}

proctype Host(byte me)
{
  byte last, attempt, number, position, event, oldReport;
  bool pending, closed[3];
  mtype state = nothing;

  /* Takeover: first the own part, which changes no more but by this owner, then
   * the delegations. */
#ifdef DELEGATIONS_FIRST
  number = delegation;
#endif
  atomic {
    hostEpoch == me - 1 -> hostEpoch = me;
    position = changes;
    oldReport = report;
    state = reportState;
    last = reportLast;
    attempt = reportRun
  }
  atomic {
#ifndef DELEGATIONS_FIRST
    number = delegation;
#endif
    if
    :: number != 0 && number != oldReport ->
       state = held;
       last = given[number];
       attempt = 0
    :: else -> skip
    fi;
    if
    :: oldReport != 0 && number != oldReport ->
#ifndef NO_CLOSED_MEMORY
       closed[oldReport] = true;
#endif
       if
       :: IS_OWNER(hostEpoch) && report == oldReport -> report = 0
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
end:
  do
  /* Cell::OnDelegation, Cell::OnDelegationClosed */
  :: atomic { position < changes ->
       event = changedNumber[position];
       if
       :: !changedToNone[position] && event != number && number == 0 &&
          !closed[event] ->
          number = event;
          state = held;
          last = given[event];
          attempt = 0
       :: changedToNone[position] ->
#ifndef NO_CLOSED_MEMORY
          closed[event] = true;
#endif
          if
          :: event == number ->
             number = 0;
             state = nothing;
             if
             :: IS_OWNER(hostEpoch) && report == event -> report = 0
             :: else -> skip
             fi
          :: else -> skip
          fi
       :: else -> skip
       fi;
       position++ }
  /* Planned, recorded in the report, then sent. */
  :: atomic { number != 0 && state == held && attempt == 0 && last < MAXRUN &&
              !(recalled && delegation == number) ->
       if
       :: IS_OWNER(hostEpoch) ->
          last++;
          attempt = last;
          report = number;
          reportState = held;
          reportLast = last;
          reportRun = attempt;
          pending = true
       :: else -> break
       fi }
  :: atomic { pending -> pending = false; start(HOST, attempt) }
  :: atomic { attempt != 0 && !pending && me >= seen[HOST] &&
              running[HOST] != attempt && ended[HOST] != attempt ->
       seen[HOST] = me;
       attempt = 0 }
  /* A stop that is answered: the run has ended. */
  :: atomic { attempt != 0 && !pending && me >= seen[HOST] && running[HOST] == attempt ->
       seen[HOST] = me;
       running[HOST] = 0;
       attempt = 0 }
  :: atomic { number != 0 && attempt != 0 && !pending && ended[HOST] == attempt &&
              me >= seen[HOST] ->
       if
       :: IS_OWNER(hostEpoch) ->
          report = number;
          reportState = done;
          reportLast = last;
          reportRun = 0;
          doneNoted = true;
          state = done;
          ended[HOST] = 0;
          attempt = 0
       :: else -> break
       fi }
  /* Cell::ReturnWaitingTasks, Cell::ReturnIfRecalled */
#ifdef RETURN_WHILE_RUNNING
  :: atomic { number != 0 && state == held && !pending ->
#else
  :: atomic { number != 0 && state == held && attempt == 0 ->
#endif
       if
       :: IS_OWNER(hostEpoch) ->
          report = number;
          reportState = returned;
          reportLast = last;
          reportRun = 0;
          state = returned
       :: else -> break
       fi }
  od
}

init
{
  atomic {
    run Worker(HOME);
    run Worker(HOST);
    run Home(1);
    run Home(2);
    run Host(1);
    run Host(2)
  }
}
