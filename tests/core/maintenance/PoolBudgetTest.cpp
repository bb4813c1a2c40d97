#include "core/fleet/FleetFixture.h"

#include "hemlockvane/maintenance.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class PoolBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PoolBudgetTest);
    CPPUNIT_TEST(beginDrain_failurePresent_countsFirst);
    CPPUNIT_TEST(beginDrain_budgetExceptionExpiresDuringDrain_isRefused);
    CPPUNIT_TEST(moveInstance_remainderBelowBudget_isRefused);
    CPPUNIT_TEST(moveInstance_failedInstance_isRefused);
    CPPUNIT_TEST(moveInstance_outToMakeRoomForDrain_drainIsRefused);
    CPPUNIT_TEST(removeInstance_remainderBelowBudget_isRefused);
    CPPUNIT_TEST(removeInstance_draining_isRefused);
    CPPUNIT_TEST(removeInstance_failed_isAccepted);
    CPPUNIT_TEST(setException_budgetBelowRunningDrains_isRefusedAndChangesNothing);
    CPPUNIT_TEST(setException_budgetBelowFailuresOnly_isAccepted);
    CPPUNIT_TEST(setDefault_demandAboveRunningDrains_isRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        for (auto i = 0; i < 4; ++i)
            m_fleet.addInstance("w" + std::to_string(i), "orders", "a", "a" + std::to_string(i));
        m_fleet.startWave("wave");
    }

    auto beginDrain_failurePresent_countsFirst() -> void
    {
        m_fleet.mark("w0", false);
        CPPUNIT_ASSERT(m_fleet.beginDrain("wave", "w1").m_error == ErrorKind::OverBudget);
    }

    auto beginDrain_budgetExceptionExpiresDuringDrain_isRefused() -> void
    {
        wire::Operation operation;
        auto& set = *operation.mutable_set_exception();
        set.set_setting("pool.budget");
        set.set_scope("orders");
        set.set_value("2");
        set.set_reason("night shift");
        set.set_author("operator");
        set.set_expires_at_ms(m_fleet.m_now + 1000);
        set.set_expected_version(m_fleet.m_state.m_configuration.m_version);
        m_fleet.fold(operation);
        CPPUNIT_ASSERT(m_fleet.beginDrain("wave", "w0").m_error == ErrorKind::None);
        CPPUNIT_ASSERT(m_fleet.beginDrain("wave", "w1").m_error == ErrorKind::OverBudget);
    }

    auto moveInstance_remainderBelowBudget_isRefused() -> void
    {
        m_fleet.setException("pool.demand", "orders", 4);
        CPPUNIT_ASSERT(m_fleet.move("w0", "spare").m_error == ErrorKind::None);
        CPPUNIT_ASSERT(m_fleet.move("w1", "spare").m_error == ErrorKind::OverBudget);
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), m_fleet.instance("w1").m_pool);
    }

    auto moveInstance_failedInstance_isRefused() -> void
    {
        m_fleet.mark("w0", false);
        CPPUNIT_ASSERT(m_fleet.move("w0", "spare").m_error == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(1U, unavailableIn(m_fleet.m_state.m_pools, "orders"));
    }

    auto moveInstance_outToMakeRoomForDrain_drainIsRefused() -> void
    {
        m_fleet.setException("pool.demand", "orders", 4);
        m_fleet.move("w0", "spare");
        CPPUNIT_ASSERT(m_fleet.beginDrain("wave", "w1").m_error == ErrorKind::OverBudget);
    }

    auto removeInstance_remainderBelowBudget_isRefused() -> void
    {
        m_fleet.setException("pool.demand", "orders", 4);
        CPPUNIT_ASSERT(remove("w0").m_error == ErrorKind::None);
        CPPUNIT_ASSERT(remove("w1").m_error == ErrorKind::OverBudget);
    }

    auto removeInstance_draining_isRefused() -> void
    {
        m_fleet.beginDrain("wave", "w0");
        CPPUNIT_ASSERT(remove("w0").m_error == ErrorKind::Draining);
        CPPUNIT_ASSERT_EQUAL(1U, unavailableIn(m_fleet.m_state.m_pools, "orders"));
    }

    auto removeInstance_failed_isAccepted() -> void
    {
        m_fleet.mark("w0", false);
        CPPUNIT_ASSERT(remove("w0").m_error == ErrorKind::None);
    }

    auto setException_budgetBelowRunningDrains_isRefusedAndChangesNothing() -> void
    {
        m_fleet.beginDrain("wave", "w0");
        CPPUNIT_ASSERT(m_fleet.setException("pool.budget", "orders", 0).m_error == ErrorKind::OverBudget);
        CPPUNIT_ASSERT(m_fleet.m_state.m_configuration.m_exceptions.empty());
    }

    auto setException_budgetBelowFailuresOnly_isAccepted() -> void
    {
        m_fleet.mark("w0", false);
        CPPUNIT_ASSERT(m_fleet.setException("pool.budget", "orders", 0).m_error == ErrorKind::None);
    }

    auto setDefault_demandAboveRunningDrains_isRefused() -> void
    {
        m_fleet.beginDrain("wave", "w0");
        CPPUNIT_ASSERT(m_fleet.setDefault("pool.demand", 5).m_error == ErrorKind::OverBudget);
    }

private:
    auto remove(const std::string& id) -> OperationResult
    {
        wire::Operation operation;
        operation.mutable_remove_instance()->set_instance(id);
        return m_fleet.fold(operation);
    }

    FleetFixture m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolBudgetTest);

} // namespace hemlockvane
