#include "shell/coordinator/OwnerFixture.h"

#include "hemlockvane/scheduling/SchedulerTiming.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace hemlockvane::detail {

/// An owner that decides a start on an executor that was idle for seconds.
class PollBeforeStartTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(PollBeforeStartTest);
    CPPUNIT_TEST(start_executorIdleForSeconds_isPolledWhileStartIsStored);
    CPPUNIT_TEST(executor_idle_isNotPolled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lease that is shorter by what a slow clock may be behind after the idle time.
    auto start_executorIdleForSeconds_isPolledWhileStartIsStored() -> void
    {
        becomeIdle();
        m_context->run_for(idleTime);
        const auto submittedAt = monotonicNow();
        submit(secondJob);
        runUntil([this] { return m_executors.m_starts.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT(m_executors.m_starts.back().second.m_deadlineMs
            >= (submittedAt + scheduling::SchedulerTiming().m_lease).time_since_epoch().count());
    }

    // Guards against calls that grow with the number of executors that run nothing.
    auto executor_idle_isNotPolled() -> void
    {
        becomeIdle();
        const auto polls = m_executors.m_lives[m_executor].m_polls;
        m_context->run_for(idleTime);
        CPPUNIT_ASSERT_EQUAL(polls, m_executors.m_lives[m_executor].m_polls);
    }

private:
    static constexpr scheduling::JobId secondJob = 8;
    static constexpr Duration idleTime { 6000 }; // Long enough for the clock to be read before a start.
    const std::string m_executor = "executor-1";

    auto becomeIdle() -> void
    {
        list(m_executor, "1");
        own(1, {});
        runUntil([this] { return m_executors.m_starts.size() == 1; });
        auto& life = m_executors.m_lives[m_executor];
        const auto runs = std::exchange(life.m_runs, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, runs.size());
        life.m_ends.push_back({ 1, runs[0].m_task, runs[0].m_run, scheduling::RunOutcome::Done, {} });
        runUntil([&] { return life.m_ends.empty(); });
        settle();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollBeforeStartTest);

} // namespace hemlockvane::detail
