/* A request with one idempotency key runs at most once, also when another entry takes over the claims duty: the new
 * holder must not grant the key again.
 *
 * Entry 0 is in zone 0; entries 1 and 2 are in zone 1. Entry 0 holds epoch 1 of the duty; a successor may take epoch 2
 * once entry 0 is removed. A message that was sent stays available: it may be received late, repeatedly, out of order,
 * or never. Up to two entries are removed. A removed entry has either crashed, or is paused and may resume at any time.
 * Once `gracePeriodOver` is set, removed entries are no longer vouched for and have stopped acting.
 * Grants are numbered 1..4: two of epoch 1, then two of epoch 2.
 */

/* mutant: NO_PROMISE          a member that has reported still uses grants of the old epoch */
/* mutant: NO_BARRIER          the successor becomes active before the members have reported */
/* mutant: NO_COPY             a grant is used before an entry in another zone has a copy of it */
/* mutant: NO_GRANT_ORDER      a late copy of an older grant replaces a newer one */
/* mutant: NO_VOUCH            a removed entry never stops acting */
/* mutant: ALWAYS_COMPLETE     the successor treats the reports as complete although entries of two zones are missing */
/* mutant: NOT_RUN_IN_DOUBT    the successor answers "not run" although entries of two zones are missing */

#define N 3
#define ZONE(e) (e > 0)
#define EPOCH(g) (1 + (g > 2))
#define BIT(e) (1 << (e))
#define IS_REMOVED(e) ((removed & BIT(e)) != 0)
#define HAS_CRASHED(e) ((crashed & BIT(e)) != 0)

#ifdef NO_VOUCH
#define VOUCHED(e) true
#else
#define VOUCHED(e) (!IS_REMOVED(e) || !gracePeriodOver)
#endif

#ifdef NO_PROMISE
#define ACCEPTS(e, g) true
#else
#define ACCEPTS(e, g) (EPOCH(g) >= promised[e])
#endif

#ifdef NOT_RUN_IN_DOUBT
#define MAY_SAY_NOT_RUN(k) true
#else
#define MAY_SAY_NOT_RUN(k) (k == 1 || knowsAllGrants || !requestedBefore)
#endif

#ifdef NO_BARRIER
#define ALL_REPORTED true
#else
#define ALL_REPORTED (gracePeriodOver && (reported | removed) == 7)
#endif

mtype = { IDLE, WAITING, RUNNING, RAN, NOT_RUN, ENDED };

mtype requestState[N] = IDLE;       /* of the caller's request; each entry receives it at most once */
byte recordedGrant[N];              /* newest grant in the entry's claim record; 0: none */
bool outcomeRecorded[N];            /* the entry's claim record holds the outcome of that grant */
byte promised[N] = 1;               /* oldest epoch that the entry still accepts */
byte dispatcher[5];                 /* by grant: the entry that may run the request */
bool grantSent[5];                  /* by grant: it was sent to its dispatcher */
byte copied[5];                     /* by grant: the entries that stored a copy, as bits */
byte pendingCopy;                   /* grant that the holder of the current epoch is copying; 0: none */
byte removed, crashed;              /* entries, as bits */
bool gracePeriodOver;
byte successor = 0;                 /* holder of epoch 2; 0: none yet */
byte reported;                      /* members that reported to the successor, as bits */
byte reportedGrant[N];
bool reportedOutcome[N];
bool isActive;                      /* the successor may grant and refuse */
bool knowsAllGrants;                /* the reports that the successor has cover every grant of epoch 1 */
bool requestedBefore;               /* requested before the successor was active: may have been granted */
byte grantCount[3];                 /* number of grants in the epoch */
byte runs;                          /* number of times that the request ran */

/* Holder h of epoch k grants the request to entry e. A grant to another entry is sent at once, since that entry then
 * has a copy; so is a grant of a successor that is the only member left. Any other is sent once an entry has a copy. */
inline grant(h, k, e) {
    grantCount[k] = grantCount[k] + 1;
    g = (k - 1) * 2 + grantCount[k];
    dispatcher[g] = e;
    recordedGrant[h] = g;
    outcomeRecorded[h] = false;
#ifdef NO_COPY
    grantSent[g] = true;
#else
    if
    :: ZONE(h) != ZONE(e) || (k == 2 && (e != h || IS_REMOVED(3 - h))) -> grantSent[g] = true
    :: else -> pendingCopy = g
    fi
#endif
}

/* Merges one report, or the successor's own record, into its record. A dispatcher that has reported and does not know
 * the grant has not used it, and its promise keeps it from using it later. */
inline mergeReport(k, d) {
    if
    :: k > recordedGrant[successor] && (d || !(reported & BIT(dispatcher[k])) || reportedGrant[dispatcher[k]] == k) ->
        recordedGrant[successor] = k;
        outcomeRecorded[successor] = d
    :: else
    fi
}

