/* The permits of one resource that are in use never exceed its capacity.
 *
 * Entry 0 holds epoch 1 of the duty; entry 1 may take epoch 2 once 0 is removed. Grants and returns are sent as totals
 * since the start of the epoch, so that a message may be late, repeated, reordered or lost: a receiver may see any
 * total up to the sender's present one. A removed entry has crashed or is only paused: its running requests continue,
 * and it may even start more, until it is certain to have terminated. A holder may assume this after a waiting time.
 */

/* mutant: NO_BARRIER            the successor grants before all members have reported */
/* mutant: NO_UNHEARD            the successor charges nothing for removed entries that never reported */
/* mutant: NO_EPOCH              a member accepts grants of an older epoch */
/* mutant: NO_TOTALS             a repeated grant message adds to the permits held */
/* mutant: NO_SETTLE             a removed entry is no longer charged from the moment of its removal */
/* mutant: RETURNS_OF_OLD_EPOCH  returns of the old epoch are counted in the new one */
/* mutant: REPORT_WITHOUT_PROMISE a member reports its permits and still accepts grants of the old epoch */

#define N 3
#define CAPACITY 2
#define MAX_TOTAL 2     /* largest total of grants, and of returns, of a member in one epoch */
#define BIT(m) (1 << (m))

byte epoch[N] = 1;              /* epoch whose grants the member accepts */
byte heldAtStart[N];            /* permits held when that epoch began */
byte receivedGrants[N];         /* total of permits received in that epoch */
byte returned[N];               /* total of permits returned in that epoch */
byte used[N];                   /* permits in use */
byte removed, terminated;       /* entries, as bits */
byte removedBeforeHolder;       /* removed before 0 was; 0 cannot read later removals without reading its own */
byte reported;                  /* entries that reported to the successor, as bits */
byte reportedHeld[N];           /* permits held according to the report */
bool takeoverRecorded;          /* the log holds the record of epoch 2 */
bool successorActive;           /* the holder of epoch 2 grants permits */
byte unreportedPermits;         /* capacity that no report accounted for when the successor became active */

/* What the holder of each epoch has granted, and the returns that it has counted. */
typedef Ledger {
    byte granted[N];
    byte returned[N]
};
Ledger ledger[3];

#define HELD(m) (heldAtStart[m] + receivedGrants[m] - returned[m])
#define CHARGE(k, m) \
    (((k == 2 && (reported & BIT(m))) -> reportedHeld[m] : 0) + ledger[k].granted[m] - ledger[k].returned[m])
#ifdef NO_SETTLE
#define CHARGED(k, m) ((removed & BIT(m)) -> 0 : CHARGE(k, m))
#else
#define CHARGED(k, m) ((terminated & (k == 1 -> removedBeforeHolder : 7) & BIT(m)) -> 0 : CHARGE(k, m))
#endif
#define TOTAL_CHARGED(k) (CHARGED(k, 0) + CHARGED(k, 1) + CHARGED(k, 2))
#ifdef NO_UNHEARD
#define FREE(k) (CAPACITY - TOTAL_CHARGED(k))
#else
/* While a removed entry that never reported may still run requests, all permits that were not reported are charged. */
#define FREE(k) \
    (CAPACITY - TOTAL_CHARGED(k) - ((k == 2 && (removed & ~reported & ~terminated) != 0) -> unreportedPermits : 0))
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
        /* the member receives the grant */
#ifdef NO_TOTALS
        :: ACCEPTS(m, k) && ledger[k].granted[m] > 0 && receivedGrants[m] < MAX_TOTAL && !(terminated & BIT(m)) ->
            receivedGrants[m] = receivedGrants[m] + 1
#else
        :: ACCEPTS(m, k) && receivedGrants[m] < ledger[k].granted[m] && !(terminated & BIT(m)) ->
            receivedGrants[m] = receivedGrants[m] + 1
#endif
        /* the member acquires a permit for a request, and releases it */
        :: used[m] < HELD(m) && !(terminated & BIT(m)) ->
            used[m] = used[m] + 1;
            assert(used[0] + used[1] + used[2] <= CAPACITY)
        :: used[m] > 0 -> used[m] = used[m] - 1
        /* the member returns a permit, and the holder of its epoch counts the return */
        :: used[m] < HELD(m) && returned[m] < MAX_TOTAL && !(terminated & BIT(m)) -> returned[m] = returned[m] + 1
        :: epoch[m] == k && IS_ACTIVE(k) && ledger[k].returned[m] < returned[m] ->
            ledger[k].returned[m] = ledger[k].returned[m] + 1
        /* an entry is removed; later it is certain to have terminated */
        :: m != 1 && !(removed & BIT(m)) ->
            removed = removed | BIT(m);
            removedBeforeHolder = ((removed & BIT(0)) -> removedBeforeHolder : removed)
        :: (removed & BIT(m)) && !(terminated & BIT(m)) -> terminated = terminated | BIT(m); used[m] = 0
        /* the successor takes the duty; each member promises to ignore epoch 1 and reports */
        :: (removed & BIT(0)) && !takeoverRecorded -> takeoverRecorded = true; startEpoch(1)
        :: takeoverRecorded && m == 2 && epoch[2] == 1 && !(removed & BIT(2)) ->
#ifdef REPORT_WITHOUT_PROMISE
            reportedHeld[2] = HELD(2);
            reported = reported | BIT(2)
#else
            startEpoch(2)
#endif
        :: takeoverRecorded && !successorActive && ALL_REPORTED ->
            successorActive = true;
            unreportedPermits = CAPACITY - TOTAL_CHARGED(2)
        fi;
        m = 0; k = 0
       }
    od
}
