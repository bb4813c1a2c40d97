#include "hemlockvane/detail/coordinator/MachineOrders.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/FleetViews.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "shell/coordinator/RecordingMachines.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace hemlockvane::detail {

class MachineOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MachineOrdersTest);
    CPPUNIT_TEST(order_placed_isSentOnlyOnceStored);
    CPPUNIT_TEST(order_ofEarlierOwner_blocksOnlyThatMachine);
    CPPUNIT_TEST(order_ofLongAgo_blocksNoMachine);
    CPPUNIT_TEST(maintenance_orderedByEarlierOwner_countsAsDown);
    CPPUNIT_TEST(order_refused_releasesReservation);
    CPPUNIT_TEST(order_ownershipNotRenewed_isAbandoned);
    CPPUNIT_TEST(maintenance_notAnsweredYet_countsAsDownWhateverTheListShows);
    CPPUNIT_TEST(maintenance_listRequestedAfterAnswer_settlesIt);
    CPPUNIT_TEST(maintenance_machineIsGone_freesItsPlace);
    CPPUNIT_TEST(maintenance_machineIsMissingFromListsOfBefore_keepsItsPlace);
    CPPUNIT_TEST(move_accepted_executorTakesNoTaskUntilSettled);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_machines = {};
        m_renewedAt = monotonicNow();
        m_writtenBy = m_renewedAt;
        m_state = makeState();
    }

    auto order_placed_isSentOnlyOnceStored() -> void
    {
        placeMachineOrder(*m_state, move());
        m_context.poll();
        CPPUNIT_ASSERT(m_machines.m_moved.empty());
        CPPUNIT_ASSERT(m_state->m_pendingRecords.contains("mm1"));
        send();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_machines.m_moved.size());
    }

    auto order_ofEarlierOwner_blocksOnlyThatMachine() -> void
    {
        placeMachineOrder(*m_state, move());
        const auto stored = m_state->m_pendingRecords.at("mm1");
        m_state = makeState();
        CPPUNIT_ASSERT(restoreMachineOrder(*m_state, "m1", stored));
        CPPUNIT_ASSERT(isBlocked("m1"));
        CPPUNIT_ASSERT(!isBlocked("m2"));
    }

    auto order_ofLongAgo_blocksNoMachine() -> void
    {
        m_writtenBy = monotonicNow() - Duration(10000);
        CPPUNIT_ASSERT(restoreMachineOrder(*m_state, "m1", {}));
        CPPUNIT_ASSERT(!isBlocked("m1"));
    }

    auto maintenance_orderedByEarlierOwner_countsAsDown() -> void
    {
        placeMaintenance();
        const auto stored = m_state->m_pendingRecords.at("mm1");
        m_state = makeState();
        CPPUNIT_ASSERT(restoreMachineOrder(*m_state, "m1", stored));
        CPPUNIT_ASSERT(m_state->m_fleet.m_waves[3].m_downSince.contains("m1"));
    }

    auto order_refused_releasesReservation() -> void
    {
        m_machines.m_outcome = MachineOutcome::Refused;
        placeMachineOrder(*m_state, move());
        CPPUNIT_ASSERT(m_state->m_fleet.m_reserved.contains("m1"));
        send();
        CPPUNIT_ASSERT(!m_state->m_fleet.m_reserved.contains("m1"));
        CPPUNIT_ASSERT(!isBlocked("m1"));
    }

    auto order_ownershipNotRenewed_isAbandoned() -> void
    {
        m_renewedAt = monotonicNow() - Duration(5000);
        placeMachineOrder(*m_state, move());
        send();
        CPPUNIT_ASSERT(m_machines.m_moved.empty());
        CPPUNIT_ASSERT(!m_state->m_fleet.m_reserved.contains("m1"));
    }

    auto maintenance_notAnsweredYet_countsAsDownWhateverTheListShows() -> void
    {
        placeMaintenance();
        settle(Duration(5000));
        CPPUNIT_ASSERT(isDown());
        CPPUNIT_ASSERT(isBlocked("m1"));
    }

    auto maintenance_listRequestedAfterAnswer_settlesIt() -> void
    {
        placeMaintenance();
        send();
        settle(Duration(0));
        CPPUNIT_ASSERT(isDown());
        settle(Duration(5000));
        CPPUNIT_ASSERT(!isDown());
        CPPUNIT_ASSERT(!isBlocked("m1"));
    }

    // Guards against a wave that never goes on: a machine that was removed during its upkeep kept one of the places of
    // those that may be down.
    auto maintenance_machineIsGone_freesItsPlace() -> void
    {
        placeMaintenance();
        send();
        listWithout("m1", Duration(1000));
        CPPUNIT_ASSERT(isDown());
        listWithout("m1", Duration(1400));
        CPPUNIT_ASSERT(!isDown());
        CPPUNIT_ASSERT(m_state->m_fleet.m_outstandingOrders.empty());
    }

    auto maintenance_machineIsMissingFromListsOfBefore_keepsItsPlace() -> void
    {
        placeMaintenance();
        send();
        listWithout("m1", Duration(0));
        listWithout("m1", Duration(1000));
        CPPUNIT_ASSERT(isDown());
    }

    auto move_accepted_executorTakesNoTaskUntilSettled() -> void
    {
        const auto executor = addExecutor("m1");
        placeMachineOrder(*m_state, move());
        send();
        CPPUNIT_ASSERT(!scheduling::isSchedulable(*m_state->m_scheduler.m_executors[executor], monotonicNow()));
        settle(Duration(5000));
        CPPUNIT_ASSERT(scheduling::isSchedulable(*m_state->m_scheduler.m_executors[executor], monotonicNow()));
    }

