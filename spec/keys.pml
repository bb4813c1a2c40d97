/* A withdrawn key stops at every entry within the bound, also while the log is down and a path is cut or an entry
 * sleeps.
 *
 * Entry 0 accepts an operator's withdrawal at one moment. Time is discrete: in each step, the time of a few beats,
 * every entry hears each peer that it can reach, in any order, and reads the log if that serves it. The log serves any
 * set of entries, another one in each step. Either one path between two entries is cut for good, or entry 2 is paused
 * for any number of steps.
 * An entry takes a key while it is vouched for: it read the log in the last T steps, or each peer told it, directly or
 * through another, that it lacks the log. What a peer tells, and what is passed on, carries the flooded withdrawal.
 */

/* mutant: NO_FLOOD            withdrawals wait for the log */
/* mutant: NO_RELAY_OF_FLOOD   what is passed on for another does not carry that one's withdrawal */
/* mutant: NO_VOUCH            an entry that hears nobody goes on */
/* mutant: TAKEN_BACK          what the log does not show yet is forgotten */

#define N 3
#define VOUCH_STEPS 2
#define BOUND (VOUCH_STEPS + 1)
#define BIT(i) (1 << (i))
#define OTHERS(i) (7 - BIT(i))

bool withdrawn;             /* at entry 0 */
byte withdrawalAge;                   /* steps since, no more counted than needed */
bool recorded;              /* in the log */
byte inForce;                 /* entries that have it in force */
byte servedByLog = 7;            /* entries that the log serves */
byte cutA, cutB;            /* the path that is cut; the same twice: none */
bool paused;                /* entry 2 sleeps in this step */
byte vouchLeft[N] = VOUCH_STEPS;
byte heard[N];              /* peers heard, directly or through another, since the last step */
bool hasReadLog[N];               /* read the log since the last step */

#define REACHES(i, j) (!((i == cutA && j == cutB) || (i == cutB && j == cutA)))
#define LACKS_LOG(i) (!(servedByLog & BIT(i)))
#ifdef NO_VOUCH
#define ACCEPTS_KEY(i) (!(inForce & BIT(i)))
#else
#define ACCEPTS_KEY(i) (vouchLeft[i] > 0 && !(inForce & BIT(i)))
#endif

/* Entry i hears entry j and what j has heard before. */
inline receiveHeartbeat(i, j) {
#ifndef NO_FLOOD
    if
#ifdef NO_RELAY_OF_FLOOD
    :: (inForce & BIT(j)) && j == 0 -> inForce = inForce | BIT(i)
#else
    :: (inForce & BIT(j)) -> inForce = inForce | BIT(i)
#endif
    :: else
    fi;
#endif
    heard[i] = heard[i] | BIT(j) | (heardBefore[j] & OTHERS(i))
}

inline readLog(i) {
    hasReadLog[i] = true;
    if
    :: recorded = recorded || (inForce & BIT(i))
    :: skip /* the append failed */
    fi;
#ifdef TAKEN_BACK
    inForce = inForce & OTHERS(i);
#endif
    inForce = inForce | (recorded -> BIT(i) : 0)
}

inline runStep(i) {
    if
    :: i == 2 && paused -> skip
    :: else ->
        if
        :: LACKS_LOG(i) -> skip
        :: else -> readLog(i)
        fi;
        for (j : 0 .. 2) {
            if
            :: j != i && REACHES(i, j) && !(j == 2 && paused) -> receiveHeartbeat(i, j)
            :: else
            fi
        }
    fi
}

inline renew(i) {
    if
    :: hasReadLog[i] -> vouchLeft[i] = VOUCH_STEPS
    :: !hasReadLog[i] && heard[i] == OTHERS(i) && vouchLeft[i] > 0 && (servedByLog & OTHERS(i)) == 0 -> vouchLeft[i] = VOUCH_STEPS
    :: else -> vouchLeft[i] = (vouchLeft[i] > 0 -> vouchLeft[i] - 1 : 0)
    fi;
    heardBefore[i] = heard[i];
    heard[i] = 0;
    hasReadLog[i] = false
}

active proctype world() {
    byte i, j;
    byte heardBefore[N];
    select(cutA : 0 .. 1);
    if
    :: cutB = 2
    :: cutA == 0 -> cutB = 1
    :: cutA == 0 -> cutB = 0
    fi;
end:
    do
    :: atomic {
        /* the log serves another set of entries */
        select(servedByLog : 0 .. 7);
        /* the operator withdraws the key at entry 0 */
        if
        :: !withdrawn -> withdrawn = true; inForce = inForce | BIT(0)
        :: skip
        fi;
        if
        :: cutA == cutB -> paused = true
        :: paused = false
        fi;
        /* every entry hears in this step, in any order */
        if
        :: true -> runStep(0); runStep(1); runStep(2)
        :: true -> runStep(2); runStep(1); runStep(0)
        :: true -> runStep(1); runStep(0); runStep(2)
        :: true -> runStep(0); runStep(2); runStep(1)
        :: true -> runStep(1); runStep(2); runStep(0)
        :: true -> runStep(2); runStep(0); runStep(1)
        fi;
        renew(0); renew(1); renew(2);
        if
        :: withdrawn && withdrawalAge < BOUND -> withdrawalAge++
        :: else
        fi;
        assert(withdrawalAge < BOUND || !(ACCEPTS_KEY(0) || ACCEPTS_KEY(1) || ACCEPTS_KEY(2)));
        i = 0; j = 0
       }
    od
}
