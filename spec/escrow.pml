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
#define MOST 2      /* grants and returns of a member in one epoch */
#define BIT(m) (1 << (m))

byte epoch[N] = 1;          /* that a member obeys */
byte base[N];               /* in hand when it began */
byte taken[N];              /* total of grants received in it */
byte returned[N];           /* total of returns in it */
byte used[N];
byte removed, gone;
byte removedFirst;          /* removed before 0 was: later removals 0 cannot read without reading its own */
byte heard;                 /* entries that reported to the heir */
byte reportedBase[N];
bool taking;                /* the duty's epoch 2 is recorded */
bool open;                  /* its holder grants */
byte unheard;               /* what nobody had reported when it began to */

/* Ledgers of the holders, by epoch. */
typedef Ledger {
    byte granted[N];
    byte returned[N]
};
Ledger ledger[3];

#define HELD(m) (base[m] + taken[m] - returned[m])
#define CHARGE(k, m) (((k == 2 && (heard & BIT(m))) -> reportedBase[m] : 0) + ledger[k].granted[m] - ledger[k].returned[m])
#ifdef NO_SETTLE
#define CHARGED(k, m) ((removed & BIT(m)) -> 0 : CHARGE(k, m))
#else
#define CHARGED(k, m) ((gone & (k == 1 -> removedFirst : 7) & BIT(m)) -> 0 : CHARGE(k, m))
#endif
#define ALL_CHARGED(k) (CHARGED(k, 0) + CHARGED(k, 1) + CHARGED(k, 2))
#ifdef NO_UNHEARD
#define FREE(k) (CAPACITY - ALL_CHARGED(k))
#else
/* While a removed entry that never reported may still run something, what nobody reported is charged to it. */
#define FREE(k) (CAPACITY - ALL_CHARGED(k) - ((k == 2 && (removed & ~heard & ~gone) != 0) -> unheard : 0))
#endif
#ifdef NO_BARRIER
#define IS_EVERYBODY_HEARD true
#else
#define IS_EVERYBODY_HEARD ((heard | removed) == 7)
#endif
#define IS_OPEN(k) (k == 1 || open)
#ifdef NO_EPOCH
#define TAKES(m, k) true
#else
#define TAKES(m, k) (epoch[m] == k)
#endif

inline startEpoch(m) {
    reportedBase[m] = HELD(m);
    base[m] = HELD(m);
    taken[m] = 0;
#ifndef RETURNS_OF_OLD_EPOCH
    returned[m] = 0;
#else
    base[m] = base[m] + returned[m];
#endif
    epoch[m] = 2;
    heard = heard | BIT(m)
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
        :: IS_OPEN(k) && !(gone & BIT(k - 1)) && ledger[k].granted[m] < MOST && FREE(k) > 0 &&
            (k == 1 || !(removed & BIT(m))) ->
            ledger[k].granted[m] = ledger[k].granted[m] + 1
        /* the member takes it in */
#ifdef NO_TOTALS
        :: TAKES(m, k) && ledger[k].granted[m] > 0 && taken[m] < MOST && !(gone & BIT(m)) -> taken[m] = taken[m] + 1
#else
        :: TAKES(m, k) && taken[m] < ledger[k].granted[m] && !(gone & BIT(m)) -> taken[m] = taken[m] + 1
#endif
        /* it uses a permit, and ends the use */
        :: used[m] < HELD(m) && !(gone & BIT(m)) ->
            used[m] = used[m] + 1;
            assert(used[0] + used[1] + used[2] <= CAPACITY)
        :: used[m] > 0 -> used[m] = used[m] - 1
        /* it returns one, and the holder of its epoch learns so */
        :: used[m] < HELD(m) && returned[m] < MOST && !(gone & BIT(m)) -> returned[m] = returned[m] + 1
        :: epoch[m] == k && IS_OPEN(k) && ledger[k].returned[m] < returned[m] ->
            ledger[k].returned[m] = ledger[k].returned[m] + 1
        /* an entry is removed; later it is gone for sure */
        :: m != 1 && !(removed & BIT(m)) ->
            removed = removed | BIT(m);
            removedFirst = ((removed & BIT(0)) -> removedFirst : removed)
        :: (removed & BIT(m)) && !(gone & BIT(m)) -> gone = gone | BIT(m); used[m] = 0
        /* the heir takes the duty; each member promises and reports */
        :: (removed & BIT(0)) && !taking -> taking = true; startEpoch(1)
        :: taking && m == 2 && epoch[2] == 1 && !(removed & BIT(2)) ->
#ifdef REPORT_WITHOUT_PROMISE
            reportedBase[2] = HELD(2);
            heard = heard | BIT(2)
#else
            startEpoch(2)
#endif
        :: taking && !open && IS_EVERYBODY_HEARD -> open = true; unheard = CAPACITY - ALL_CHARGED(2)
        fi;
        m = 0; k = 0
       }
    od
}
