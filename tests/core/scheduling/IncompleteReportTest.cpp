#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane::scheduling {

/// Answers to polls that list only some of the ended runs.
class IncompleteReportTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(IncompleteReportTest);
    CPPUNIT_TEST(takeover_endNotListedYet_taskIsNotStartedAgain);
    CPPUNIT_TEST(takeover_endsNotAllListed_executorTakesNoStart);
    CPPUNIT_TEST(stoppedRun_endNotListedYet_itsOutcomeCounts);
    CPPUNIT_TEST(unansweredStart_endNotListedYet_isNotStopped);
    CPPUNIT_TEST(newLife_endNotListedYet_runIsNotLost);
    CPPUNIT_TEST(takeover_deadlineSentBeforeAllIsListed_runsAreKeptUntilIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that is started again although it has ended as done.
    auto takeover_endNotListedYet_taskIsNotStartedAgain() -> void
    {
        const auto start = takeOver();
        reportSome(start.m_executor);
        report(1 - start.m_executor, {});
        CPPUNIT_ASSERT(starts().empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(starts().empty());
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto takeover_endsNotAllListed_executorTakesNoStart() -> void
    {
        const auto start = takeOver();
        reportSome(start.m_executor);
        CPPUNIT_ASSERT(!isSchedulable(*m_scheduler.m_executors[start.m_executor], m_now));
        report(start.m_executor, {});
        CPPUNIT_ASSERT(isSchedulable(*m_scheduler.m_executors[start.m_executor], m_now));
    }

    auto stoppedRun_endNotListedYet_itsOutcomeCounts() -> void
    {
        const auto start = startOne();
        answer(start, StartAnswer::Unknown, true);
        plan();
        applyStopAnswer(m_scheduler, start.m_executor, start.m_task, start.m_run, m_now);
        m_now += m_scheduler.m_timing.m_stopRetryInterval;
        reportSome(start.m_executor);
        CPPUNIT_ASSERT(starts().empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    auto unansweredStart_endNotListedYet_isNotStopped() -> void
    {
        auto spec = step(1, 1000);
        spec.m_isLongRunning = true;
        submit({ spec });
        const auto start = plan().at(0);
        answer(start, StartAnswer::Unknown, true);
        reportSome(start.m_executor);
        CPPUNIT_ASSERT(plan().empty());
    }

    auto newLife_endNotListedYet_runIsNotLost() -> void
    {
        const auto start = startOne();
        noteStartSent(m_scheduler, start, m_now);
        answer(start, StartAnswer::Started, false);
        auto entry = m_scheduler.m_executors[start.m_executor]->m_entry;
        ++entry.m_startedAtMs;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        reportSome(start.m_executor);
        CPPUNIT_ASSERT(starts().empty());
        reportEnd(start, RunOutcome::Done);
        CPPUNIT_ASSERT(phase() == JobPhase::Completed);
    }

    // Guards against a task that is started elsewhere while its executor holds a lease that this owner has granted.
    auto takeover_deadlineSentBeforeAllIsListed_runsAreKeptUntilIt() -> void
    {
        const auto start = takeOver();
        reportSome(start.m_executor);
        auto& executor = *m_scheduler.m_executors[start.m_executor];
        m_now = std::max(m_now, executor.m_earlierLeasesExpireBy) + Duration(1);
        reportSome(start.m_executor);
        executor.m_leaseUntilMs = executor.m_clockMs + m_scheduler.m_timing.m_lease.count();
        markUnresponsive(executor, m_now);
        m_now += m_scheduler.m_timing.m_lease;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, expireLeases(m_scheduler, m_now));
        m_now += m_scheduler.m_timing.m_lease;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, expireLeases(m_scheduler, m_now));
    }

private:
    // Reports no runs, but that there are further ends.
    auto reportSome(ExecutorIndex index) -> void
    {
        ExecutorReport made;
        made.m_pollSentAt = m_now;
        made.m_clockMs = m_now.time_since_epoch().count();
        made.m_startedAtMs = m_scheduler.m_executors[index]->m_entry.m_startedAtMs;
        made.m_isComplete = false;
        std::vector<Action> actions;
        applyReport(m_scheduler, index, made, m_now, m_wall, actions);
        CPPUNIT_ASSERT(actions.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncompleteReportTest);

} // namespace hemlockvane::scheduling
