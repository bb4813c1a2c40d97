#include "shell/coordinator/PolledExecutorFixture.h"

#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

/// A start on an executor whose clock was read long ago. Guards against a lease that is short, or has ended before the
/// task began, since it is granted by the earliest time that a slow clock may show.
class StartAfterIdleTimeTest : public PolledExecutorFixture {
    CPPUNIT_TEST_SUITE(StartAfterIdleTimeTest);
    CPPUNIT_TEST(start_clockReadMinutesAgo_hasWholeLeaseFromNewReading);
    CPPUNIT_TEST(start_clockReadMinutesAgoAndExecutorSilent_isNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    auto start_clockReadMinutesAgo_hasWholeLeaseFromNewReading() -> void
    {
        const auto before = executorClock();
        startAfterIdleTime();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        const auto lease = m_state->m_scheduler.m_timing.m_lease.count();
        CPPUNIT_ASSERT(m_executors.m_starts.front().second.m_deadlineMs >= before + lease);
    }

    auto start_clockReadMinutesAgoAndExecutorSilent_isNotSent() -> void
    {
        life().m_isSilent = true;
        startAfterIdleTime();
        CPPUNIT_ASSERT(m_executors.m_starts.empty());
        CPPUNIT_ASSERT(m_state->m_scheduler.m_executors.front()->m_runs.empty());
    }

private:
    static constexpr Duration idleTime { 300000 };

    // The scripted executors' clock.
    static auto executorClock() -> std::int64_t { return monotonicNow().time_since_epoch().count(); }

    auto startAfterIdleTime() -> void
    {
        auto& scheduler = m_state->m_scheduler;
        auto& executor = *scheduler.m_executors.front();
        executor.m_isReconciled = true;
        executor.m_clockMs = executorClock() - idleTime.count();
        executor.m_clockReadAt = monotonicNow() - idleTime;
        startPolling();
        runFor(Duration { 20 });
        scheduling::JobSpec spec;
        spec.m_id = 7;
        spec.m_steps.resize(1);
        scheduling::addJob(scheduler, std::move(spec), monotonicNow(), wallNow());
        scheduling::addRun(scheduler, { 7, 0, 0, 0 }, 1, 0, scheduling::RunPhase::Starting, monotonicNow());
        scheduling::Action start;
        start.m_executor = 0;
        start.m_task = { 7, 0, 0, 0 };
        start.m_run = 1;
        sendActions(m_state, { start });
        runFor(Duration { 200 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartAfterIdleTimeTest);

} // namespace hemlockvane::detail
