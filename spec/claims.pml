/* At most one run of one key: a holder grants, a takeover must not grant again.
 *
 * Entries 0 (zone 0), 1 and 2 (zone 1). Entry 0 holds epoch 1; an heir may take epoch 2 once entry 0 is removed.
 * A message once sent stays in its set: it may be taken late, again, out of order, or never.
 * Up to two entries are removed, each crashed, or paused and awake again at any moment. Removed ones have stopped
 * vouching when `settled` is set. Grants are numbered 1..4: two of epoch 1, then two of epoch 2.
 */

/* mutant: NO_PROMISE          a member that reported goes on using grants of the old epoch */
/* mutant: NO_BARRIER          the heir acts before the members have reported */
/* mutant: NO_COPY             a grant is used before another zone knows it */
/* mutant: NO_GRANT_ORDER      a late copy of an older grant replaces a newer one */
/* mutant: NO_VOUCH            a removed entry never stops */
/* mutant: ALWAYS_COMPLETE     the heir trusts the reports although two zones are missing */
/* mutant: NOT_RUN_IN_DOUBT    the heir says "not run" although two zones are missing */

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

mtype requestState[N] = IDLE;         /* each entry takes the caller's request once */
byte recordedGrant[N];                  /* highest grant in an entry's record, 0: none */
bool outcomeRecorded[N];                   /* its outcome is in the record */
byte promised[N] = 1;           /* oldest epoch that an entry still accepts */
byte dispatcher[5];             /* of a grant */
bool grantSent[5];                /* the grant was sent */
byte copied[5];                 /* entries that confirmed a copy */
byte pendingCopy;                 /* grant being copied by the holder of the current epoch, 0: none */
byte removed, crashed;
bool gracePeriodOver;
byte successor = 0;                  /* holder of epoch 2; 0: none yet */
byte reported;                  /* members that answered the heir */
byte reportedGrant[N];
bool reportedOutcome[N];
bool isActive;                    /* the heir acts */
bool knowsAllGrants;                  /* and knows all grants */
bool requestedBefore;                     /* the key was shown before the heir acted: it may have been granted */
byte grantCount[3];                   /* grants given in an epoch */
byte runs;

/* A grant of epoch k may be taken up by its holder h for entry e. */
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

/* What a new holder concludes from one report, or from its own record: a dispatcher that was heard and does not
 * know the grant has not used it and will not. */
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
        /* the caller asks at an entry */
        :: requestState[e] == IDLE && !HAS_CRASHED(e) ->
            requestState[e] = WAITING;
            requestedBefore = requestedBefore || !isActive

        /* the holder grants; a request that was given up may still arrive */
        :: (requestState[e] == WAITING || requestState[e] == NOT_RUN) && !HAS_CRASHED(h) && VOUCHED(h) &&
            promised[h] <= k && recordedGrant[h] == 0 && grantCount[k] < 2 &&
            (k == 1 || knowsAllGrants || !requestedBefore) && (k == 2 || pendingCopy == 0) ->
            grant(h, k, e)

        /* the holder refuses for another reason and says that the key was not run */
        :: requestState[e] == WAITING && !HAS_CRASHED(h) && VOUCHED(h) && promised[h] <= k && recordedGrant[h] == 0 && MAY_SAY_NOT_RUN(k) ->
            assert(runs == 0);
            requestState[e] = ENDED

        /* another entry keeps a copy of the grant; it may come late */
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

        /* the copy is confirmed to the holder */
        :: pendingCopy != 0 && copied[pendingCopy] != 0 && !HAS_CRASHED(h) && EPOCH(pendingCopy) == k ->
            grantSent[pendingCopy] = true;
            pendingCopy = 0

        /* the dispatcher uses a grant */
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

        /* the holder learns the outcome */
        :: requestState[e] == RAN && recordedGrant[h] != 0 && dispatcher[recordedGrant[h]] == e && !HAS_CRASHED(h) -> outcomeRecorded[h] = true
        :: requestState[e] == NOT_RUN && recordedGrant[h] != 0 && dispatcher[recordedGrant[h]] == e && !outcomeRecorded[h] && !HAS_CRASHED(h) ->
            if
            :: pendingCopy == recordedGrant[h] -> pendingCopy = 0
            :: else
            fi;
            grantSent[recordedGrant[h]] = false;
            recordedGrant[h] = 0

        /* an entry is removed: crashed, or paused and believed gone */
        :: !IS_REMOVED(e) && successor == 0 && !isActive && (removed == 0 || removed == BIT(0) || removed == BIT(1) ||
            removed == BIT(2)) ->
            removed = removed | BIT(e);
            if
            :: crashed = crashed | BIT(e)
            :: skip
            fi

        /* a member takes the duty of the removed holder */
        :: IS_REMOVED(0) && successor == 0 && !IS_REMOVED(e) && e != 0 ->
            successor = e;
            promised[e] = 2;
            reported = reported | BIT(e);
            reportedGrant[e] = recordedGrant[e];
            reportedOutcome[e] = outcomeRecorded[e]

        /* a member promises and reports */
        :: successor != 0 && !IS_REMOVED(e) && promised[e] < 2 ->
            promised[e] = 2;
            reported = reported | BIT(e);
            reportedGrant[e] = recordedGrant[e];
            reportedOutcome[e] = outcomeRecorded[e]

        /* the vouch of everything removed has run out */
        :: successor != 0 && !gracePeriodOver -> gracePeriodOver = true

        /* everybody was heard or has stopped */
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
