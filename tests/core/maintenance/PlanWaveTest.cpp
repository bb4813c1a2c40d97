#include "core/fleet/FleetFixture.h"

#include "hemlockvane/maintenance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane {

class PlanWaveTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlanWaveTest);
    CPPUNIT_TEST(plan_mayNotAct_doesNothing);
    CPPUNIT_TEST(plan_failuresPresent_countFirst);
    CPPUNIT_TEST(plan_unhealthyOnListOnly_countsAsFailed);
    CPPUNIT_TEST(plan_budgetCoversRack_drainsLeaveRoomForRack);
    CPPUNIT_TEST(plan_budgetBelowRack_usesWholeBudget);
    CPPUNIT_TEST(plan_tooSlowWithRackReserve_reserveIsDroppedToFinishInTime);
    CPPUNIT_TEST(plan_recordsInFlight_areNotPlannedAgain);
    CPPUNIT_TEST(plan_rackFailsInWave_noBudgetIsLeft);
    CPPUNIT_TEST(plan_jobsStillRunning_rebootWaits);
    CPPUNIT_TEST(plan_notBackInTime_endsUnhealthy);
    CPPUNIT_TEST(plan_instancesLost_wavePausesWithReason);
    CPPUNIT_TEST(plan_resumedAfterLosses_continuesUntilMoreAreLost);
    CPPUNIT_TEST(plan_zoneFailed_isNotCountedAsLossOfWave);
    CPPUNIT_TEST(plan_maintainedRackLost_pausesOnlyAtTheSecond);
    CPPUNIT_TEST(plan_widthBeforeAnyReturned_staysSmall);
    CPPUNIT_TEST(plan_finishBySoon_widthGrows);
    CPPUNIT_TEST(plan_wholeWave_maintainsEveryInstanceWithinBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        // Three zones with two racks each and two instances per rack.
        for (auto i = 0; i < 12; ++i) {
            const auto id = "w" + std::to_string(10 + i);
            const auto zone = "z" + std::to_string(i / 4);
            m_fleet.addInstance(id, "orders", zone, zone + "r" + std::to_string(i / 2 % 2));
            m_input.m_health[id] = { true, false };
        }
        m_fleet.setDefault("wave.width", 100);
        m_fleet.setDefault("wave.harm_limit", 3);
        m_input.m_mayAct = true;
        m_state.m_epoch = m_fleet.m_maintenanceEpoch;
    }

    auto plan_mayNotAct_doesNothing() -> void
    {
        m_fleet.startWave("wave");
        m_input.m_mayAct = false;
        CPPUNIT_ASSERT(plan().empty());
    }

    auto plan_failuresPresent_countFirst() -> void
    {
        m_fleet.setException("pool.budget", "orders", 2);
        m_fleet.setException("wave.cover", "orders", 0);
        fail("w15");
        m_fleet.startWave("wave");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), drains(plan()).size());
    }

    auto plan_unhealthyOnListOnly_countsAsFailed() -> void
    {
        m_fleet.startWave("wave");
        m_input.m_health["w15"].m_healthy = false;
        CPPUNIT_ASSERT(drains(plan()).empty());
    }

    auto plan_budgetCoversRack_drainsLeaveRoomForRack() -> void
    {
        m_fleet.setException("pool.budget", "orders", 4);
        m_fleet.startWave("wave");
        const auto begun = drains(plan());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), begun.size());
        CPPUNIT_ASSERT_EQUAL(m_fleet.instance(begun[0]).m_rack, m_fleet.instance(begun[1]).m_rack);
    }

    auto plan_budgetBelowRack_usesWholeBudget() -> void
    {
        m_fleet.setException("pool.budget", "orders", 2);
        m_fleet.startWave("wave");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), drains(plan()).size());
    }

    auto plan_tooSlowWithRackReserve_reserveIsDroppedToFinishInTime() -> void
    {
        constexpr WallMillis drain = 1'800'000;
        m_fleet.setException("pool.budget", "orders", 4);
        m_fleet.startWave("wave", m_fleet.m_now + 4 * drain);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), drains(plan()).size());
    }

    auto plan_recordsInFlight_areNotPlannedAgain() -> void
    {
        m_fleet.startWave("wave");
        const auto first = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        CPPUNIT_ASSERT(plan().empty());
        onWaveRecorded(m_state, first[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan().size());
    }

    auto plan_rackFailsInWave_noBudgetIsLeft() -> void
    {
        m_fleet.setException("pool.budget", "orders", 4);
        m_fleet.startWave("wave");
        applyRecords(plan());
        fail("w20");
        fail("w21");
        CPPUNIT_ASSERT_EQUAL(4U, unavailableIn(m_fleet.m_state.m_pools, "orders"));
        CPPUNIT_ASSERT(drains(plan()).empty());
    }

    auto plan_jobsStillRunning_rebootWaits() -> void
    {
        m_fleet.submit("j", "t", 4);
        m_fleet.place("j", "w10");
        m_fleet.startWave("wave");
        m_fleet.beginDrain("wave", "w10");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(plan(), WaveActionKind::Reboot));
        m_fleet.end("j", wire::JOB_CHECKPOINTED);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(plan(), WaveActionKind::Reboot));
    }

    auto plan_notBackInTime_endsUnhealthy() -> void
    {
        m_fleet.startWave("wave");
        applyRecords(plan());
        advance(1'800'000 + 1);
        applyRecords(plan());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fleet.m_state.m_maintenance.m_waves.at("wave").m_failed.size());
        CPPUNIT_ASSERT_EQUAL(1U, unavailableIn(m_fleet.m_state.m_pools, "orders"));
    }

    auto plan_instancesLost_wavePausesWithReason() -> void
    {
        loseThreeMaintained();
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(actions, WaveActionKind::PauseWave));
        CPPUNIT_ASSERT(actions.back().m_reason.find("w10") != std::string::npos);
        CPPUNIT_ASSERT(drains(actions).empty());
    }

    auto plan_resumedAfterLosses_continuesUntilMoreAreLost() -> void
    {
        loseThreeMaintained();
        pause(true);
        pause(false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(plan(), WaveActionKind::PauseWave));
    }

    auto plan_zoneFailed_isNotCountedAsLossOfWave() -> void
    {
        m_fleet.setException("pool.budget", "orders", 6);
        m_fleet.startWave("wave");
        for (const auto* id : { "w10", "w11" }) {
            m_fleet.beginDrain("wave", id);
            m_fleet.endDrain("wave", id, true);
        }
        m_fleet.setDefault("wave.harm_limit", 2);
        for (const auto* id : { "w10", "w11", "w12", "w13" })
            fail(id);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(plan(), WaveActionKind::PauseWave));
    }

    auto plan_maintainedRackLost_pausesOnlyAtTheSecond() -> void
    {
        m_fleet.setException("pool.budget", "orders", 8);
        m_fleet.setDefault("wave.harm_limit", 2);
        m_fleet.startWave("wave");
        loseMaintained({ "w10", "w11" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(plan(), WaveActionKind::PauseWave));
        m_state.m_inFlight.clear();
        loseMaintained({ "w14", "w15" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(plan(), WaveActionKind::PauseWave));
    }

    auto plan_widthBeforeAnyReturned_staysSmall() -> void
    {
        m_fleet.setException("pool.budget", "orders", 12);
        m_fleet.setException("wave.cover", "orders", 0);
        m_fleet.setDefault("wave.harm_limit", 1);
        m_fleet.startWave("wave");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), drains(plan()).size());
    }

    auto plan_finishBySoon_widthGrows() -> void
    {
        constexpr WallMillis drain = 1'800'000;
        m_fleet.setException("pool.budget", "orders", 6);
        m_fleet.setException("wave.cover", "orders", 0);
        m_fleet.setDefault("wave.width", 1);
        m_fleet.startWave("wave", m_fleet.m_now + 3 * drain);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), drains(plan()).size());
    }

    auto plan_wholeWave_maintainsEveryInstanceWithinBudget() -> void
    {
        m_fleet.setException("pool.budget", "orders", 4);
        m_fleet.startWave("wave");
        for (auto round = 0; round < 100; ++round) {
            applyRecords(plan());
            CPPUNIT_ASSERT(unavailableIn(m_fleet.m_state.m_pools, "orders") <= 4);
            for (auto& [id, health] : m_input.m_health)
                health.m_rebooted = !m_fleet.instance(id).m_drainingFor.empty();
            advance(1000);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), m_fleet.m_state.m_maintenance.m_waves.at("wave").m_done.size());
    }

