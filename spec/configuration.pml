/* A configuration change that was accepted is in force on every entry and is never reverted.
 *
 * Two operators change the same setting through different entries; each change names the version that it was made
 * from. An append may take effect although its answer is lost; the same operation is then appended again, as often as
 * the log has space for. Each entry folds the log at its own pace. A snapshot may be taken at any offset. An entry may
 * be replaced by one that starts from the snapshot; the new entry puts its state in force only when it has folded up to
 * the end that the log had when it started.
 */

/* mutant: NO_VERSION_CHECK       the fold accepts a change that was made from an older version */
/* mutant: NO_DUPLICATE_CHECK     the fold accepts the same operation id twice */
/* mutant: SNAPSHOT_WITHOUT_IDS   a snapshot omits the ids of the operations that were applied */
/* mutant: SNAPSHOT_IN_FORCE      a replaced entry puts an old snapshot in force before it has folded the rest */
/* mutant: TOLD_BY_APPEND         an operator is told "accepted" when the append is answered, not when it is folded */

#define LENGTH 5
#define N 2
#define OPERATORS 2
#define BIT(o) (1 << (o))

/* A record holds the operator whose change it is and the version that the change was made from. The record's offset
 * becomes the new version. */
byte recordCount;
byte author[LENGTH + 1];        /* by offset, from 1: the operator */
byte basedOn[LENGTH + 1];       /* by offset, from 1: the version that the change was made from */

byte folded[N];             /* offset of the last record that the entry has folded */
byte acceptedVersion[N];    /* version of the last change that the entry accepted */
byte applied[N];            /* operation ids that the entry has folded, as bits */
byte inForce[N];            /* version in force at the entry, as callers see it */
byte foldTarget[N];         /* offset to fold to before the entry puts its state in force */

byte snapshotAt, snapshotVersion, snapshotApplied;

bool changeSent[OPERATORS];
byte baseVersion[OPERATORS];        /* version that the change was made from */
bool toldAccepted[OPERATORS];       /* the operator was told "accepted" */
byte acceptedAt[OPERATORS];         /* offset at which the change was first accepted; 0: not accepted */
bool toldRefused[OPERATORS];        /* the operator was told "refused" */

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
    /* a change that was refused, or was accepted at another offset, is not accepted later */
    assert(!toldRefused[o] && (acceptedAt[o] == 0 || acceptedAt[o] == at));
    /* a change does not overwrite the other operator's change that its author had not seen */
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
    /* the operator at this entry is told the outcome of its change */
    if
    :: i == o && !toldAccepted[o] && isAccepted -> toldAccepted[o] = true
    :: i == o && !toldAccepted[o] && !isAccepted -> toldRefused[o] = true; assert(acceptedAt[o] == 0)
    :: else
    fi;
    isAccepted = false;
    putInForce(i)
}

/* Puts the state in force once the entry has folded up to the end that the log had when the entry started. */
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
        /* an operator changes the setting, based on the version in force at its entry */
        :: !changeSent[i] -> changeSent[i] = true; baseVersion[i] = inForce[i]
        /* the append takes effect; it is repeated until its outcome has been folded */
        :: changeSent[i] && !toldAccepted[i] && !toldRefused[i] && recordCount < LENGTH ->
            recordCount++;
            author[recordCount] = i;
            basedOn[recordCount] = baseVersion[i];
#ifdef TOLD_BY_APPEND
            toldAccepted[i] = true
#endif
        :: folded[i] < recordCount -> fold(i)
        /* any entry takes a snapshot */
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
        /* no operator is told both "accepted" and "refused" */
        assert(!toldAccepted[0] || !toldRefused[0]);
        assert(!toldAccepted[1] || !toldRefused[1]);
        /* entries that have folded to the same offset have the same version */
        assert(folded[0] != folded[1] || acceptedVersion[0] == acceptedVersion[1]);
        i = 0; o = 0
       }
    od
}