active proctype world() {
    byte e, h, g, k;
end:
    do
    /* choose the entry and the epoch of the next step */
    :: atomic {
        select(e : 0 .. 2);
        if
        :: k = 1; h = 0
        :: isActive -> k = 2; h = successor
        fi;
        if
        /* a caller sends the request to an entry */
        :: requestState[e] == IDLE && !HAS_CRASHED(e) ->
            requestState[e] = WAITING;
            requestedBefore = requestedBefore || !isActive

        /* the holder grants; a request that the dispatcher gave up may still arrive */
        :: (requestState[e] == WAITING || requestState[e] == NOT_RUN) && !HAS_CRASHED(h) && VOUCHED(h) &&
            promised[h] <= k && recordedGrant[h] == 0 && grantCount[k] < 2 &&
            (k == 1 || knowsAllGrants || !requestedBefore) && (k == 2 || pendingCopy == 0) ->
            grant(h, k, e)

        /* the holder refuses for another reason and answers that the key was not run */
        :: requestState[e] == WAITING && !HAS_CRASHED(h) && VOUCHED(h) && promised[h] <= k && recordedGrant[h] == 0 &&
            MAY_SAY_NOT_RUN(k) ->
            assert(runs == 0);
            requestState[e] = ENDED

        /* another entry stores a copy of the grant; the copy may arrive late */
        :: pendingCopy != 0 && e != dispatcher[pendingCopy] && !HAS_CRASHED(e) && ACCEPTS(e, pendingCopy) &&
            e != (EPOCH(pendingCopy) == 1 -> 0 : successor) && recordedGrant[e] <= pendingCopy &&
            (EPOCH(pendingCopy) == 1 -> e != 0 : !IS_REMOVED(e)) ->
            recordedGrant[e] = pendingCopy;
            copied[pendingCopy] = copied[pendingCopy] | BIT(e)
#ifdef NO_GRANT_ORDER
        :: recordedGrant[e] > 1 && (copied[1] & BIT(e)) && !HAS_CRASHED(e) ->
            recordedGrant[e] = 1;
            outcomeRecorded[e] = false
#endif

        /* the holder receives the confirmation of the copy */
        :: pendingCopy != 0 && copied[pendingCopy] != 0 && !HAS_CRASHED(h) && EPOCH(pendingCopy) == k ->
            grantSent[pendingCopy] = true;
            pendingCopy = 0

        /* the dispatcher uses the grant and runs the request */
        :: requestState[e] == WAITING && !HAS_CRASHED(e) && VOUCHED(e) ->
            select(g : 1 .. 4);
            if
            :: grantSent[g] && dispatcher[g] == e && ACCEPTS(e, g) && recordedGrant[e] <= g ->
                requestState[e] = RUNNING;
                recordedGrant[e] = g;
                outcomeRecorded[e] = false;
                runs++;
                assert(runs <= 1)
            :: else
            fi

        /* the dispatcher gives up before it uses a grant */
        :: requestState[e] == WAITING && !HAS_CRASHED(e) -> requestState[e] = NOT_RUN

        /* the request ends: with an answer, or certainly not run */
        :: requestState[e] == RUNNING && !HAS_CRASHED(e) ->
            if
            :: requestState[e] = RAN; outcomeRecorded[e] = true
            :: requestState[e] = NOT_RUN; runs--;
                if
                :: e != h -> recordedGrant[e] = 0
                :: else
                fi
            fi

        /* the holder receives the outcome */
        :: requestState[e] == RAN && recordedGrant[h] != 0 && dispatcher[recordedGrant[h]] == e && !HAS_CRASHED(h) ->
            outcomeRecorded[h] = true
        :: requestState[e] == NOT_RUN && recordedGrant[h] != 0 && dispatcher[recordedGrant[h]] == e &&
            !outcomeRecorded[h] && !HAS_CRASHED(h) ->
            if
            :: pendingCopy == recordedGrant[h] -> pendingCopy = 0
            :: else
            fi;
            grantSent[recordedGrant[h]] = false;
            recordedGrant[h] = 0

        /* an entry is removed: it has crashed, or is paused and assumed to have crashed */
        :: !IS_REMOVED(e) && successor == 0 && !isActive && (removed == 0 || removed == BIT(0) || removed == BIT(1) ||
            removed == BIT(2)) ->
            removed = removed | BIT(e);
            if
            :: crashed = crashed | BIT(e)
            :: skip
            fi

        /* a member takes over the duty of the removed holder */
        :: IS_REMOVED(0) && successor == 0 && !IS_REMOVED(e) && e != 0 ->
            successor = e;
            promised[e] = 2;
            reported = reported | BIT(e);
            reportedGrant[e] = recordedGrant[e];
            reportedOutcome[e] = outcomeRecorded[e]

        /* a member promises to refuse epoch 1 and reports its record */
        :: successor != 0 && !IS_REMOVED(e) && promised[e] < 2 ->
            promised[e] = 2;
            reported = reported | BIT(e);
            reportedGrant[e] = recordedGrant[e];
            reportedOutcome[e] = outcomeRecorded[e]

        /* the vouch of every removed entry has run out */
        :: successor != 0 && !gracePeriodOver -> gracePeriodOver = true

        /* the successor becomes active: each member has reported, or was removed and has stopped acting */
        :: successor == e && !isActive && ALL_REPORTED ->
            recordedGrant[e] = 0;
            outcomeRecorded[e] = false;
            for (g : 0 .. 2) {
                if
                :: (reported & BIT(g)) && reportedGrant[g] != 0 -> mergeReport(reportedGrant[g], reportedOutcome[g])
                :: else
                fi
            }
            isActive = true;
            pendingCopy = 0;
#ifdef ALWAYS_COMPLETE
            knowsAllGrants = true
#else
            knowsAllGrants = (removed == BIT(0))
#endif
        fi;
        g = 0; e = 0; h = 0; k = 0
       }
    od
}
