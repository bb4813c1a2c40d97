#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/FindWaitingSteps.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

/// A long-running step of three tasks, one on each of the executors, of which there are two.
class FindWaitingStepsTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(FindWaitingStepsTest);
    CPPUNIT_TEST(step_allTasksStarted_isNotListed);
    CPPUNIT_TEST(step_oneTaskTooMany_namesItAndTheLimit);
    CPPUNIT_TEST(step_closedExecutors_areCountedByObstacle);
    CPPUNIT_TEST(step_ofTasksThatEnd_isNotListed);
    CPPUNIT_TEST_SUITE_END();

public:
    auto step_allTasksStarted_isNotListed() -> void
    {
        submit({ apart(2) });
        plan();
        CPPUNIT_ASSERT(waiting().empty());
    }

    auto step_oneTaskTooMany_namesItAndTheLimit() -> void
    {
        submit({ apart(3) });
        plan();
        const auto steps = waiting();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, steps.size());
        CPPUNIT_ASSERT(steps.front().m_firstTask == (TaskKey { job, 0, 0, 2 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, steps.front().m_waitingTasks);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, steps.front().m_tasks);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, steps.front().m_executors.at("step_limit"));
    }

    auto step_closedExecutors_areCountedByObstacle() -> void
    {
        m_scheduler.m_executors[0]->m_isUnresponsive = true;
        m_scheduler.m_executors[1]->m_isReserved = true;
        submit({ apart(3) });
        plan();
        const auto steps = waiting();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, steps.at(0).m_executors.at("silent"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, steps.at(0).m_executors.at("reserved"));
    }

    auto step_ofTasksThatEnd_isNotListed() -> void
    {
        submit({ step(1, 100000) });
        plan();
        CPPUNIT_ASSERT(waiting().empty());
    }

private:
    static auto apart(std::uint32_t tasks) -> StepSpec
    {
        auto made = step(tasks, 1000);
        made.m_isLongRunning = true;
        made.m_perExecutorLimit = 1;
        return made;
    }

    auto waiting() -> std::vector<WaitingStep> { return findWaitingSteps(m_scheduler, m_now); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FindWaitingStepsTest);

} // namespace hemlockvane::scheduling
