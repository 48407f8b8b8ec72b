/* The document: two editors of one section and one of another, one reader that
 * starts work in a failure domain, and a store whose replies get lost.
 * Ticks of one clock stand for seconds. */

#ifndef MAXTICK
#define MAXTICK 6
#endif
#define FRESH 2   /* kMaxDocumentAge */
#define WINDOW 2  /* kStartWindow */

/* The guards. */
#ifdef NO_MONOTONIC
#define ACCEPTABLE(n) true
#else
#define ACCEPTABLE(n) ((n) >= inForce)
#endif
#ifdef NO_FRESHNESS
#define FRESH_ENOUGH true
#else
#define FRESH_ENOUGH (tick - confirmed <= FRESH)
#endif

byte number = 0;        /* doc/head */
byte siteVersion = 0;   /* row of section 'site' */
byte teamVersion = 0;
byte siteAccepted = 0;  /* edits of 'site' that were told "accepted" */
byte teamAccepted = 0;
bool out = false;       /* the site's word on the failure domain */
byte tick = 0;
byte outAt = 255;

byte inForce = 0;       /* the reader's number */
bool outInForce = false;

/* Editor of the site section; its base is what it read. */
proctype SiteEditor() {
  byte base, head;
  bool accepted = false;
  atomic { base = siteVersion }
  do
  :: !accepted ->
       head = number;
       if
       :: siteVersion != base -> break /* a conflict is reported */
       :: else -> skip
       fi;
       atomic {
         if
#ifdef NO_SECTION_CHECK
         :: true ->
#else
         :: number == head && siteVersion == base ->
#endif
              number++; siteVersion++;
              /* no_edit_lost: nobody else's edit stood in between */
              assert(siteVersion == base + 1);
              siteAccepted++; out = true;
              if :: outAt == 255 -> outAt = tick :: else -> skip fi;
              accepted = true
         :: number != head -> skip /* another section moved the head: again */
         :: number == head && siteVersion != base -> skip
         fi
       }
  :: accepted -> break
  od
}

proctype TeamEditor() {
  byte head;
  bool accepted = false;
  do
  :: !accepted ->
       head = number;
       atomic {
         if
         :: number == head -> number++; teamVersion++; teamAccepted++; accepted = true
         :: else -> skip
         fi
       }
  :: accepted -> break
  od
}

/* Time, up to a bound. */
proctype Clock() {
  do
  :: tick < MAXTICK -> tick++
  :: else -> break
  od
}

/* An instance that reads the document, and starts work with what it has. The
 * read, the decision and the arrival at the worker are separate steps. */
proctype Starter() {
  byte asked, confirmed = 0, stamp;
  byte readNumber;
  bool readOut;
  do
  :: atomic { tick < MAXTICK -> asked = tick; readNumber = number; readOut = out };
     if
     :: atomic { ACCEPTABLE(readNumber) ->
          /* never_reverts */
          assert(readNumber >= inForce);
          inForce = readNumber; outInForce = readOut; confirmed = asked }
     :: skip /* the reply is lost */
     fi
  :: atomic { tick < MAXTICK && !outInForce && FRESH_ENOUGH -> stamp = tick };
     /* the start travels */
     atomic {
       if
#ifdef NO_WINDOW
       :: true ->
#else
       :: tick - stamp <= WINDOW ->
#endif
            /* domain_out_stops_starts */
            assert(outAt == 255 || tick - outAt <= FRESH + WINDOW)
       :: else -> skip
       fi
     }
  :: tick >= MAXTICK -> break
  od
}

/* A second reader's late reply may carry an older number. */
proctype LateReply() {
  byte old;
  old = number;
  atomic {
    if
    :: ACCEPTABLE(old) -> assert(old >= inForce); inForce = old
    :: else -> skip
    fi
  }
}

init {
  atomic {
    run SiteEditor(); run SiteEditor(); run TeamEditor();
    run Clock(); run Starter(); run LateReply()
  }
}
