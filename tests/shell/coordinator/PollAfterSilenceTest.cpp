#include "shell/coordinator/PolledExecutorFixture.h"

#include "hemlockvane/scheduling/PollSchedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

/// An executor without runs that did not answer the last poll.
class PollAfterSilenceTest : public PolledExecutorFixture {
    CPPUNIT_TEST_SUITE(PollAfterSilenceTest);
    CPPUNIT_TEST(silentExecutor_answersAgain_isUsedAndNotPolledOn);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        PolledExecutorFixture::setUp();
        executor().m_isReconciled = true;
        executor().m_isUnresponsive = true;
        life().m_isSilent = true;
    }

    // Guards against an executor that answers again and stays closed to starts.
    auto silentExecutor_answersAgain_isUsedAndNotPolledOn() -> void
    {
        startPolling();
        runFor(Duration { 100 });
        CPPUNIT_ASSERT(executor().m_isUnresponsive);
        life().m_isSilent = false;
        runFor(scheduling::unansweredPollPause(executor()) * 2);
        CPPUNIT_ASSERT(scheduling::isSchedulable(executor(), monotonicNow()));
        CPPUNIT_ASSERT_EQUAL(1, life().m_polls);
    }

private:
    auto executor() -> scheduling::Executor& { return *m_state->m_scheduler.m_executors.front(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollAfterSilenceTest);

} // namespace hemlockvane::detail
