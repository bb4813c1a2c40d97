/* At no time do two instances act under the same duty. Instance 0 holds the duty and 1 is its successor. 2 is a
 * witness, a third member: it answers the peer requests of 0, and 1 waits for its report.
 *
 * Time is discrete and advances at any point, so that every message and every process may be arbitrarily late. Ages
 * are counted only up to the longest one that matters, so that the search covers runs of any length.
 * The log holds at most one record: "0 is removed, 1 holds the duty". Reads and appends may fail at any time, so the
 * model needs no separate state for an instance that cannot reach the log. A record whose append was not answered is
 * found by the next read.
 * An instance may act as long as it is vouched for, that is until its vouch runs out. It renews the vouch by a read up
 * to the end of the log. It may also renew it, as long as the vouch has not run out in between, when all its peers
 * answer that they cannot reach the log either and have folded no later record than the instance itself.
 * Which instances count as peers is chosen once for a run:
 *   members: every instance that it has folded as a member (0 may not have folded the join of 1);
 *   listed:  every instance on the instance list. 2 may vanish from the list when it crashes; 0 itself must still be
 *            on a list that is at most LAG old, and 1 removes 0 only after 0 has left the list. This is the rule in
 *            use; the implementation also asks members that were never listed, which can only shorten a vouch.
 */

/* mutant: COUNT_FROM_ANSWER     the vouch counts from the arrival of the answer, not from when the question was sent */
/* mutant: IGNORE_FOLDED         a peer's answer counts although the peer has folded a later record */
/* mutant: NO_WAIT               the successor does not wait until old vouches have run out */
/* mutant: COUNT_FROM_READ       with members as peers the wait counts from reading the record, not the last report */
/* mutant: SILENT_PROMISE        a member that has reported still answers the holder as if it had no newer record */
/* mutant: LISTED_WITHOUT_LAG    with listed peers the successor does not add the list's lag to its wait */
/* mutant: REMOVE_WHILE_LISTED   with listed peers the successor removes a holder that is still listed */

#define VOUCH_TIME 2
#define LAG 1
#define BIT(i) (1 << (i))
#define MAX_AGE (VOUCH_TIME + LAG + 1)    /* ages are not counted beyond this */
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

bool recorded;                                  /* the record is in the log */
bool foldedBySuccessor, foldedByHolder;
bool witnessUpToDate;                           /* 2 has folded the record, or promised to ignore older ones */
byte vouchLeft = VOUCH_TIME;                    /* time left of the vouch of 0, which may act while this is above 0 */
bool readSent, readServed, readShowsRecord;     /* 0's read of the log; whether its answer contains the record */
byte readAge;                                   /* time since the read was sent */
bool askingPeers;                               /* 0 has asked its peers whether they can reach the log */
byte askAge;                                    /* time since it asked */
byte answered;                                  /* peers that answered, as bits */
byte knewRecord;                                /* of these, the peers that had the record when they answered */
bool peersFromList;                             /* the peers are those listed, not the members */
bool successorIsMember;                         /* 0 has folded the successor's join */
bool crashed;                                   /* 2 has crashed and left the list */
bool isDelisted;                                /* 0 has left the list */
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

        /* the holder reads the log to its end: the read is sent, served by the log, and answered */
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

        /* the platform drops the holder from the list; the witness crashes and leaves the list */
        :: peersFromList && !isDelisted -> isDelisted = true
        :: !crashed && !witnessPromised -> crashed = true

        /* the successor records the takeover, whether or not the holder has stopped, and reads the record back; the
         * witness may read it too */
        :: !recorded && MAY_REMOVE -> recorded = true
        :: recorded && !foldedBySuccessor -> foldedBySuccessor = true
        :: recorded && !crashed && !witnessUpToDate -> witnessUpToDate = true

        /* the witness promises and reports; a witness that has crashed is removed instead, and the successor waits as
         * long for it */
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
