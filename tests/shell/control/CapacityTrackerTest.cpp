#include "hemlockvane/detail/control/CapacityTracker.h"

#include "hemlockvane/limits/EscrowResource.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

class CapacityTrackerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CapacityTrackerTest);
    CPPUNIT_TEST(executor_listed_hasSlotsOfItsService);
    CPPUNIT_TEST(executor_leaving_hasNoSlots);
    CPPUNIT_TEST(executor_removed_isForgottenOnceNoPermitsAreHeld);
    CPPUNIT_TEST(exception_expired_restoresCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    auto executor_listed_hasSlotsOfItsService() -> void
    {
        list({ executor(false) });
        const auto changes = capacityChanges(m_tracker, m_view, m_now, m_wallNow);
        CPPUNIT_ASSERT_EQUAL(8U, changes.at(m_resource));
        CPPUNIT_ASSERT(capacityChanges(m_tracker, m_view, m_now, m_wallNow).empty());
    }

    auto executor_leaving_hasNoSlots() -> void
    {
        list({ executor(false) });
        capacityChanges(m_tracker, m_view, m_now, m_wallNow);
        list({ executor(true) });
        CPPUNIT_ASSERT_EQUAL(0U, capacityChanges(m_tracker, m_view, m_now, m_wallNow).at(m_resource));
    }

    auto executor_removed_isForgottenOnceNoPermitsAreHeld() -> void
    {
        list({ executor(false) });
        capacityChanges(m_tracker, m_view, m_now, m_wallNow);
        list({});
        CPPUNIT_ASSERT_EQUAL(0U, capacityChanges(m_tracker, m_view, m_now, m_wallNow).at(m_resource));
        forgetRemoved(m_tracker, m_now + Duration(999), Duration(1000), [](auto) { return true; });
        CPPUNIT_ASSERT(m_tracker.m_removedSince.contains(m_resource));
        forgetRemoved(m_tracker, m_now + Duration(1000), Duration(1000), [](auto) { return false; });
        CPPUNIT_ASSERT(m_tracker.m_removedSince.contains(m_resource));
        forgetRemoved(m_tracker, m_now + Duration(1000), Duration(1000), [](auto) { return true; });
        CPPUNIT_ASSERT(m_tracker.m_removedSince.empty());
    }

    auto exception_expired_restoresCapacity() -> void
    {
        ConfigurationState configuration;
        configuration.m_exceptions[{ "service.slots", "orders" }]
            = ConfigurationItem { "3", "trial", "ann", m_wallNow + 500, 1, false };
        m_view.m_configuration = std::make_shared<const ConfigurationState>(configuration);
        list({ executor(false) });
        CPPUNIT_ASSERT_EQUAL(3U, capacityChanges(m_tracker, m_view, m_now, m_wallNow).at(m_resource));
        const auto later = capacityChanges(m_tracker, m_view, m_now + Duration(1000), m_wallNow + 1000);
        CPPUNIT_ASSERT_EQUAL(8U, later.at(m_resource));
    }

    auto setUp() -> void override
    {
        m_view.m_keys = std::make_shared<const KeyState>();
        m_view.m_configuration = std::make_shared<const ConfigurationState>();
    }

private:
    auto executor(bool isLeaving) const -> ListedInstance
    {
        return { "x1", "executor", "orders", "z1", "r1", "127.0.0.1:1", isLeaving };
    }

    auto list(std::vector<ListedInstance> instances) -> void
    {
        m_view.m_listed = std::make_shared<const std::vector<ListedInstance>>(std::move(instances));
    }

    const std::string m_resource = executorSlotsResource("orders", "x1");
    CapacityTracker m_tracker;
    TrafficView m_view;
    Instant m_now { Duration(1000000) };
    WallMillis m_wallNow = 1700000000000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTrackerTest);

} // namespace hemlockvane::detail
