/* A task runs once although the ownership changes while it is being started.
 *
 * The earlier owner has not heard of the takeover. It reads the submission, appends the run to the journal, and sends
 * the start to executor 0 once the append was answered. The new owner reads the submissions, fences the journal and
 * reads the journal and, again, the submissions; then it polls executor 0 and may start the task on executor 1.
 * A call that was sent may be carried out late or never, and its answer may arrive late or never; a call without an
 * answer is repeated, which is the same as an answer that arrives late.
 */

/* mutant: NO_READ_AFTER_FENCE   submissions that came after the first read are not read before the journal is applied */
/* mutant: READ_BEFORE_FENCE     the journal is read before the earlier owner is fenced */
/* mutant: START_BEFORE_STORED   a start is sent before its run is stored */
/* mutant: NO_EXECUTOR_FENCE     an executor accepts a start of the earlier owner after a poll of the new one */

#ifdef START_BEFORE_STORED
#define MAY_SEND_START appendSent
#else
#define MAY_SEND_START runStored
#endif

#ifdef READ_BEFORE_FENCE
#define MAY_READ_JOURNAL true
#else
#define MAY_READ_JOURNAL fenceAnswered
#endif

#ifdef NO_EXECUTOR_FENCE
#define ACCEPTS_EARLIER_OWNER true
#else
#define ACCEPTS_EARLIER_OWNER !executorFenced
#endif

bool submitted;         /* the submission is stored */
bool earlierKnows;      /* the earlier owner has read it */
bool appendSent;        /* the earlier owner's append of the run was sent */
bool runStored;         /* and carried out */
bool startSent;
bool fenced;            /* the store refuses appends of the earlier owner */
bool fenceAnswered;
bool newKnows;          /* the new owner has read the submission */
bool journalRead;
bool journalHasRun;     /* what the new owner read there */
bool submissionsRead;   /* read again after the fence */
bool isLoaded;
bool runKnown;          /* the new owner knows that the run may be on executor 0 */
bool executorFenced;    /* executor 0 has answered a poll of the new owner */
bool runsOnFirst;       /* executor 0 has carried out the earlier owner's start */
bool runsOnSecond;      /* executor 1 has carried out the new owner's */

active proctype world() {
end:
    do
    :: atomic { !submitted -> submitted = true }

    /* the earlier owner */
    :: atomic { submitted && !earlierKnows -> earlierKnows = true }
    :: atomic { earlierKnows && !appendSent -> appendSent = true }
    :: atomic { appendSent && !runStored && !fenced -> runStored = true }
    :: atomic { MAY_SEND_START && !startSent -> startSent = true }
    :: atomic { startSent && !runsOnFirst && ACCEPTS_EARLIER_OWNER ->
            runsOnFirst = true;
            assert(!runsOnSecond)
        }

    /* the new owner */
    :: atomic { submitted && !newKnows && !fenced -> newKnows = true }
    :: atomic { !fenced -> fenced = true }
    :: atomic { fenced && !fenceAnswered -> fenceAnswered = true }
    :: atomic { MAY_READ_JOURNAL && !journalRead -> journalRead = true; journalHasRun = runStored }
#ifndef NO_READ_AFTER_FENCE
    :: atomic { fenceAnswered && !submissionsRead -> submissionsRead = true; newKnows = newKnows || submitted }
#else
    :: atomic { fenceAnswered && !submissionsRead -> submissionsRead = true }
#endif
    :: atomic { fenceAnswered && journalRead && submissionsRead && !isLoaded ->
            isLoaded = true;
            runKnown = journalHasRun && newKnows
        }
    :: atomic { isLoaded && submitted && !newKnows -> newKnows = true }

    /* the poll shows whether the run is there: if not, it will not start there any more */
    :: atomic { isLoaded && !executorFenced -> executorFenced = true; runKnown = runKnown && runsOnFirst }

    /* the new owner starts the task on executor 1, unless the run on executor 0 may be active */
    :: atomic { isLoaded && newKnows && !runKnown && !runsOnSecond ->
            runsOnSecond = true;
            assert(!runsOnFirst)
        }
    od
}