private:
    // Registers the executor of a machine.
    auto addExecutor(const std::string& machine) -> scheduling::ExecutorIndex
    {
        scheduling::ExecutorEntry entry;
        entry.m_id = "executor-of-" + machine;
        entry.m_startedAtMs = 1;
        for (auto& listed : newestList(*m_state).m_machines) {
            if (listed.m_id == machine)
                listed.m_executorId = entry.m_id;
        }
        const auto index = scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
        m_state->m_scheduler.m_executors[index]->m_isReconciled = true;
        return index;
    }

    auto placeMaintenance() -> void
    {
        m_state->m_fleet.m_waves[3].m_order = { 3, { "m1", "m2" }, Duration(20000), 1 };
        placeMachineOrder(*m_state, { fleet::FleetActionKind::Maintain, "m1", 3, {}, "test" });
    }

    static auto newestList(CoordinatorState& state) -> fleet::MachineList& { return state.m_fleet.m_machines.m_newest; }

    // Applies a list that shows all machines up.
    auto settle(Duration afterNow) -> void
    {
        settleOrders(*m_state, { newestList(*m_state).m_machines, monotonicNow() + afterNow });
    }

    // Applies a list that lacks a machine.
    auto listWithout(const std::string& machine, Duration afterNow) -> void
    {
        fleet::MachineList list { newestList(*m_state).m_machines, monotonicNow() + afterNow };
        std::erase_if(list.m_machines, [&](const fleet::Machine& listed) { return listed.m_id == machine; });
        fleet::recordList(m_state->m_fleet.m_machines, std::move(list));
        settleGoneMachines(*m_state);
    }

    auto isDown() -> bool { return m_state->m_fleet.m_waves[3].m_downSince.contains("m1"); }

    auto makeState() -> std::shared_ptr<CoordinatorState>
    {
        CoordinatorPorts ports;
        ports.m_machines = &m_machines;
        ports.m_metrics = &m_metrics;
        ports.m_newestRenewal = [] { return 7; };
        ports.m_renewalWrittenBy = [this](std::uint64_t) { return m_writtenBy; };
        ports.m_renewedAt = [this] { return m_renewedAt; };
        auto state = std::make_shared<CoordinatorState>(m_context, ports, 1);
        for (const auto* id : { "m1", "m2" })
            newestList(*state).m_machines.push_back({ id, "spare", fleet::MachineState::Up, "z", {}, {}, {} });
        return state;
    }

    static auto move() -> fleet::FleetAction { return { fleet::FleetActionKind::Move, "m1", 0, "counter", "test" }; }

    auto send() -> void
    {
        sendMachineOrders(m_state, std::move(m_state->m_pendingMachineOrders));
        m_context.restart();
        m_context.poll();
    }

    auto isBlocked(const std::string& id) -> bool
    {
        const auto view = buildFleetView(*m_state, monotonicNow());
        return std::any_of(view.m_machines.begin(), view.m_machines.end(), [&](const fleet::MachineView& machine) {
            return machine.m_machine.m_id == id && machine.m_hasPendingOrder;
        });
    }

    boost::asio::io_context m_context;
    Metrics m_metrics;
    RecordingMachines m_machines;
    Instant m_renewedAt;
    Instant m_writtenBy;
    std::shared_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineOrdersTest);

} // namespace hemlockvane::detail
