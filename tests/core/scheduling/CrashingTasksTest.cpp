#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/TrackExecutors.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

class CrashingTasksTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(CrashingTasksTest);
    CPPUNIT_TEST(task_crashesEveryExecutor_isNotStartedThreeTimesAfterThreeCrashes);
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

private:
    static constexpr int crashesPlayed = 8;
    static constexpr Duration crashAfter { 10 };
    static constexpr Duration downTime { 3000 };

    // The executor crashes, and its next life is listed.
    auto restart(ExecutorIndex index) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        report(index, {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTasksTest);

} // namespace hemlockvane::scheduling
