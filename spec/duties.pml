/* One duty, its holder 0, an heir 1 and a witness 2: never two instances acting under it.
 *
 * Time is discrete and passes whenever it likes, so that every message and every process may be late. Only ages up
 * to the longest that matters are kept, so that the search covers runs of every length.
 * The log holds at most one record: "0 is removed, 1 holds the duty". Reads and appends may fail at any time, so an
 * instance that lacks the log needs no state of its own. An appended record whose answer was lost is simply read.
 * An instance may act while its vouch has not run out. It renews it by a read of the log's end, or, without a gap, by
 * answers of all its peers that they lack the log too and know of no later record than it does.
 * Who the peers are is chosen once:
 *   members: everybody that the instance has folded as a member (0 may not know 1: it joined later);
 *   listed:  those on the instance list, of which 2 may vanish when it crashes; 0 itself must still be on a list that
 *            is at most LAG old, and 1 removes 0 only after 0 has left the list. This is the rule in use; it also asks
            members that were never listed, which only shortens a vouch.
 */

/* mutant: COUNT_FROM_ANSWER     the vouch counts from when the answer came */
/* mutant: IGNORE_FOLDED         a peer's answer counts though it knows a later record */
/* mutant: NO_WAIT               the heir does not wait for old vouches to run out */
/* mutant: COUNT_FROM_READ       with members as peers it waits from reading its record, not from the last report */
/* mutant: SILENT_PROMISE        who has reported to the heir still vouches as if it knew nothing */
/* mutant: LISTED_WITHOUT_LAG    with listed peers it does not wait for the list's lag */
/* mutant: REMOVE_WHILE_LISTED   with listed peers it removes the holder while that is listed */

#define T 2
#define LAG 1
#define BIT(i) (1 << (i))
#define OLDEST (T + LAG + 1)    /* ages stop growing here */
#define OLDER(age) age = (age < OLDEST -> age + 1 : age)

#ifdef COUNT_FROM_ANSWER
#define LEFT(age) T
#else
#define LEFT(age) (age < T -> T - age : 0)
#endif
#ifdef IGNORE_FOLDED
#define IS_NO_FURTHER(j) true
#else
#define IS_NO_FURTHER(j) (!(told & BIT(j)))
#endif
#ifdef RENEW_AFTER_GAP
#define IS_UNBROKEN true
#else
#define IS_UNBROKEN (vouchLeft > 0)
#endif
#ifdef NO_WAIT
#define WAIT_IS_OVER true
#else
#ifdef COUNT_FROM_READ
#define WAIT_IS_OVER (readBackAge >= wait)
#else
#define WAIT_IS_OVER (readBackAge >= wait && (listed || reportAge >= wait))
#endif
#endif
#ifdef REMOVE_WHILE_LISTED
#define MAY_REMOVE true
#else
#define MAY_REMOVE (!listed || offList)
#endif

bool recorded;          /* the record is in the log */
bool foldedByHeir, foldedByHolder;
bool witnessKnows;      /* 2 has folded it, or promised the heir not to follow older records */
byte vouchLeft = T;     /* of 0; it may act while this is above 0 */
bool reading, served, found;    /* 0's read of the log: sent, served, and whether it shows the record */
byte readAge;           /* since the read was sent */
bool asking;            /* 0 has asked its peers */
byte askAge;            /* since it asked */
byte answers;           /* of whom */
byte told;              /* which of them knew of the record when they answered */
bool listed;            /* which of the two rules is in force */
bool knowsHeir;         /* 0 has folded the heir's joining */
bool crashed;           /* 2 has crashed and left the list */
bool offList;           /* 0 has left the list */
byte offAge, readBackAge, reportAge, wait;
bool promised, acting;

#define PEERS (((listed && crashed) -> 0 : BIT(2)) | (knowsHeir -> BIT(1) : 0))
#define IS_LISTED_FRESHLY (!listed || !offList || offAge <= LAG)
#define ACTS_OLD (vouchLeft > 0 && !foldedByHolder)

inline renew(age) {
    if
    :: LEFT(age) > vouchLeft -> vouchLeft = LEFT(age)
    :: else
    fi
}

inline forgetQuestion() {
    asking = false;
    askAge = 0;
    answers = 0;
    told = 0
}

active proctype world() {
    if
    :: listed = true
    :: listed = false
    fi;
    if
    :: knowsHeir = true
    :: knowsHeir = false
    fi;
#ifdef LISTED_WITHOUT_LAG
    wait = T;
#else
    wait = (listed -> T + LAG : T);
#endif
end:
    do
    :: atomic {
        assert(!(ACTS_OLD && acting));
        if
        /* time passes */
        :: true ->
            vouchLeft = (vouchLeft > 0 -> vouchLeft - 1 : 0);
            if
            :: reading -> OLDER(readAge)
            :: else
            fi;
            if
            :: asking -> OLDER(askAge)
            :: else
            fi;
            if
            :: offList -> OLDER(offAge)
            :: else
            fi;
            if
            :: foldedByHeir -> OLDER(readBackAge)
            :: else
            fi;
            if
            :: promised -> OLDER(reportAge)
            :: else
            fi

        /* the holder reads the log to its end: sent, served, answered */
        :: !reading && !foldedByHolder -> reading = true
        :: reading && !served -> served = true; found = recorded
        :: served ->
            foldedByHolder = foldedByHolder || found;
            renew(readAge);
            reading = false;
            served = false;
            found = false;
            readAge = 0

        /* the holder asks its peers; each answers early, late, or never */
        :: !foldedByHolder && !asking -> asking = true
        :: asking && !(answers & BIT(1)) ->
            answers = answers | BIT(1);
            told = told | (foldedByHeir -> BIT(1) : 0)
        :: asking && !(answers & BIT(2)) && !crashed ->
            answers = answers | BIT(2);
            told = told | (witnessKnows -> BIT(2) : 0)
        :: asking && (answers & PEERS) == PEERS && IS_UNBROKEN && IS_LISTED_FRESHLY &&
            (!(PEERS & BIT(1)) || IS_NO_FURTHER(1)) && (!(PEERS & BIT(2)) || IS_NO_FURTHER(2)) ->
            renew(askAge);
            forgetQuestion()
        :: asking -> forgetQuestion()

        /* the platform drops the holder from the list; the witness crashes and leaves it */
        :: listed && !offList -> offList = true
        :: !crashed && !promised -> crashed = true

        /* the heir records the takeover, rightly or wrongly, and reads it back; the witness may read it too */
        :: !recorded && MAY_REMOVE -> recorded = true
        :: recorded && !foldedByHeir -> foldedByHeir = true
        :: recorded && !crashed && !witnessKnows -> witnessKnows = true

        /* the witness promises and reports, or has crashed and is removed and waited for in the same way */
        :: foldedByHeir && !promised ->
            promised = true;
#ifndef SILENT_PROMISE
            witnessKnows = witnessKnows || !crashed
#endif
        :: promised && !acting && WAIT_IS_OVER -> acting = true
        fi
       }
    od
}
