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
#define VOUCHED(e) (!IS_REMOVED(e) || !settled)
#endif

#ifdef NO_PROMISE
#define ACCEPTS(e, g) true
#else
#define ACCEPTS(e, g) (EPOCH(g) >= promised[e])
#endif

#ifdef NOT_RUN_IN_DOUBT
#define MAY_SAY_NOT_RUN(k) true
#else
#define MAY_SAY_NOT_RUN(k) (k == 1 || complete || !early)
#endif

#ifdef NO_BARRIER
#define IS_EVERYBODY_HEARD true
#else
#define IS_EVERYBODY_HEARD (settled && (reported | removed) == 7)
#endif

mtype = { IDLE, WAITING, RUNNING, RAN, NOT_RUN, ENDED };

mtype ticket[N] = IDLE;         /* each entry takes the caller's request once */
byte known[N];                  /* highest grant in an entry's record, 0: none */
bool done[N];                   /* its outcome is in the record */
byte promised[N] = 1;           /* oldest epoch that an entry still accepts */
byte dispatcher[5];             /* of a grant */
bool granted[5];                /* the grant was sent */
byte copied[5];                 /* entries that confirmed a copy */
byte copyAsked;                 /* grant being copied by the holder of the current epoch, 0: none */
byte removed, crashed;
bool settled;
byte heir = 0;                  /* holder of epoch 2; 0: none yet */
byte reported;                  /* members that answered the heir */
byte reportKnown[N];
bool reportDone[N];
bool acting;                    /* the heir acts */
bool complete;                  /* and knows all grants */
bool early;                     /* the key was shown before the heir acted: it may have been granted */
byte used[3];                   /* grants given in an epoch */
byte runs;

/* A grant of epoch k may be taken up by its holder h for entry e. */
inline give(h, k, e) {
    used[k] = used[k] + 1;
    g = (k - 1) * 2 + used[k];
    dispatcher[g] = e;
    known[h] = g;
    done[h] = false;
#ifdef NO_COPY
    granted[g] = true;
#else
    if
    :: ZONE(h) != ZONE(e) || (k == 2 && (e != h || IS_REMOVED(3 - h))) -> granted[g] = true
    :: else -> copyAsked = g
    fi
#endif
}

/* What a new holder concludes from one report, or from its own record: a dispatcher that was heard and does not
 * know the grant has not used it and will not. */
inline merge(k, d) {
    if
    :: k > known[heir] && (d || !(reported & BIT(dispatcher[k])) || reportKnown[dispatcher[k]] == k) ->
        known[heir] = k;
        done[heir] = d
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
        :: acting -> k = 2; h = heir
        fi;
        if
        /* the caller asks at an entry */
        :: ticket[e] == IDLE && !HAS_CRASHED(e) ->
            ticket[e] = WAITING;
            early = early || !acting

        /* the holder grants; a request that was given up may still arrive */
        :: (ticket[e] == WAITING || ticket[e] == NOT_RUN) && !HAS_CRASHED(h) && VOUCHED(h) &&
            promised[h] <= k && known[h] == 0 && used[k] < 2 &&
            (k == 1 || complete || !early) && (k == 2 || copyAsked == 0) ->
            give(h, k, e)

        /* the holder refuses for another reason and says that the key was not run */
        :: ticket[e] == WAITING && !HAS_CRASHED(h) && VOUCHED(h) && promised[h] <= k && known[h] == 0 && MAY_SAY_NOT_RUN(k) ->
            assert(runs == 0);
            ticket[e] = ENDED

        /* another entry keeps a copy of the grant; it may come late */
        :: copyAsked != 0 && e != dispatcher[copyAsked] && !HAS_CRASHED(e) && ACCEPTS(e, copyAsked) &&
            e != (EPOCH(copyAsked) == 1 -> 0 : heir) && known[e] <= copyAsked &&
            (EPOCH(copyAsked) == 1 -> e != 0 : !IS_REMOVED(e)) ->
            known[e] = copyAsked;
            copied[copyAsked] = copied[copyAsked] | BIT(e)
#ifdef NO_GRANT_ORDER
        :: known[e] > 1 && (copied[1] & BIT(e)) && !HAS_CRASHED(e) ->
            known[e] = 1;
            done[e] = false
#endif

        /* the copy is confirmed to the holder */
        :: copyAsked != 0 && copied[copyAsked] != 0 && !HAS_CRASHED(h) && EPOCH(copyAsked) == k ->
            granted[copyAsked] = true;
            copyAsked = 0

        /* the dispatcher uses a grant */
        :: ticket[e] == WAITING && !HAS_CRASHED(e) && VOUCHED(e) ->
            select(g : 1 .. 4);
            if
            :: granted[g] && dispatcher[g] == e && ACCEPTS(e, g) && known[e] <= g ->
                ticket[e] = RUNNING;
                known[e] = g;
                done[e] = false;
                runs++;
                assert(runs <= 1)
            :: else
            fi

        /* the dispatcher gives up before it uses a grant */
        :: ticket[e] == WAITING && !HAS_CRASHED(e) -> ticket[e] = NOT_RUN

        /* the request ends: with an answer, or certainly not run */
        :: ticket[e] == RUNNING && !HAS_CRASHED(e) ->
            if
            :: ticket[e] = RAN; done[e] = true
            :: ticket[e] = NOT_RUN; runs--;
                if
                :: e != h -> known[e] = 0
                :: else
                fi
            fi

        /* the holder learns the outcome */
        :: ticket[e] == RAN && known[h] != 0 && dispatcher[known[h]] == e && !HAS_CRASHED(h) -> done[h] = true
        :: ticket[e] == NOT_RUN && known[h] != 0 && dispatcher[known[h]] == e && !done[h] && !HAS_CRASHED(h) ->
            if
            :: copyAsked == known[h] -> copyAsked = 0
            :: else
            fi;
            granted[known[h]] = false;
            known[h] = 0

        /* an entry is removed: crashed, or paused and believed gone */
        :: !IS_REMOVED(e) && heir == 0 && !acting && (removed == 0 || removed == BIT(0) || removed == BIT(1) ||
            removed == BIT(2)) ->
            removed = removed | BIT(e);
            if
            :: crashed = crashed | BIT(e)
            :: skip
            fi

        /* a member takes the duty of the removed holder */
        :: IS_REMOVED(0) && heir == 0 && !IS_REMOVED(e) && e != 0 ->
            heir = e;
            promised[e] = 2;
            reported = reported | BIT(e);
            reportKnown[e] = known[e];
            reportDone[e] = done[e]

        /* a member promises and reports */
        :: heir != 0 && !IS_REMOVED(e) && promised[e] < 2 ->
            promised[e] = 2;
            reported = reported | BIT(e);
            reportKnown[e] = known[e];
            reportDone[e] = done[e]

        /* the vouch of everything removed has run out */
        :: heir != 0 && !settled -> settled = true

        /* everybody was heard or has stopped */
        :: heir == e && !acting && IS_EVERYBODY_HEARD ->
            known[e] = 0;
            done[e] = false;
            for (g : 0 .. 2) {
                if
                :: (reported & BIT(g)) && reportKnown[g] != 0 -> merge(reportKnown[g], reportDone[g])
                :: else
                fi
            }
            acting = true;
            copyAsked = 0;
#ifdef ALWAYS_COMPLETE
            complete = true
#else
            complete = (removed == BIT(0))
#endif
        fi;
        g = 0; e = 0; h = 0; k = 0
       }
    od
}
