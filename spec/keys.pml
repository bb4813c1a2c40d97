/* A withdrawn key is refused at every entry within BOUND steps, also while the log is down and the network path between
 * two entries is cut or an entry is paused.
 *
 * Entry 0 accepts an operator's withdrawal at one moment. Time is discrete. In each step, which lasts as long as a few
 * heartbeats, every entry receives the heartbeat of each peer that it can reach, in any order, and reads the log if the
 * log serves it. The log serves any set of entries, a different one in each step. Either one path between two entries
 * is cut permanently, or entry 2 is paused for any number of steps.
 * An entry accepts a key while it is vouched for: it has read the log within the last VOUCH_STEPS steps, or each peer
 * has reported, directly or relayed by another, that it cannot reach the log. Heartbeats and the reports that they
 * relay carry the withdrawals of their sender, so that a withdrawal floods to all entries without the log.
 */

/* mutant: NO_FLOOD            withdrawals spread through the log only */
/* mutant: NO_RELAY_OF_FLOOD   a relayed report does not carry the original sender's withdrawal */
/* mutant: NO_VOUCH            an entry that receives no heartbeat continues to accept keys */
/* mutant: TAKEN_BACK          a withdrawal that the log does not show yet is dropped */

#define N 3
#define VOUCH_STEPS 2
#define BOUND (VOUCH_STEPS + 1)
#define BIT(i) (1 << (i))
#define OTHERS(i) (7 - BIT(i))

bool withdrawn;                     /* the operator has withdrawn the key at entry 0 */
byte withdrawalAge;                 /* steps since the withdrawal, counted up to BOUND */
bool recorded;                      /* the withdrawal is in the log */
byte inForce;                       /* entries at which the withdrawal is in force, as bits */
byte servedByLog = 7;               /* entries that the log serves in this step, as bits */
byte cutA, cutB;                    /* entries between which the path is cut; equal: none is cut */
bool paused;                        /* entry 2 is paused in this step */
byte vouchLeft[N] = VOUCH_STEPS;    /* steps left of the vouch of an entry */
byte heard[N];                      /* peers heard since the last step, directly or relayed, as bits */
bool hasReadLog[N];                 /* the entry has read the log since the last step */

#define REACHES(i, j) (!((i == cutA && j == cutB) || (i == cutB && j == cutA)))
#define LACKS_LOG(i) (!(servedByLog & BIT(i)))
#ifdef NO_VOUCH
#define ACCEPTS_KEY(i) (!(inForce & BIT(i)))
#else
#define ACCEPTS_KEY(i) (vouchLeft[i] > 0 && !(inForce & BIT(i)))
#endif

/* Entry i receives the heartbeat of entry j, which relays what j had heard until the last step. */
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
    :: !hasReadLog[i] && heard[i] == OTHERS(i) && vouchLeft[i] > 0 && (servedByLog & OTHERS(i)) == 0 ->
        vouchLeft[i] = VOUCH_STEPS
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
        /* the log serves a different set of entries */
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
        /* every entry receives heartbeats in this step, in any order */
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
