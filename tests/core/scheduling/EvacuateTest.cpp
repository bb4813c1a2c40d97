#include "hemlockvane/scheduling/Evacuate.h"

#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane::scheduling {

/// A long-running step with one task on each of three executors, of which one may be unavailable. The stop that empties
/// an executor waits before it is sent.
class EvacuateTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(EvacuateTest);
    CPPUNIT_TEST(stop_othersAvailable_isSent);
    CPPUNIT_TEST(stop_otherTaskFailedMeanwhile_isWithdrawn);
    CPPUNIT_TEST(stop_otherExecutorSilentMeanwhile_isWithdrawn);
    CPPUNIT_TEST(stop_sentBefore_isRepeatedAlthoughOthersFailed);
    CPPUNIT_TEST(stop_jobCancelledMeanwhile_isSent);
    CPPUNIT_TEST(stop_executorDrains_isSentAlthoughOthersFailed);
    CPPUNIT_TEST(stop_withdrawn_isPlannedAgainOnceOthersAreAvailable);
    CPPUNIT_TEST(takeover_earlierOwnerMayHaveStoppedAnotherRun_waitsUntilItWouldHaveEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        addExecutor("e2");
        submitServing();
        m_starts = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_starts.size());
        answerStarts(m_starts);
        for (const auto& start : m_starts)
            reportAvailable(start);
    }

    auto stop_othersAvailable_isSent() -> void { CPPUNIT_ASSERT(confirmStop(m_scheduler, planStop(), false)); }

    auto stop_otherTaskFailedMeanwhile_isWithdrawn() -> void
    {
        const auto stop = planStop();
        reportEnd(m_starts[1], RunOutcome::Failed);
        CPPUNIT_ASSERT(!confirmStop(m_scheduler, stop, false));
        CPPUNIT_ASSERT(phaseOf(m_starts[0]) == RunPhase::Running);
    }

    auto stop_otherExecutorSilentMeanwhile_isWithdrawn() -> void
    {
        const auto stop = planStop();
        m_scheduler.m_executors[m_starts[1].m_executor]->m_isUnresponsive = true;
        CPPUNIT_ASSERT(!confirmStop(m_scheduler, stop, false));
    }

    auto stop_sentBefore_isRepeatedAlthoughOthersFailed() -> void
    {
        const auto stop = planStop();
        CPPUNIT_ASSERT(confirmStop(m_scheduler, stop, false));
        reportEnd(m_starts[1], RunOutcome::Failed);
        CPPUNIT_ASSERT(confirmStop(m_scheduler, stop, true));
        CPPUNIT_ASSERT(phaseOf(m_starts[0]) == RunPhase::Stopping);
    }

    auto stop_jobCancelledMeanwhile_isSent() -> void
    {
        const auto stop = planStop();
        reportEnd(m_starts[1], RunOutcome::Failed);
        cancelJob(m_scheduler, job, m_wall);
        CPPUNIT_ASSERT(confirmStop(m_scheduler, stop, false));
    }

    auto stop_executorDrains_isSentAlthoughOthersFailed() -> void
    {
        const auto stop = planStop();
        reportEnd(m_starts[1], RunOutcome::Failed);
        m_scheduler.m_executors[stop.m_executor]->m_entry.m_isDraining = true;
        CPPUNIT_ASSERT(confirmStop(m_scheduler, stop, false));
    }

    auto stop_withdrawn_isPlannedAgainOnceOthersAreAvailable() -> void
    {
        const auto stop = planStop();
        reportEnd(m_starts[1], RunOutcome::Failed);
        CPPUNIT_ASSERT(!confirmStop(m_scheduler, stop, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, stop.m_executor));
        const auto again = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        answerStarts(again);
        reportAvailable(again.front());
        CPPUNIT_ASSERT(confirmStop(m_scheduler, planStop(), false));
    }

    // Guards against two tasks of a step that are unavailable at a time: a run that is being stopped is still listed.
    auto takeover_earlierOwnerMayHaveStoppedAnotherRun_waitsUntilItWouldHaveEnded() -> void
    {
        const auto stored = progressOf(m_scheduler, *findJob(m_scheduler, job));
        SchedulerFixture::setUp();
        addExecutor("e2");
        submitServing();
        restoreProgress(m_scheduler, job, stored, m_now);
        for (const auto& start : m_starts)
            reportAvailable(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, evacuate(m_scheduler, m_starts[0].m_executor));
        m_now += m_scheduler.m_timing.m_longestStop;
        for (const auto& start : m_starts)
            reportAvailable(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuate(m_scheduler, m_starts[0].m_executor));
    }

private:
    auto submitServing() -> void
    {
        auto serving = step(3, 1000);
        serving.m_isLongRunning = true;
        serving.m_perExecutorLimit = 1;
        serving.m_maxUnavailable = 1;
        submit({ serving });
    }

    auto reportAvailable(const Action& start) -> void
    {
        report(start.m_executor, { { start.m_task, start.m_run, {}, 100, 0 } });
    }

    // Empties the executor of the first task.
    auto planStop() -> Action
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, evacuate(m_scheduler, m_starts[0].m_executor));
        m_now += m_scheduler.m_timing.m_stopRetryInterval;
        std::vector<Action> actions;
        planStops(m_scheduler, m_now, actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        return actions.front();
    }

    auto phaseOf(const Action& start) -> RunPhase
    {
        return findRun(m_scheduler, start.m_task, start.m_run, start.m_executor)->m_phase;
    }

    std::vector<Action> m_starts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuateTest);

} // namespace hemlockvane::scheduling
