#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/MeasureDemand.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

class MeasureDemandTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(MeasureDemandTest);
    CPPUNIT_TEST(demand_taskWithoutCapacity_countsAsWaitingWithItsLabel);
    CPPUNIT_TEST(demand_taskBeyondTheLimit_isNotCounted);
    CPPUNIT_TEST(rate_fewArrivals_isZero);
    CPPUNIT_TEST(rate_burst_isMeasuredBeforeWindowIsFull);
    CPPUNIT_TEST_SUITE_END();

public:
    auto demand_taskWithoutCapacity_countsAsWaitingWithItsLabel() -> void
    {
        auto labelled = step(1, 1000);
        labelled.m_requiredLabel = "gpu";
        submit({ labelled });
        plan();
        const auto demand = measure();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1000 }, demand.m_waitingMilliCores);
        CPPUNIT_ASSERT(demand.m_waitingLabels == std::set<std::string> { "gpu" });
    }

    auto demand_taskBeyondTheLimit_isNotCounted() -> void
    {
        m_scheduler.m_rules.m_workspaces["team"].m_limit.m_cpuMilliCores = 1500;
        submit({ step(2, 1000) });
        plan();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1000 }, measure().m_runningMilliCores);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, measure().m_waitingMilliCores);
    }

    auto rate_fewArrivals_isZero() -> void
    {
        addArrivals(3, Duration(20));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, measure().m_arrivingMilliCores);
    }

    auto rate_burst_isMeasuredBeforeWindowIsFull() -> void
    {
        // 50 jobs per second of half a core-second each keep 25 cores busy.
        addArrivals(10, Duration(20));
        CPPUNIT_ASSERT(measure().m_arrivingMilliCores > 12000);
        CPPUNIT_ASSERT(measure().m_arrivingMilliCores < 25000);
    }

private:
    auto measure() -> PoolDemand { return measureDemand(m_scheduler, m_now)["counter"]; }

    auto addArrivals(int jobs, Duration gap) -> void
    {
        for (int number = 0; number < jobs; ++number) {
            m_now += gap;
            m_scheduler.m_arrivals["checks"].push_back({ m_now, 500 });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasureDemandTest);

} // namespace hemlockvane::scheduling
