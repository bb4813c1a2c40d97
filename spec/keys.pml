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
#define T 2
#define BOUND (T + 1)
#define BIT(i) (1 << (i))
#define OTHERS(i) (7 - BIT(i))

bool withdrawn;             /* at entry 0 */
byte age;                   /* steps since, no more counted than needed */
bool recorded;              /* in the log */
byte flood;                 /* entries that have it in force */
byte served = 7;            /* entries that the log serves */
byte cutA, cutB;            /* the path that is cut; the same twice: none */
bool paused;                /* entry 2 sleeps in this step */
byte vouchLeft[N] = T;
byte heard[N];              /* peers heard, directly or through another, since the last step */
bool read[N];               /* read the log since the last step */

#define REACHES(i, j) (!((i == cutA && j == cutB) || (i == cutB && j == cutA)))
#define LACKS_LOG(i) (!(served & BIT(i)))
#ifdef NO_VOUCH
#define TAKES_KEY(i) (!(flood & BIT(i)))
#else
#define TAKES_KEY(i) (vouchLeft[i] > 0 && !(flood & BIT(i)))
#endif

/* Entry i hears entry j and what j has heard before. */
inline hear(i, j) {
#ifndef NO_FLOOD
    if
#ifdef NO_RELAY_OF_FLOOD
    :: (flood & BIT(j)) && j == 0 -> flood = flood | BIT(i)
#else
    :: (flood & BIT(j)) -> flood = flood | BIT(i)
#endif
    :: else
    fi;
#endif
    heard[i] = heard[i] | BIT(j) | (before[j] & OTHERS(i))
}

inline readLog(i) {
    read[i] = true;
    if
    :: recorded = recorded || (flood & BIT(i))
    :: skip /* the append failed */
    fi;
#ifdef TAKEN_BACK
    flood = flood & OTHERS(i);
#endif
    flood = flood | (recorded -> BIT(i) : 0)
}

inline step(i) {
    if
    :: i == 2 && paused -> skip
    :: else ->
        if
        :: LACKS_LOG(i) -> skip
        :: else -> readLog(i)
        fi;
        for (j : 0 .. 2) {
            if
            :: j != i && REACHES(i, j) && !(j == 2 && paused) -> hear(i, j)
            :: else
            fi
        }
    fi
}

inline renew(i) {
    if
    :: read[i] -> vouchLeft[i] = T
    :: !read[i] && heard[i] == OTHERS(i) && vouchLeft[i] > 0 && (served & OTHERS(i)) == 0 -> vouchLeft[i] = T
    :: else -> vouchLeft[i] = (vouchLeft[i] > 0 -> vouchLeft[i] - 1 : 0)
    fi;
    before[i] = heard[i];
    heard[i] = 0;
    read[i] = false
}

active proctype world() {
    byte i, j;
    byte before[N];
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
        select(served : 0 .. 7);
        /* the operator withdraws the key at entry 0 */
        if
        :: !withdrawn -> withdrawn = true; flood = flood | BIT(0)
        :: skip
        fi;
        if
        :: cutA == cutB -> paused = true
        :: paused = false
        fi;
        /* every entry hears in this step, in any order */
        if
        :: true -> step(0); step(1); step(2)
        :: true -> step(2); step(1); step(0)
        :: true -> step(1); step(0); step(2)
        :: true -> step(0); step(2); step(1)
        :: true -> step(1); step(2); step(0)
        :: true -> step(2); step(0); step(1)
        fi;
        renew(0); renew(1); renew(2);
        if
        :: withdrawn && age < BOUND -> age++
        :: else
        fi;
        assert(age < BOUND || !(TAKES_KEY(0) || TAKES_KEY(1) || TAKES_KEY(2)));
        i = 0; j = 0
       }
    od
}
