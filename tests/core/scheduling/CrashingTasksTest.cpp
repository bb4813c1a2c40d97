#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/ExecutorClock.h"
#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace hemlockvane::scheduling {

class CrashingTasksTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(CrashingTasksTest);
    CPPUNIT_TEST(task_crashesEveryExecutor_isNotStartedThreeTimesAfterThreeCrashes);
    CPPUNIT_TEST(task_crashesEveryExecutor_isGivenUpWithTheSecond);
    CPPUNIT_TEST(longRunningTask_crashesEveryExecutor_isGivenUpWithTheSecond);
    CPPUNIT_TEST(duplicates_executorsCrash_noThirdCopyIsStarted);
    CPPUNIT_TEST(gang_crashesEveryExecutor_isGivenUp);
    CPPUNIT_TEST(takeover_betweenTwoCrashes_countGoesOn);
    CPPUNIT_TEST(crash_tasksThatWereAtWorkLonger_areNotSuspected);
    CPPUNIT_TEST(crash_severalSuspects_areTriedAloneAndGoOn);
    CPPUNIT_TEST(trial_executor_takesNoOtherStartUntilItIsOver);
    CPPUNIT_TEST(trial_startedBesideOtherFreshStart_isNot);
    CPPUNIT_TEST(trial_otherExecutorIsOpen_avoidsTheOneThatCrashed);
    CPPUNIT_TEST(trial_outlived_endsSuspicion);
    CPPUNIT_TEST(trials_severalSuspects_leaveHalfOfThePool);
    CPPUNIT_TEST(crash_executorDrainsOrLeaves_isNotCounted);
    CPPUNIT_TEST(crash_startFoundOtherIncarnation_isNotCounted);
    CPPUNIT_TEST(crash_startNeverSent_isNotCounted);
    CPPUNIT_TEST(crash_startUnanswered_taskIsGivenUpOnlyForCertainCrashes);
    CPPUNIT_TEST(crash_runOfEarlierOwnerNeverReported_taskIsGivenUpOnlyForCertainCrashes);
    CPPUNIT_TEST(silence_executorAnswersAgain_isForgotten);
    CPPUNIT_TEST(silence_leasesExpireAgainAndAgain_taskIsNotGivenUpEarly);
    CPPUNIT_TEST(silence_fourExecutorsCutOff_taskIsNotGivenUp);
    CPPUNIT_TEST(silence_endsInNewLife_taskIsGivenUpWithTheSecond);
    CPPUNIT_TEST(silence_fourExecutorsSilent_taskIsNotStarted);
    CPPUNIT_TEST(silence_fourExecutorsGone_taskIsStartedOnTrial);
    CPPUNIT_TEST(crash_runRestoredAfterTakeover_countsAsPossible);
    CPPUNIT_TEST(crash_runsRestoredByFourOwners_taskIsStartedOnTrial);
    CPPUNIT_TEST(crash_startsUnansweredFourTimes_taskIsGivenUp);
    CPPUNIT_TEST(crash_afterItsTaskIsDone_jobGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    auto task_crashesEveryExecutor_isNotStartedThreeTimesAfterThreeCrashes() -> void
    {
        submit({ step(1, 1000) });
        int startsAfterThreeCrashes = 0;
        for (int crashes = 0; crashes < crashesPlayed; ++crashes) {
            const auto actions = plan();
            if (actions.empty())
                break;
            answerStarts(actions);
            startsAfterThreeCrashes += crashes >= 3 ? 1 : 0;
            m_now += crashAfter;
            restart(actions[0].m_executor);
            m_now += downTime;
        }
        CPPUNIT_ASSERT(startsAfterThreeCrashes < 3);
    }

    auto task_crashesEveryExecutor_isGivenUpWithTheSecond() -> void
    {
        submit({ step(1, 1000) });
        crashUnderNextStarts();
        CPPUNIT_ASSERT(phase() == JobPhase::Queued || phase() == JobPhase::Running);
        crashUnderNextStarts();
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto longRunningTask_crashesEveryExecutor_isGivenUpWithTheSecond() -> void
    {
        auto spec = step(1, 1000);
        spec.m_isLongRunning = true;
        submit({ spec });
        crashUnderNextStarts();
        crashUnderNextStarts();
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    // Guards against a copy for each executor that stops answering, before it is known that it has crashed.
    auto duplicates_executorsCrash_noThirdCopyIsStarted() -> void
    {
        addExecutor("e2");
        auto spec = step(1, 1000);
        spec.m_allowsDuplicates = true;
        submit({ spec });
        for (int copy = 0; copy < 2; ++copy) {
            const auto starts = startAll();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts.size());
            m_now += crashAfter;
            silence(starts[0].m_executor);
        }
        m_now += trialTime;
        CPPUNIT_ASSERT(plan().empty());
        restart(0);
        CPPUNIT_ASSERT(plan().empty());
        restart(1);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto gang_crashesEveryExecutor_isGivenUp() -> void
    {
        auto spec = step(2, 1000);
        spec.m_isGang = true;
        submit({ spec });
        crashUnderNextStarts();
        report(0, {});
        report(1, {});
        crashUnderNextStarts();
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto takeover_betweenTwoCrashes_countGoesOn() -> void
    {
        submit({ step(1, 1000) });
        crashUnderNextStarts();
        const auto progress = progressOf(m_scheduler, *findJob(m_scheduler, job));
        setUp();
        submit({ step(1, 1000) });
        restoreProgress(m_scheduler, job, progress, m_now);
        crashUnderNextStarts();
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    auto crash_tasksThatWereAtWorkLonger_areNotSuspected() -> void
    {
        submit({ step(2, 3000) });
        const auto older = startAll();
        CPPUNIT_ASSERT_EQUAL(older[0].m_executor, older[1].m_executor);
        m_now += trialTime + crashAfter;
        submitOther({ step(1, 100) });
        const auto culprit = startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, culprit.size());
        CPPUNIT_ASSERT_EQUAL(older[0].m_executor, culprit[0].m_executor);
        m_now += crashAfter;
        restart(older[0].m_executor);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, older[0].m_task)->m_crashes);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, older[1].m_task)->m_crashes);
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, culprit[0].m_task)->m_crashes);
    }

    // One of four tasks crashes its executors; the others are done, and the job fails for that one only.
    auto crash_severalSuspects_areTriedAloneAndGoOn() -> void
    {
        addExecutor("e2");
        addExecutor("e3");
        submit({ step(4, 1000) });
        std::set<std::uint32_t> done;
        int crashes = 0;
        for (int round = 0; round < roundsPlayed && phase() != JobPhase::Failed; ++round) {
            const auto starts = startAll();
            m_now += crashAfter;
            std::set<ExecutorIndex> crashed;
            for (const auto& start : starts) {
                if (start.m_task.m_index == 0)
                    crashed.insert(start.m_executor);
            }
            for (const auto& start : starts) {
                if (!crashed.contains(start.m_executor)) {
                    reportEnd(start, RunOutcome::Done);
                    done.insert(start.m_task.m_index);
                }
            }
            for (const auto index : crashed)
                restart(index);
            crashes += static_cast<int>(crashed.size());
            m_now += downTime;
        }
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
        CPPUNIT_ASSERT_EQUAL(2, crashes);
        CPPUNIT_ASSERT(!done.contains(0));
    }

    auto trial_executor_takesNoOtherStartUntilItIsOver() -> void
    {
        suspectOne();
        markTerminated(m_scheduler, 1, m_now);
        const auto trial = startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, trial.size());
        submitOther({ step(1, 1000) });
        CPPUNIT_ASSERT(plan().empty());
        m_now += trialTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
    }

    auto trial_startedBesideOtherFreshStart_isNot() -> void
    {
        suspectOne();
        markTerminated(m_scheduler, 1, m_now);
        submitOther({ step(1, 1000) });
        // The other job's start is planned with the suspect's, or before it; never both on one executor.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
        CPPUNIT_ASSERT(plan().empty());
    }

    // Guards against a sound task that is given up for two crashes of one faulty executor.
    auto trial_otherExecutorIsOpen_avoidsTheOneThatCrashed() -> void
    {
        submit({ step(1, 1000) });
        const auto first = startAll().at(0);
        m_now += crashAfter;
        restart(first.m_executor);
        m_scheduler.m_executors[1 - first.m_executor]->m_activeLongRunningRuns = 1;
        const auto starts = startAll();
        const auto trial = std::find_if(
            starts.begin(), starts.end(), [&](const Action& start) { return start.m_task == first.m_task; });
        CPPUNIT_ASSERT(trial != starts.end());
        CPPUNIT_ASSERT_EQUAL(1 - first.m_executor, trial->m_executor);
    }

    auto trial_outlived_endsSuspicion() -> void
    {
        suspectOne();
        const auto trial = startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, trial.size());
        auto& task = *findTask(m_scheduler, trial[0].m_task);
        CPPUNIT_ASSERT(needsTrial(m_scheduler, task));
        m_now += trialTime;
        report(trial[0].m_executor, { { trial[0].m_task, trial[0].m_run, {}, 10, 0 } });
        CPPUNIT_ASSERT(!needsTrial(m_scheduler, task));
    }

    auto trials_severalSuspects_leaveHalfOfThePool() -> void
    {
        for (const auto* id : { "e2", "e3" })
            addExecutor(id);
        submit({ step(6, 1000) });
        startAll();
        m_now += crashAfter;
        for (ExecutorIndex index = 0; index < 4; ++index)
            restart(index);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, startAll().size());
        CPPUNIT_ASSERT(plan().empty());
        m_now += trialTime;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, startAll().size());
    }

    auto crash_executorDrainsOrLeaves_isNotCounted() -> void
    {
        submit({ step(1, 1000) });
        const auto drained = startAll();
        m_scheduler.m_executors[drained[0].m_executor]->m_entry.m_isDraining = true;
        restart(drained[0].m_executor);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, drained[0].m_task)->m_crashes);
        const auto moved = startAll();
        m_scheduler.m_executors[moved[0].m_executor]->m_isLeaving = true;
        restart(moved[0].m_executor);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, moved[0].m_task)->m_crashes);
    }

    // Guards against a sound task that is given up because it was sent to an executor that had crashed before.
    auto crash_startFoundOtherIncarnation_isNotCounted() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        noteStartSent(m_scheduler, start, m_now);
        applyStartAnswer(
            m_scheduler, start.m_executor, start.m_task, start.m_run, StartAnswer::OtherIncarnation, false, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, start.m_task)->m_crashes);
    }

    auto crash_startNeverSent_isNotCounted() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        restart(start.m_executor);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, start.m_task)->m_crashes);
    }

    // Guards against a job that is failed although its task was never started: its executor had crashed before.
    auto crash_startUnanswered_taskIsGivenUpOnlyForCertainCrashes() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        noteStartSent(m_scheduler, start, m_now);
        applyStartAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, StartAnswer::Unknown, true, m_now);
        restart(start.m_executor);
        m_now += downTime;
        crashUnderNextStarts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto crash_runOfEarlierOwnerNeverReported_taskIsGivenUpOnlyForCertainCrashes() -> void
    {
        submit({ step(1, 1000) });
        const auto start = plan().at(0);
        const auto progress = progressOf(m_scheduler, *findJob(m_scheduler, job));
        setUp();
        submit({ step(1, 1000) });
        restoreProgress(m_scheduler, job, progress, m_now);
        restart(start.m_executor);
        m_now += downTime;
        crashUnderNextStarts();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    auto silence_executorAnswersAgain_isForgotten() -> void
    {
        const auto start = silentUntilLeaseExpires();
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_possibleCrashes);
        report(start.m_executor, {});
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, start.m_task)->m_possibleCrashes);
        CPPUNIT_ASSERT(!needsTrial(m_scheduler, *findTask(m_scheduler, start.m_task)));
    }

    // Guards against sound work that is given up because executors were cut off.
    auto silence_leasesExpireAgainAndAgain_taskIsNotGivenUpEarly() -> void
    {
        addExecutor("e2");
        silentUntilLeaseExpires();
        silentUntilLeaseExpires();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against a job shown as failed because executors were cut off just after they had started its task.
    auto silence_fourExecutorsCutOff_taskIsNotGivenUp() -> void
    {
        for (const auto* id : { "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" })
            addExecutor(id);
        ExecutorIndex silent = 0;
        for (int silences = 0; silences < 4; ++silences)
            silent = silentUntilLeaseExpires().m_executor;
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
        report(silent, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against a fifth start of a task under which four executors may have crashed.
    auto silence_fourExecutorsSilent_taskIsNotStarted() -> void
    {
        for (const auto* id : { "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" })
            addExecutor(id);
        for (int silences = 0; silences < 4; ++silences)
            silentUntilLeaseExpires();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, startAll().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

    // Guards against a task that waits for ever for word of executors that have left.
    auto silence_fourExecutorsGone_taskIsStartedOnTrial() -> void
    {
        for (const auto* id : { "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" })
            addExecutor(id);
        std::vector<Action> silent;
        for (int silences = 0; silences < 4; ++silences)
            silent.push_back(silentUntilLeaseExpires());
        CPPUNIT_ASSERT(startAll().empty());
        for (const auto& start : silent)
            unregisterExecutor(m_scheduler, m_scheduler.m_executors[start.m_executor]->m_entry.m_id);
        retireExecutors(m_scheduler);
        CPPUNIT_ASSERT(needsTrial(m_scheduler, *findTask(m_scheduler, silent[0].m_task)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
    }

    // Guards against a task that crashes executors without end, since their leases expire before their next life.
    auto silence_endsInNewLife_taskIsGivenUpWithTheSecond() -> void
    {
        const auto first = silentUntilLeaseExpires();
        restart(first.m_executor);
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, first.m_task)->m_crashes);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, first.m_task)->m_possibleCrashes);
        restart(silentUntilLeaseExpires().m_executor);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    // Guards against a task that is blamed though it had been at work for long, since its start time is not stored.
    auto crash_runRestoredAfterTakeover_countsAsPossible() -> void
    {
        submit({ step(1, 1000) });
        const auto start = startAll().at(0);
        const auto progress = progressOf(m_scheduler, *findJob(m_scheduler, job));
        setUp();
        submit({ step(1, 1000) });
        restoreProgress(m_scheduler, job, progress, m_now);
        report(start.m_executor, { { start.m_task, start.m_run, {}, 10, 0 } });
        m_now += crashAfter;
        restart(start.m_executor);
        CPPUNIT_ASSERT_EQUAL(0U, findTask(m_scheduler, start.m_task)->m_crashes);
        CPPUNIT_ASSERT_EQUAL(1U, findTask(m_scheduler, start.m_task)->m_possibleCrashes);
    }

    // Guards against a task that is never started again, since nothing tells whether it crashed its executors.
    auto crash_runsRestoredByFourOwners_taskIsStartedOnTrial() -> void
    {
        submit({ step(1, 1000) });
        for (int owners = 0; owners < 4; ++owners) {
            const auto start = startAll().at(0);
            const auto progress = progressOf(m_scheduler, *findJob(m_scheduler, job));
            setUp();
            submit({ step(1, 1000) });
            restoreProgress(m_scheduler, job, progress, m_now);
            report(start.m_executor, { { start.m_task, start.m_run, {}, 10, 0 } });
            m_now += crashAfter;
            restart(start.m_executor);
            m_now += downTime;
        }
        CPPUNIT_ASSERT_EQUAL(4U, findTask(m_scheduler, { job, 0, 0, 0 })->m_possibleCrashes);
        CPPUNIT_ASSERT(needsTrial(m_scheduler, *findTask(m_scheduler, { job, 0, 0, 0 })));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startAll().size());
    }

    auto crash_startsUnansweredFourTimes_taskIsGivenUp() -> void
    {
        submit({ step(1, 1000) });
        for (int crashes = 0; crashes < 4; ++crashes) {
            CPPUNIT_ASSERT(phase() != JobPhase::Failed);
            const auto start = plan().at(0);
            noteStartSent(m_scheduler, start, m_now);
            applyStartAnswer(
                m_scheduler, start.m_executor, start.m_task, start.m_run, StartAnswer::Unknown, true, m_now);
            restart(start.m_executor);
            answerStop(start);
            m_now += downTime;
        }
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Failed);
    }

    // Guards against a job shown as failed for a task that is done: its copy was being stopped when the executor
    // crashed.
    auto crash_afterItsTaskIsDone_jobGoesOn() -> void
    {
        auto spec = step(1, 1000);
        spec.m_allowsDuplicates = true;
        auto later = step(1, 1000);
        later.m_after = { 0 };
        submit({ spec, later });
        crashUnderNextStarts();
        const auto copy = startAll().at(0);
        report(1 - copy.m_executor, {},
            { { ++m_endedRuns[1 - copy.m_executor], copy.m_task, copy.m_run + 1, RunOutcome::Done, "" } });
        m_now += crashAfter;
        restart(copy.m_executor);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
        CPPUNIT_ASSERT(phase() == JobPhase::Running);
    }

private:
    static constexpr int crashesPlayed = 8;
    static constexpr int roundsPlayed = 20;
    static constexpr Duration crashAfter { 10 };
    static constexpr Duration downTime { 3000 };

    // The executor crashes, and its next life is listed.
    auto restart(ExecutorIndex index) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        entry.m_isDraining = false;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        m_endedRuns[index] = 0;
        report(index, {});
    }

    // The executor stops answering, with a lease that has just been extended.
    auto silence(ExecutorIndex index) -> void
    {
        auto& executor = *m_scheduler.m_executors[index];
        executor.m_leaseUntilMs = clockLowerBound(executor, m_now) + m_scheduler.m_timing.m_lease.count();
        markUnresponsive(executor, m_now);
    }

    // The next life confirms the stop of a start without an answer, which may still have reached it.
    auto answerStop(const Action& start) -> void
    {
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
        applyStopAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, m_now);
        report(start.m_executor, {});
    }

    auto startAll() -> std::vector<Action>
    {
        auto actions = plan();
        answerStarts(actions);
        return actions;
    }

    // Crashes all executors on which the next plan starts something.
    auto crashUnderNextStarts() -> void
    {
        std::set<ExecutorIndex> crashed;
        for (const auto& start : startAll())
            crashed.insert(start.m_executor);
        CPPUNIT_ASSERT(!crashed.empty());
        m_now += crashAfter;
        for (const auto index : crashed)
            restart(index);
        m_now += downTime;
    }

    // Leaves the job's only task with one crash.
    auto suspectOne() -> void
    {
        submit({ step(1, 1000) });
        crashUnderNextStarts();
    }

    // Starts the job's only task on an executor that stops answering at once, and waits until its leases have expired.
    auto silentUntilLeaseExpires() -> Action
    {
        if (findJob(m_scheduler, job) == nullptr)
            submit({ step(1, 1000) });
        const auto start = startAll().at(0);
        silence(start.m_executor);
        m_now += m_scheduler.m_timing.m_lease * 2;
        expireLeases(m_scheduler, m_now);
        return start;
    }

    auto submitOther(std::vector<StepSpec> steps) -> void
    {
        JobSpec spec;
        spec.m_id = job + 1;
        spec.m_queue = "checks";
        spec.m_workspace = "team";
        spec.m_steps = std::move(steps);
        spec.m_submittedAt = m_wall;
        addJob(m_scheduler, std::move(spec), m_now, m_wall);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTasksTest);

} // namespace hemlockvane::scheduling
