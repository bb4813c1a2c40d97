#include "hemlockvane/fleet/FleetTiming.h"
#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/fleet/MachineHistory.h"
#include "hemlockvane/fleet/PlanMachineWave.h"
#include "hemlockvane/fleet/PlanPoolMoves.h"
#include "hemlockvane/fleet/WaveState.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane::fleet {

class MachinePlansTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MachinePlansTest);
    CPPUNIT_TEST(wave_emptyReservedMachine_isMaintained);
    CPPUNIT_TEST(wave_machineWithLongRunningTask_isNotMaintainedEvenLate);
    CPPUNIT_TEST(wave_machineWithUnknownRuns_isNotMaintainedEvenLate);
    CPPUNIT_TEST(wave_machineWithShortTasks_isNotMaintainedEvenLate);
    CPPUNIT_TEST(wave_late_drainsNextMachinesWhileOthersAreDown);
    CPPUNIT_TEST(wave_maxConcurrentDown_startsNoOther);
    CPPUNIT_TEST(wave_busyPool_keepsMostMachines);
    CPPUNIT_TEST(wave_machineWithLongRunningTasks_isDrainedFirst);
    CPPUNIT_TEST(wave_busySmallPoolWithSpareCapacity_reservesHalf);
    CPPUNIT_TEST(wave_machineNotBegun_isNotCompleted);
    CPPUNIT_TEST(moves_demandAboveCapacity_takesSpareMachinesFirst);
    CPPUNIT_TEST(moves_demandAboveCapacity_takesLongIdleMachineBeforeSpareOne);
    CPPUNIT_TEST(moves_machineWithTasks_stays);
    CPPUNIT_TEST(moves_machineWithUnknownRuns_stays);
    CPPUNIT_TEST(moves_machineWithUnknownRuns_countsAsIdleInItsPool);
    CPPUNIT_TEST(moves_poolWithWaitingTasks_givesUpNoMachine);
    CPPUNIT_TEST(moves_longIdleMachine_returnsToSparePool);
    CPPUNIT_TEST(moves_machinesAlreadyLeaving_twoAreKept);
    CPPUNIT_TEST(moves_waitingTaskThatFitsNowhere_bringsOneMachine);
    CPPUNIT_TEST(moves_waitingTasksWantSeveralMachines_bringsThemAtOnce);
    CPPUNIT_TEST(drains_longRunningTaskWaitsInFullFleet_drainsTheLeastBusyMachine);
    CPPUNIT_TEST(drains_machineOfItsOwnPool_comesFirst);
    CPPUNIT_TEST(drains_longRunningTaskWaitsShortly_drainsNothing);
    CPPUNIT_TEST(drains_machineIsComing_drainsNoOther);
    CPPUNIT_TEST(drains_machinesWithLongRunningTasks_areLeftAlone);
    CPPUNIT_TEST(drains_poolsOfTwoMachines_keepThem);
    CPPUNIT_TEST(drains_drainedMachineIsBusy_staysReserved);
    CPPUNIT_TEST(drains_drainedMachineIsEmpty_moves);
    CPPUNIT_TEST(drains_drainedMachineOfItsOwnPoolIsEmpty_isReleased);
    CPPUNIT_TEST(drains_drainedMachineNotWanted_isReleased);
    CPPUNIT_TEST(moves_machineInTransit_orderedOnlyOnce);
    CPPUNIT_TEST(moves_waitingTaskWithLabel_bringsMachineThatHasIt);
    CPPUNIT_TEST(moves_arrivalsGrow_bringsWhatIsNeededWhenTheMoveIsDone);
    CPPUNIT_TEST(moves_arrivalsGrowFast_expectsAtMostTwiceAsMany);
    CPPUNIT_TEST(moves_arrivalsGrow_poolKeepsItsMachines);
    CPPUNIT_TEST(moves_machineInEvacuatedZone_isNotMovedToShortPool);
    CPPUNIT_TEST(moves_idleMachineInEvacuatedZone_returnsToSparePool);
    CPPUNIT_TEST(moves_machineInEvacuatedZone_doesNotCountAsIdleInItsPool);
    CPPUNIT_TEST(drains_machineInEvacuatedZone_isLeftAlone);
    CPPUNIT_TEST(wave_machineInEvacuatedZone_isReservedFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_view = {};
        m_view.m_pools["a"] = { "a", false, 4 * machineMilliCores, 0, 0, 0, 0, {} };
        m_view.m_pools["b"] = { "b", false, 4 * machineMilliCores, 0, 0, 0, 0, {} };
        m_view.m_pools["spare"] = { "spare", true, machineMilliCores, 0, 0, 0, 0, {} };
        for (const auto* pool : { "a", "b" }) {
            for (int index = 0; index < 4; ++index)
                addMachine(std::string(pool) + std::to_string(index), pool);
        }
        addMachine("s0", "spare").m_isSpare = true;
        m_wave = {};
        m_wave.m_order = { 1, { "a0", "a1", "a2", "a3" }, Duration(20000), 2 };
        m_wave.m_seenAt = m_now;
    }

    auto wave_emptyReservedMachine_isMaintained() -> void
    {
        machine("a0").m_isReserved = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count(wave(), FleetActionKind::Maintain));
    }

    auto wave_machineWithLongRunningTask_isNotMaintainedEvenLate() -> void
    {
        machine("a0").m_isReserved = true;
        machine("a0").m_runs = 1;
        machine("a0").m_activeLongRunningRuns = 1;
        m_now += Duration(19500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(wave(), FleetActionKind::Maintain));
    }

    auto wave_machineWithUnknownRuns_isNotMaintainedEvenLate() -> void
    {
        machine("a0").m_isReserved = true;
        machine("a0").m_mayHaveUnknownRuns = true;
        m_now += Duration(19500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(wave(), FleetActionKind::Maintain));
    }

    // Guards against an upkeep that ends tasks, whose ends are then not read, so that they run again.
    auto wave_machineWithShortTasks_isNotMaintainedEvenLate() -> void
    {
        machine("a0").m_isReserved = true;
        machine("a0").m_runs = 1;
        m_now += Duration(19500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(wave(), FleetActionKind::Maintain));
    }

    auto wave_late_drainsNextMachinesWhileOthersAreDown() -> void
    {
        m_wave.m_downSince = { { "x", m_now }, { "y", m_now } };
        CPPUNIT_ASSERT(wave().empty());
        m_now += Duration(17000);
        const auto actions = wave();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, count(actions, FleetActionKind::Reserve));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(actions, FleetActionKind::Maintain));
    }

    auto wave_maxConcurrentDown_startsNoOther() -> void
    {
        machine("a0").m_isReserved = true;
        m_wave.m_downSince = { { "x", m_now }, { "y", m_now } };
        CPPUNIT_ASSERT(wave().empty());
    }

    auto wave_busyPool_keepsMostMachines() -> void
    {
        m_view.m_pools["a"].m_usedMilliCores = 4 * machineMilliCores;
        CPPUNIT_ASSERT(count(wave(), FleetActionKind::Reserve) <= 1);
    }

    auto wave_machineWithLongRunningTasks_isDrainedFirst() -> void
    {
        machine("a2").m_runs = 2;
        machine("a2").m_activeLongRunningRuns = 2;
        m_wave.m_order.m_maxConcurrent = 1;
        const auto actions = wave();
        CPPUNIT_ASSERT(!actions.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a2"), actions.front().m_machine);
    }

    auto wave_busySmallPoolWithSpareCapacity_reservesHalf() -> void
    {
        // Three of the pool's four machines are in use, and the spare pool has capacity for eight more.
        m_view.m_pools["a"].m_usedMilliCores = 3 * machineMilliCores;
        m_view.m_pools["spare"].m_capacityMilliCores = 8 * machineMilliCores;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, count(wave(), FleetActionKind::Reserve));
    }

    auto wave_machineNotBegun_isNotCompleted() -> void
    {
        MachineHistory history;
        for (const auto& item : m_view.m_machines)
            history.m_newest.m_machines.push_back(item.m_machine);
        history.m_newest.m_askedAt = m_now + Duration(1);
        m_wave.m_startedMachines = { "a0", "a1", "a2" };
        CPPUNIT_ASSERT(!isWaveCompleted(history, m_wave));
        m_wave.m_startedMachines.insert("a3");
        CPPUNIT_ASSERT(isWaveCompleted(history, m_wave));
    }

    auto moves_demandAboveCapacity_takesSpareMachinesFirst() -> void
    {
        m_view.m_pools["a"].m_usedMilliCores = 4 * machineMilliCores;
        m_view.m_pools["a"].m_waitingMilliCores = machineMilliCores / 2;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s0"), actions.front().m_machine);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions.front().m_pool);
    }

    // Guards against two orders for each machine when one pool's turn ends as another's begins.
    auto moves_demandAboveCapacity_takesLongIdleMachineBeforeSpareOne() -> void
    {
        m_view.m_pools["a"].m_usedMilliCores = 4 * machineMilliCores;
        m_view.m_pools["a"].m_waitingMilliCores = machineMilliCores / 2;
        for (const auto* id : { "b0", "b1", "b2" })
            machine(id).m_runs = 1;
        machine("b3").m_idleSince = m_now - Duration(5000);
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b3"), actions.front().m_machine);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions.front().m_pool);
    }

    auto moves_machineWithTasks_stays() -> void
    {
        m_view.m_pools["a"].m_waitingMilliCores = 20 * machineMilliCores;
        for (auto& item : m_view.m_machines)
            item.m_runs = 1;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto moves_machineWithUnknownRuns_stays() -> void
    {
        m_now += Duration(60000);
        for (auto& item : m_view.m_machines)
            item.m_mayHaveUnknownRuns = true;
        CPPUNIT_ASSERT(moves().empty());
    }

    // Guards against moves of further machines to a pool whose executors have not answered a new owner yet.
    auto moves_machineWithUnknownRuns_countsAsIdleInItsPool() -> void
    {
        addWaitingTask({});
        machine("a0").m_runs = 0;
        machine("a0").m_mayHaveUnknownRuns = true;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto moves_poolWithWaitingTasks_givesUpNoMachine() -> void
    {
        m_view.m_pools["a"].m_waitingMilliCores = 20 * machineMilliCores;
        m_view.m_pools["b"].m_waitingMilliCores = 20 * machineMilliCores;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s0"), actions.front().m_machine);
    }

    auto moves_longIdleMachine_returnsToSparePool() -> void
    {
        m_now += Duration(60000);
        const auto actions = moves();
        // Each pool keeps two of its four machines.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("spare"), actions.front().m_pool);
    }

    auto moves_machinesAlreadyLeaving_twoAreKept() -> void
    {
        m_now += Duration(60000);
        for (const auto* id : { "a0", "a1", "b0", "b1" }) {
            machine(id).m_hasPendingOrder = true;
            machine(id).m_destinationPool = "spare";
        }
        CPPUNIT_ASSERT(moves().empty());
    }

    auto moves_waitingTaskThatFitsNowhere_bringsOneMachine() -> void
    {
        addWaitingTask({});
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions.front().m_pool);
    }

    auto moves_waitingTasksWantSeveralMachines_bringsThemAtOnce() -> void
    {
        addWaitingTask({}, 3);
        machine("s0").m_destinationPool = "a";
        machine("s0").m_hasPendingOrder = true;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, actions.size());
        for (const auto& action : actions)
            CPPUNIT_ASSERT_EQUAL(std::string("a"), action.m_pool);
    }

    // Guards against a long-running task that waits as long as all other pools are busy.
    auto drains_longRunningTaskWaitsInFullFleet_drainsTheLeastBusyMachine() -> void
    {
        wantMachineInFullFleet();
        machine("b2").m_usedCpuMilliCores = machineMilliCores / 2;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == FleetActionKind::Drain);
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), actions[0].m_machine);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions[0].m_pool);
    }

    auto drains_machineOfItsOwnPool_comesFirst() -> void
    {
        wantMachineInFullFleet();
        machine("a3").m_activeLongRunningRuns = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("a3"), moves().at(0).m_machine);
    }

    auto drains_longRunningTaskWaitsShortly_drainsNothing() -> void
    {
        wantMachineInFullFleet();
        m_view.m_pools["a"].m_waitOfLongRunning = m_timing.m_patienceForLongRunning - Duration(1);
        CPPUNIT_ASSERT(moves().empty());
    }

    auto drains_machineIsComing_drainsNoOther() -> void
    {
        wantMachineInFullFleet();
        machine("b1").m_machine.m_state = MachineState::Moving;
        machine("b1").m_destinationPool = "a";
        CPPUNIT_ASSERT(moves().empty());
        machine("b1").m_machine.m_state = MachineState::Up;
        machine("b1").m_destinationPool.clear();
        machine("b1").m_isReserved = true;
        machine("b1").m_drainedFor = "a";
        CPPUNIT_ASSERT(moves().empty());
    }

    auto drains_machinesWithLongRunningTasks_areLeftAlone() -> void
    {
        wantMachineInFullFleet();
        for (auto& machine : m_view.m_machines)
            machine.m_activeLongRunningRuns = 1;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto drains_poolsOfTwoMachines_keepThem() -> void
    {
        wantMachineInFullFleet();
        for (const auto* gone : { "b0", "b1" })
            machine(gone).m_machine.m_state = MachineState::Down;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto drains_drainedMachineIsBusy_staysReserved() -> void
    {
        drainForA("b1");
        CPPUNIT_ASSERT(moves().empty());
    }

    auto drains_drainedMachineIsEmpty_moves() -> void
    {
        drainForA("b1");
        machine("b1").m_runs = 0;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == FleetActionKind::Move);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), actions[0].m_machine);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions[0].m_pool);
    }

    auto drains_drainedMachineOfItsOwnPoolIsEmpty_isReleased() -> void
    {
        drainForA("a3");
        machine("a3").m_runs = 0;
        CPPUNIT_ASSERT(moves().at(0).m_kind == FleetActionKind::Release);
    }

    auto drains_drainedMachineNotWanted_isReleased() -> void
    {
        drainForA("b1");
        m_view.m_pools["a"].m_machinesForLongRunning.clear();
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == FleetActionKind::Release);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), actions[0].m_machine);
    }

    auto moves_machineInTransit_orderedOnlyOnce() -> void
    {
        addWaitingTask({});
        machine("s0").m_destinationPool = "a";
        machine("s0").m_hasPendingOrder = true;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto moves_waitingTaskWithLabel_bringsMachineThatHasIt() -> void
    {
        addWaitingTask("gpu");
        CPPUNIT_ASSERT(moves().empty());
        machine("b2").m_machine.m_labels = { "gpu" };
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), actions.front().m_machine);
    }

    auto moves_arrivalsGrow_bringsWhatIsNeededWhenTheMoveIsDone() -> void
    {
        // Four machines are enough now, but not in the 1.5 s that a move takes.
        m_view.m_pools["a"].m_arrivingMilliCores = 3 * machineMilliCores;
        CPPUNIT_ASSERT(moves().empty());
        m_view.m_pools["a"].m_arrivingGrowth = machineMilliCores;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), actions.front().m_pool);
    }

    // Guards against a whole fleet that is ordered for a few jobs.
    auto moves_arrivalsGrowFast_expectsAtMostTwiceAsMany() -> void
    {
        m_view.m_pools["a"].m_arrivingMilliCores = machineMilliCores;
        m_view.m_pools["a"].m_arrivingGrowth = 20 * machineMilliCores;
        CPPUNIT_ASSERT(moves().empty());
    }

    auto moves_arrivalsGrow_poolKeepsItsMachines() -> void
    {
        m_now += Duration(60000);
        m_view.m_pools["a"].m_arrivingMilliCores = 2 * machineMilliCores;
        m_view.m_pools["a"].m_arrivingGrowth = machineMilliCores;
        const auto actions = moves();
        for (const auto& action : actions)
            CPPUNIT_ASSERT_EQUAL('b', action.m_machine.front());
    }

    // Guards against capacity that is ordered where no task may be started.
    auto moves_machineInEvacuatedZone_isNotMovedToShortPool() -> void
    {
        m_view.m_pools["a"].m_waitingMilliCores = 8 * machineMilliCores;
        machine("s0").m_isZoneEvacuated = true;
        for (const auto& action : moves())
            CPPUNIT_ASSERT(action.m_machine != "s0");
    }

    auto moves_idleMachineInEvacuatedZone_returnsToSparePool() -> void
    {
        machine("b0").m_isZoneEvacuated = true;
        m_now += m_timing.m_idleTimeout;
        for (auto& item : m_view.m_machines) {
            if (item.m_machine.m_id != "b0")
                item.m_runs = 1;
        }
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b0"), actions.front().m_machine);
        CPPUNIT_ASSERT_EQUAL(std::string("spare"), actions.front().m_pool);
    }

    auto moves_machineInEvacuatedZone_doesNotCountAsIdleInItsPool() -> void
    {
        for (auto& item : m_view.m_machines) {
            item.m_isZoneEvacuated = item.m_machine.m_pool == "a";
            item.m_runs = item.m_machine.m_pool == "b" ? 1 : 0;
        }
        m_view.m_pools["a"].m_machinesWanted[""] = 1;
        const auto actions = moves();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s0"), actions.front().m_machine);
    }

    auto drains_machineInEvacuatedZone_isLeftAlone() -> void
    {
        for (auto& item : m_view.m_machines) {
            item.m_isZoneEvacuated = true;
            item.m_runs = 1;
        }
        m_view.m_pools["a"].m_machinesForLongRunning[""] = 1;
        m_view.m_pools["a"].m_waitOfLongRunning = Duration(5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(moves(), FleetActionKind::Drain));
    }

    auto wave_machineInEvacuatedZone_isReservedFirst() -> void
    {
        machine("a3").m_isZoneEvacuated = true;
        machine("a3").m_usedCpuMilliCores = machineMilliCores;
        const auto actions = wave();
        CPPUNIT_ASSERT(!actions.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a3"), actions.front().m_machine);
    }

private:
    // Small tasks wait in a pool with most of its cores free, but without a machine that may run them.
    auto addWaitingTask(const std::string& label, std::uint32_t wanted = 1) -> void
    {
        m_view.m_pools["a"].m_usedMilliCores = machineMilliCores;
        m_view.m_pools["a"].m_waitingMilliCores = machineMilliCores / 10;
        m_view.m_pools["a"].m_machinesWanted = { { label, wanted } };
        for (const auto* id : { "a0", "a1", "a2", "a3" })
            machine(id).m_runs = 1;
    }

    // All machines are busy, and a long-running task has waited for one more in pool a, whose machines run such tasks.
    auto wantMachineInFullFleet() -> void
    {
        addWaitingTask("");
        m_view.m_pools["a"].m_machinesForLongRunning = { { "", 1 } };
        m_view.m_pools["a"].m_waitOfLongRunning = m_timing.m_patienceForLongRunning;
        std::erase_if(m_view.m_machines, [](const MachineView& item) { return item.m_isSpare; });
        for (auto& item : m_view.m_machines) {
            item.m_runs = 1;
            item.m_usedCpuMilliCores = machineMilliCores;
            item.m_activeLongRunningRuns = item.m_machine.m_pool == "a" ? 1 : 0;
        }
    }

    auto drainForA(const std::string& id) -> void
    {
        wantMachineInFullFleet();
        machine(id).m_isReserved = true;
        machine(id).m_drainedFor = "a";
    }

    static constexpr std::int64_t machineMilliCores = 32000;

    auto addMachine(const std::string& id, const std::string& pool) -> MachineView&
    {
        MachineView added;
        added.m_machine.m_id = id;
        added.m_machine.m_pool = pool;
        added.m_machine.m_state = MachineState::Up;
        added.m_machine.m_capacity.m_cpuMilliCores = machineMilliCores;
        added.m_hasExecutor = true;
        added.m_idleSince = m_now;
        m_view.m_machines.push_back(added);
        return m_view.m_machines.back();
    }

    auto machine(const std::string& id) -> MachineView&
    {
        return *std::find_if(m_view.m_machines.begin(), m_view.m_machines.end(),
            [&](const MachineView& item) { return item.m_machine.m_id == id; });
    }

    auto wave() -> std::vector<FleetAction>
    {
        std::vector<FleetAction> actions;
        planMachineWave(m_view, m_wave, {}, m_now, actions);
        return actions;
    }

    auto moves() -> std::vector<FleetAction>
    {
        std::vector<FleetAction> actions;
        planPoolMoves(m_view, {}, m_now, actions);
        return actions;
    }

    static auto count(const std::vector<FleetAction>& actions, FleetActionKind kind) -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            actions.begin(), actions.end(), [&](const FleetAction& action) { return action.m_kind == kind; }));
    }

    FleetView m_view;
    FleetTiming m_timing;
    WaveState m_wave;
    Instant m_now { Duration(100000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachinePlansTest);

} // namespace hemlockvane::fleet