private:
    auto plan() -> std::vector<WaveAction>
    {
        m_input.m_now = m_fleet.m_now;
        return planWave(m_fleet.m_state, m_state, m_input);
    }

    auto advance(WallMillis duration) -> void { m_fleet.m_now += duration; }

    auto fail(const std::string& id) -> void
    {
        m_fleet.mark(id, false);
        m_input.m_health[id].m_healthy = false;
    }

    auto applyRecords(const std::vector<WaveAction>& actions) -> void
    {
        for (const auto& action : actions) {
            if (action.m_kind == WaveActionKind::BeginDrain)
                CPPUNIT_ASSERT(m_fleet.beginDrain(action.m_wave, action.m_instance).m_error == ErrorKind::None);
            if (action.m_kind == WaveActionKind::EndDrain)
                m_fleet.endDrain(action.m_wave, action.m_instance, action.m_healthy);
            onWaveRecorded(m_state, action);
        }
    }

    auto pause(bool paused) -> void
    {
        wire::Operation operation;
        operation.mutable_pause_wave()->set_wave("wave");
        operation.mutable_pause_wave()->set_paused(paused);
        operation.mutable_pause_wave()->set_reason("test");
        m_fleet.fold(operation);
    }

    auto loseThreeMaintained() -> void
    {
        m_fleet.setException("pool.budget", "orders", 6);
        m_fleet.startWave("wave");
        loseMaintained({ "w10", "w14", "w18" });
    }

    auto loseMaintained(std::initializer_list<const char*> ids) -> void
    {
        for (const auto* id : ids) {
            m_fleet.beginDrain("wave", id);
            m_fleet.endDrain("wave", id, true);
            fail(id);
        }
    }

    static auto drains(const std::vector<WaveAction>& actions) -> std::vector<std::string>
    {
        std::vector<std::string> ids;
        for (const auto& action : actions) {
            if (action.m_kind == WaveActionKind::BeginDrain)
                ids.push_back(action.m_instance);
        }
        return ids;
    }

    static auto countOf(const std::vector<WaveAction>& actions, WaveActionKind kind) -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [&](const auto& action) { return action.m_kind == kind; }));
    }

    FleetFixture m_fleet;
    WavePlanState m_state;
    WaveInput m_input;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanWaveTest);

} // namespace hemlockvane
