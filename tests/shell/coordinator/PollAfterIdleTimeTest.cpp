#include "shell/coordinator/PolledExecutorFixture.h"

#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

/// An executor that gets a run after it was idle, and whose life may have been replaced meanwhile.
class PollAfterIdleTimeTest : public PolledExecutorFixture {
    CPPUNIT_TEST_SUITE(PollAfterIdleTimeTest);
    CPPUNIT_TEST(firstPoll_lifeMayBeNew_acknowledgesNothingAndIsAnsweredAtOnce);
    CPPUNIT_TEST(nextPoll_lifeIsKnown_acknowledgesEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the loss of an end: a new life numbers its ends from 1, and forgets those that are acknowledged.
    auto firstPoll_lifeMayBeNew_acknowledgesNothingAndIsAnsweredAtOnce() -> void
    {
        pollAfterIdleTime();
        CPPUNIT_ASSERT(!life().m_received.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, life().m_received.front().m_acknowledgedEnd);
        CPPUNIT_ASSERT(life().m_received.front().m_wait == Duration { 0 });
    }

    auto nextPoll_lifeIsKnown_acknowledgesEnds() -> void
    {
        pollAfterIdleTime();
        CPPUNIT_ASSERT(life().m_received.size() > 1);
        CPPUNIT_ASSERT_EQUAL(acknowledged, life().m_received.at(1).m_acknowledgedEnd);
    }

private:
    static constexpr std::uint64_t acknowledged = 5;
    static constexpr Duration idleTime { 2000 };

    auto pollAfterIdleTime() -> void
    {
        auto& scheduler = m_state->m_scheduler;
        scheduling::JobSpec spec;
        spec.m_id = 7;
        spec.m_steps.resize(1);
        scheduling::addJob(scheduler, std::move(spec), monotonicNow(), wallNow());
        scheduling::addRun(scheduler, { 7, 0, 0, 0 }, 1, 0, scheduling::RunPhase::Starting, monotonicNow());
        auto& executor = *scheduler.m_executors.front();
        executor.m_isReconciled = true;
        executor.m_acknowledgedEnd = acknowledged;
        executor.m_appliedEnd = acknowledged;
        executor.m_clockMs = 1;
        executor.m_clockReadAt = monotonicNow() - idleTime;
        life().m_runs = { { { 7, 0, 0, 0 }, 1, {}, 10, 0 } };
        startPolling();
        runFor(Duration { 200 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollAfterIdleTimeTest);

} // namespace hemlockvane::detail
