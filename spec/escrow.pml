/* Permits of one resource in use never exceed its capacity.
 *
 * Entry 0 holds epoch 1 of the duty; entry 1 may take epoch 2 once 0 is removed. Grants and returns are totals since
 * the start of the epoch, so that a message may be late, repeated, overtaken or lost: a receiver takes in any total
 * up to the one that the sender has reached. A removed entry was crashed or only paused: what it runs goes on, and
 * it may even start more, until it is gone, which a holder knows by waiting.
 */

/* mutant: NO_BARRIER            the heir grants before everybody has reported */
/* mutant: NO_UNHEARD            it charges nothing for removed entries that never reported */
/* mutant: NO_EPOCH              a member takes grants of an older epoch */
/* mutant: NO_TOTALS             a repeated grant adds to what is in hand */
/* mutant: NO_SETTLE             a removed entry is charged no more as soon as it is removed */
/* mutant: RETURNS_OF_OLD_EPOCH  returns of the old epoch are counted in the new one */
/* mutant: REPORT_WITHOUT_PROMISE a member reports what it holds and goes on to obey the old epoch */

#define N 3
#define CAPACITY 2
#define MAX_TOTAL 2      /* grants and returns of a member in one epoch */
#define BIT(m) (1 << (m))

byte epoch[N] = 1;          /* that a member obeys */
byte heldAtStart[N];               /* in hand when it began */
byte receivedGrants[N];              /* total of grants received in it */
byte returned[N];           /* total of returns in it */
byte used[N];
byte removed, terminated;
byte removedBeforeHolder;          /* removed before 0 was: later removals 0 cannot read without reading its own */
byte reported;                 /* entries that reported to the heir */
byte reportedHeld[N];
bool takeoverRecorded;                /* the duty's epoch 2 is recorded */
bool successorActive;                  /* its holder grants */
byte unreportedPermits;               /* what nobody had reported when it began to */

/* Ledgers of the holders, by epoch. */
typedef Ledger {
    byte granted[N];
    byte returned[N]
};
Ledger ledger[3];

#define HELD(m) (heldAtStart[m] + receivedGrants[m] - returned[m])
#define CHARGE(k, m) (((k == 2 && (reported & BIT(m))) -> reportedHeld[m] : 0) + ledger[k].granted[m] - ledger[k].returned[m])
#ifdef NO_SETTLE
#define CHARGED(k, m) ((removed & BIT(m)) -> 0 : CHARGE(k, m))
#else
#define CHARGED(k, m) ((terminated & (k == 1 -> removedBeforeHolder : 7) & BIT(m)) -> 0 : CHARGE(k, m))
#endif
#define TOTAL_CHARGED(k) (CHARGED(k, 0) + CHARGED(k, 1) + CHARGED(k, 2))
#ifdef NO_UNHEARD
#define FREE(k) (CAPACITY - TOTAL_CHARGED(k))
#else
/* While a removed entry that never reported may still run something, what nobody reported is charged to it. */
#define FREE(k) (CAPACITY - TOTAL_CHARGED(k) - ((k == 2 && (removed & ~reported & ~terminated) != 0) -> unreportedPermits : 0))
#endif
#ifdef NO_BARRIER
#define ALL_REPORTED true
#else
#define ALL_REPORTED ((reported | removed) == 7)
#endif
#define IS_ACTIVE(k) (k == 1 || successorActive)
#ifdef NO_EPOCH
#define ACCEPTS(m, k) true
#else
#define ACCEPTS(m, k) (epoch[m] == k)
#endif

inline startEpoch(m) {
    reportedHeld[m] = HELD(m);
    heldAtStart[m] = HELD(m);
    receivedGrants[m] = 0;
#ifndef RETURNS_OF_OLD_EPOCH
    returned[m] = 0;
#else
    heldAtStart[m] = heldAtStart[m] + returned[m];
#endif
    epoch[m] = 2;
    reported = reported | BIT(m)
}

active proctype world() {
    byte m, k;
end:
    do
    :: atomic {
        select(m : 0 .. 2);
        select(k : 1 .. 2);
        if
        /* a holder grants a permit */
        :: IS_ACTIVE(k) && !(terminated & BIT(k - 1)) && ledger[k].granted[m] < MAX_TOTAL && FREE(k) > 0 &&
            (k == 1 || !(removed & BIT(m))) ->
            ledger[k].granted[m] = ledger[k].granted[m] + 1
        /* the member takes it in */
#ifdef NO_TOTALS
        :: ACCEPTS(m, k) && ledger[k].granted[m] > 0 && receivedGrants[m] < MAX_TOTAL && !(terminated & BIT(m)) -> receivedGrants[m] = receivedGrants[m] + 1
#else
        :: ACCEPTS(m, k) && receivedGrants[m] < ledger[k].granted[m] && !(terminated & BIT(m)) -> receivedGrants[m] = receivedGrants[m] + 1
#endif
        /* it uses a permit, and ends the use */
        :: used[m] < HELD(m) && !(terminated & BIT(m)) ->
            used[m] = used[m] + 1;
            assert(used[0] + used[1] + used[2] <= CAPACITY)
        :: used[m] > 0 -> used[m] = used[m] - 1
        /* it returns one, and the holder of its epoch learns so */
        :: used[m] < HELD(m) && returned[m] < MAX_TOTAL && !(terminated & BIT(m)) -> returned[m] = returned[m] + 1
        :: epoch[m] == k && IS_ACTIVE(k) && ledger[k].returned[m] < returned[m] ->
            ledger[k].returned[m] = ledger[k].returned[m] + 1
        /* an entry is removed; later it is gone for sure */
        :: m != 1 && !(removed & BIT(m)) ->
            removed = removed | BIT(m);
            removedBeforeHolder = ((removed & BIT(0)) -> removedBeforeHolder : removed)
        :: (removed & BIT(m)) && !(terminated & BIT(m)) -> terminated = terminated | BIT(m); used[m] = 0
        /* the heir takes the duty; each member promises and reports */
        :: (removed & BIT(0)) && !takeoverRecorded -> takeoverRecorded = true; startEpoch(1)
        :: takeoverRecorded && m == 2 && epoch[2] == 1 && !(removed & BIT(2)) ->
#ifdef REPORT_WITHOUT_PROMISE
            reportedHeld[2] = HELD(2);
            reported = reported | BIT(2)
#else
            startEpoch(2)
#endif
        :: takeoverRecorded && !successorActive && ALL_REPORTED -> successorActive = true; unreportedPermits = CAPACITY - TOTAL_CHARGED(2)
        fi;
        m = 0; k = 0
       }
    od
}
