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

#define VOUCH_TIME 2
#define LAG 1
#define BIT(i) (1 << (i))
#define MAX_AGE (VOUCH_TIME + LAG + 1)    /* ages stop growing here */
#define INCREASE_AGE(age) age = (age < MAX_AGE -> age + 1 : age)

#ifdef COUNT_FROM_ANSWER
#define REMAINING_VOUCH(age) VOUCH_TIME
#else
#define REMAINING_VOUCH(age) (age < VOUCH_TIME -> VOUCH_TIME - age : 0)
#endif
#ifdef IGNORE_FOLDED
#define LACKS_RECORD(j) true
#else
#define LACKS_RECORD(j) (!(knewRecord & BIT(j)))
#endif
#ifdef RENEW_AFTER_GAP
#define VOUCH_HAS_NO_GAP true
#else
#define VOUCH_HAS_NO_GAP (vouchLeft > 0)
#endif
#ifdef NO_WAIT
#define WAIT_IS_OVER true
#else
#ifdef COUNT_FROM_READ
#define WAIT_IS_OVER (readBackAge >= takeoverWait)
#else
#define WAIT_IS_OVER (readBackAge >= takeoverWait && (peersFromList || reportAge >= takeoverWait))
#endif
#endif
#ifdef REMOVE_WHILE_LISTED
#define MAY_REMOVE true
#else
#define MAY_REMOVE (!peersFromList || isDelisted)
#endif

bool recorded;          /* the record is in the log */
bool foldedBySuccessor, foldedByHolder;
bool witnessUpToDate;      /* 2 has folded it, or promised the heir not to follow older records */
byte vouchLeft = VOUCH_TIME;     /* of 0; it may act while this is above 0 */
bool readSent, readServed, readShowsRecord;    /* 0's read of the log: sent, served, and whether it shows the record */
byte readAge;           /* since the read was sent */
bool askingPeers;            /* 0 has asked its peers */
byte askAge;            /* since it asked */
byte answered;           /* of whom */
byte knewRecord;              /* which of them knew of the record when they answered */
bool peersFromList;            /* which of the two rules is in force */
bool successorIsMember;         /* 0 has folded the heir's joining */
bool crashed;           /* 2 has crashed and left the list */
bool isDelisted;           /* 0 has left the list */
byte delistedAge, readBackAge, reportAge, takeoverWait;
bool witnessPromised, successorActs;

#define PEERS (((peersFromList && crashed) -> 0 : BIT(2)) | (successorIsMember -> BIT(1) : 0))
#define LIST_IS_FRESH (!peersFromList || !isDelisted || delistedAge <= LAG)
#define HOLDER_MAY_ACT (vouchLeft > 0 && !foldedByHolder)

inline renew(age) {
    if
    :: REMAINING_VOUCH(age) > vouchLeft -> vouchLeft = REMAINING_VOUCH(age)
    :: else
    fi
}

inline endPeerRound() {
    askingPeers = false;
    askAge = 0;
    answered = 0;
    knewRecord = 0
}

active proctype world() {
    if
    :: peersFromList = true
    :: peersFromList = false
    fi;
    if
    :: successorIsMember = true
    :: successorIsMember = false
    fi;
#ifdef LISTED_WITHOUT_LAG
    takeoverWait = VOUCH_TIME;
#else
    takeoverWait = (peersFromList -> VOUCH_TIME + LAG : VOUCH_TIME);
#endif
end:
    do
    :: atomic {
        assert(!(HOLDER_MAY_ACT && successorActs));
        if
        /* time passes */
        :: true ->
            vouchLeft = (vouchLeft > 0 -> vouchLeft - 1 : 0);
            if
            :: readSent -> INCREASE_AGE(readAge)
            :: else
            fi;
            if
            :: askingPeers -> INCREASE_AGE(askAge)
            :: else
            fi;
            if
            :: isDelisted -> INCREASE_AGE(delistedAge)
            :: else
            fi;
            if
            :: foldedBySuccessor -> INCREASE_AGE(readBackAge)
            :: else
            fi;
            if
            :: witnessPromised -> INCREASE_AGE(reportAge)
            :: else
            fi

        /* the holder reads the log to its end: sent, served, answered */
        :: !readSent && !foldedByHolder -> readSent = true
        :: readSent && !readServed -> readServed = true; readShowsRecord = recorded
        :: readServed ->
            foldedByHolder = foldedByHolder || readShowsRecord;
            renew(readAge);
            readSent = false;
            readServed = false;
            readShowsRecord = false;
            readAge = 0

        /* the holder asks its peers; each answers early, late, or never */
        :: !foldedByHolder && !askingPeers -> askingPeers = true
        :: askingPeers && !(answered & BIT(1)) ->
            answered = answered | BIT(1);
            knewRecord = knewRecord | (foldedBySuccessor -> BIT(1) : 0)
        :: askingPeers && !(answered & BIT(2)) && !crashed ->
            answered = answered | BIT(2);
            knewRecord = knewRecord | (witnessUpToDate -> BIT(2) : 0)
        :: askingPeers && (answered & PEERS) == PEERS && VOUCH_HAS_NO_GAP && LIST_IS_FRESH &&
            (!(PEERS & BIT(1)) || LACKS_RECORD(1)) && (!(PEERS & BIT(2)) || LACKS_RECORD(2)) ->
            renew(askAge);
            endPeerRound()
        :: askingPeers -> endPeerRound()

        /* the platform drops the holder from the list; the witness crashes and leaves it */
        :: peersFromList && !isDelisted -> isDelisted = true
        :: !crashed && !witnessPromised -> crashed = true

        /* the heir records the takeover, rightly or wrongly, and reads it back; the witness may read it too */
        :: !recorded && MAY_REMOVE -> recorded = true
        :: recorded && !foldedBySuccessor -> foldedBySuccessor = true
        :: recorded && !crashed && !witnessUpToDate -> witnessUpToDate = true

        /* the witness promises and reports, or has crashed and is removed and waited for in the same way */
        :: foldedBySuccessor && !witnessPromised ->
            witnessPromised = true;
#ifndef SILENT_PROMISE
            witnessUpToDate = witnessUpToDate || !crashed
#endif
        :: witnessPromised && !successorActs && WAIT_IS_OVER -> successorActs = true
        fi
       }
    od
}
