#include "hemlockvane/scheduling/PollSchedule.h"

#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/TrackExecutors.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

/// A listed executor that has answered once.
class PollScheduleTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(PollScheduleTest);
    CPPUNIT_TEST(idleExecutor_answered_isNotPolled);
    CPPUNIT_TEST(silentExecutor_runsLapsed_isPolledUntilItAnswers);
    CPPUNIT_TEST(silentExecutor_unlisted_isNotPolledUntilItIsListedAgain);
    CPPUNIT_TEST(silentExecutor_terminated_isNotPolled);
    CPPUNIT_TEST(blame_silentExecutorWithoutRuns_isWithdrawnByItsAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto idleExecutor_answered_isNotPolled() -> void { CPPUNIT_ASSERT(!needsPoll(executor())); }

    // Guards against an executor that is lost to the pool for good, since nothing polls it after its runs have lapsed.
    auto silentExecutor_runsLapsed_isPolledUntilItAnswers() -> void
    {
        const auto start = startAndLoseLease();
        CPPUNIT_ASSERT(executorOf(start).m_runs.empty());
        CPPUNIT_ASSERT(!isSchedulable(executorOf(start), m_now));
        CPPUNIT_ASSERT(needsPoll(executorOf(start)));
        report(start.m_executor, {});
        CPPUNIT_ASSERT(isSchedulable(executorOf(start), m_now));
        CPPUNIT_ASSERT(!needsPoll(executorOf(start)));
    }

    auto silentExecutor_unlisted_isNotPolledUntilItIsListedAgain() -> void
    {
        const auto start = startAndLoseLease();
        unregisterExecutor(m_scheduler, executorOf(start).m_entry.m_id);
        CPPUNIT_ASSERT(!needsPoll(executorOf(start)));
        registerExecutor(m_scheduler, executorOf(start).m_entry, m_now, m_now);
        CPPUNIT_ASSERT(needsPoll(executorOf(start)));
    }

    auto silentExecutor_terminated_isNotPolled() -> void
    {
        markTerminated(m_scheduler, 0, m_now);
        CPPUNIT_ASSERT(!needsPoll(executor()));
    }

    // Guards against a task that stays on trial because of a silence that nothing ends.
    auto blame_silentExecutorWithoutRuns_isWithdrawnByItsAnswer() -> void
    {
        const auto start = startAndLoseLease();
        CPPUNIT_ASSERT(!executorOf(start).m_suspectsOfSilence.empty());
        CPPUNIT_ASSERT(needsPoll(executorOf(start)));
        report(start.m_executor, {});
        CPPUNIT_ASSERT(executorOf(start).m_suspectsOfSilence.empty());
    }

private:
    auto executor() -> Executor& { return *m_scheduler.m_executors[0]; }
    auto executorOf(const Action& start) -> Executor& { return *m_scheduler.m_executors[start.m_executor]; }

    // A run whose executor falls silent just after its start, until its lease has lapsed.
    auto startAndLoseLease() -> Action
    {
        const auto start = startOne();
        answerStarts({ start });
        markUnresponsive(executorOf(start), m_now);
        m_now += m_scheduler.m_timing.m_lease * 2;
        expireLeases(m_scheduler, m_now);
        return start;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollScheduleTest);

} // namespace hemlockvane::scheduling
