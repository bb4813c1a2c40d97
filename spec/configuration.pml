/* An accepted configuration is in force everywhere and never reverts.
 *
 * Two operators change the same setting through different entries, each from the version that it read. An append may
 * take effect although its answer is lost; then the same operation is appended again, any number of times up to the
 * log's length. Entries fold the log at their own pace; a snapshot may be taken at any offset, and an entry may be
 * replaced by one that starts from it and puts its state in force when it has folded to the end that it saw at start.
 */

/* mutant: NO_VERSION_CHECK       the fold accepts a change made from an older version */
/* mutant: NO_DUPLICATE_CHECK     the fold accepts an operation id again */
/* mutant: SNAPSHOT_WITHOUT_IDS   a snapshot leaves out the operation ids that were applied */
/* mutant: SNAPSHOT_IN_FORCE      a replaced entry puts an old snapshot in force before it has folded the rest */
/* mutant: TOLD_BY_APPEND         an operator is told "accepted" when the append is answered, not when it is folded */

#define LENGTH 5
#define N 2
#define OPERATORS 2
#define BIT(o) (1 << (o))

/* A record: which operator's change, made from which version. Its offset is the version that it makes. */
byte recordCount;
byte author[LENGTH + 1];        /* 1-based offsets */
byte basedOn[LENGTH + 1];

byte folded[N];                 /* offset through which an entry has folded */
byte acceptedVersion[N];                /* accepted last */
byte applied[N];                /* operation ids seen */
byte inForce[N];                /* version in force, as callers see it */
byte foldTarget[N];                 /* an entry that starts serves when it has folded so far */

byte snapshotAt, snapshotVersion, snapshotApplied;

bool changeSent[OPERATORS];       /* a change was sent */
byte baseVersion[OPERATORS];
bool toldAccepted[OPERATORS];           /* "accepted" */
byte acceptedAt[OPERATORS];          /* offset at which a change was accepted first */
bool toldRefused[OPERATORS];        /* an operator was told "refused" */

#ifdef NO_DUPLICATE_CHECK
#define IS_DUPLICATE(i, o) false
#else
#define IS_DUPLICATE(i, o) (applied[i] & BIT(o))
#endif
#ifdef NO_VERSION_CHECK
#define IS_STALE(i, at) false
#else
#define IS_STALE(i, at) (acceptedVersion[i] > basedOn[at])
#endif

inline accept(i, o, at) {
    acceptedVersion[i] = at;
    /* a change that was refused, or is accepted already, does not win later */
    assert(!toldRefused[o] && (acceptedAt[o] == 0 || acceptedAt[o] == at));
    /* nor does it undo another's that its author had not seen */
    assert(acceptedAt[1 - o] == 0 || acceptedAt[1 - o] > at || acceptedAt[1 - o] <= basedOn[at]);
    acceptedAt[o] = at
}

inline fold(i) {
    folded[i] = folded[i] + 1;
    o = author[folded[i]];
    if
    :: IS_DUPLICATE(i, o) -> isAccepted = (acceptedAt[o] != 0)
    :: !IS_DUPLICATE(i, o) && IS_STALE(i, folded[i]) ->
        applied[i] = applied[i] | BIT(o);
        assert(!toldAccepted[o]);
        isAccepted = false
    :: !IS_DUPLICATE(i, o) && !IS_STALE(i, folded[i]) ->
        applied[i] = applied[i] | BIT(o);
        accept(i, o, folded[i]);
        isAccepted = true
    fi;
    /* the operator at this entry is told what became of its change */
    if
    :: i == o && !toldAccepted[o] && isAccepted -> toldAccepted[o] = true
    :: i == o && !toldAccepted[o] && !isAccepted -> toldRefused[o] = true; assert(acceptedAt[o] == 0)
    :: else
    fi;
    isAccepted = false;
    putInForce(i)
}

/* The state comes into force once an entry has folded as far as the log reached when it started. */
inline putInForce(i) {
    if
#ifdef SNAPSHOT_IN_FORCE
    :: true ->
#else
    :: folded[i] >= foldTarget[i] ->
#endif
        assert(acceptedVersion[i] >= inForce[i]);
        inForce[i] = acceptedVersion[i]
    :: else
    fi
}

active proctype world() {
    byte i, o;
    bool isAccepted;
end:
    do
    :: atomic {
        select(i : 0 .. 1);
        if
        /* an operator changes the setting, from what its entry has in force */
        :: !changeSent[i] -> changeSent[i] = true; baseVersion[i] = inForce[i]
        /* the append takes effect; it is tried again until its outcome was folded */
        :: changeSent[i] && !toldAccepted[i] && !toldRefused[i] && recordCount < LENGTH ->
            recordCount++;
            author[recordCount] = i;
            basedOn[recordCount] = baseVersion[i];
#ifdef TOLD_BY_APPEND
            toldAccepted[i] = true
#endif
        :: folded[i] < recordCount -> fold(i)
        /* somebody takes a snapshot */
        :: folded[i] > snapshotAt ->
            snapshotAt = folded[i];
            snapshotVersion = acceptedVersion[i];
#ifndef SNAPSHOT_WITHOUT_IDS
            snapshotApplied = applied[i]
#endif
        /* an entry is replaced by one that starts from the snapshot */
        :: snapshotAt > 0 ->
            folded[i] = snapshotAt;
            acceptedVersion[i] = snapshotVersion;
            applied[i] = snapshotApplied;
            foldTarget[i] = recordCount;
            putInForce(i)
        fi;
        /* nobody is told both */
        assert(!toldAccepted[0] || !toldRefused[0]);
        assert(!toldAccepted[1] || !toldRefused[1]);
        /* entries that folded equally far agree */
        assert(folded[0] != folded[1] || acceptedVersion[0] == acceptedVersion[1]);
        i = 0; o = 0
       }
    od
}
