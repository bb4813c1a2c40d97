#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/PaceFillers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

class PaceFillersTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(PaceFillersTest);
    CPPUNIT_TEST(servingTask_overTarget_pacesFillersDownToZero);
    CPPUNIT_TEST(servingTask_wellBelowTarget_raisesFillerPace);
    CPPUNIT_TEST(filler_aloneOnItsExecutor_keepsFullPace);
    CPPUNIT_TEST(pace_justChanged_isNotChangedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        m_scheduler.m_executors[1]->m_isReserved = true; // So both steps share the first executor.
        auto serving = step(1, 1000);
        serving.m_isLongRunning = true;
        serving.m_targetMs = 100;
        auto filler = step(1, 1000);
        filler.m_isLongRunning = true;
        filler.m_isFiller = true;
        submit({ serving, filler });
        m_starts = plan();
        answerStarts(m_starts);
    }

    auto servingTask_overTarget_pacesFillersDownToZero() -> void
    {
        auto last = 100;
        for (int round = 0; round < 8; ++round) {
            const auto paces = paceAt(150);
            CPPUNIT_ASSERT(paces.empty() || paces[0].m_percent < last);
            last = paces.empty() ? last : paces[0].m_percent;
        }
        CPPUNIT_ASSERT_EQUAL(0, last);
    }

    auto servingTask_wellBelowTarget_raisesFillerPace() -> void
    {
        paceAt(150);
        CPPUNIT_ASSERT(paceAt(70).empty()); // Between the two thresholds the pace does not change.
        CPPUNIT_ASSERT(paceAt(20).at(0).m_percent > 50);
    }

    auto filler_aloneOnItsExecutor_keepsFullPace() -> void { CPPUNIT_ASSERT(paceAt(0).empty()); }

    auto pace_justChanged_isNotChangedAgain() -> void
    {
        paceAt(150);
        std::vector<Action> actions;
        paceFillers(m_scheduler, m_now, actions);
        CPPUNIT_ASSERT(actions.empty());
    }

private:
    auto paceAt(std::int64_t tailMs) -> std::vector<Action>
    {
        m_now += Duration(1000);
        report(0,
            { { m_starts[0].m_task, m_starts[0].m_run, "", 100, tailMs },
                { m_starts[1].m_task, m_starts[1].m_run, "", 100, 500 } });
        std::vector<Action> actions;
        paceFillers(m_scheduler, m_now, actions);
        return actions;
    }

    std::vector<Action> m_starts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PaceFillersTest);

} // namespace hemlockvane::scheduling
