#include "hemlockvane/detail/coordinator/ManageFleet.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "shell/coordinator/MemoryStore.h"
#include "shell/coordinator/RecordingMachines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace hemlockvane::detail {

namespace {

constexpr scheduling::JobId job = 7;
const scheduling::TaskKey task { job, 0, 0, 0 };

} // namespace

/// One machine with a long-running task, which a wave wants to maintain.
class ManageFleetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManageFleetTest);
    CPPUNIT_TEST(wave_rulesNotRead_leavesTasksAlone);
    CPPUNIT_TEST(wave_rulesRead_drainsMachine);
    CPPUNIT_TEST(wave_rulesOlderThanPredecessors_leavesTasksAlone);
    CPPUNIT_TEST(list_olderThanAnExecutorsLife_itsRunsGoOn);
    CPPUNIT_TEST(wave_ordersMachineThatTheLastListLacks_isNotCompleted);
    CPPUNIT_TEST(wave_listAskedForBeforeItArrivesAfterIt_isNotCompleted);
    CPPUNIT_TEST(wave_machineIsMissingFromOneListOnly_isNotCompleted);
    CPPUNIT_TEST(wave_machineIsGone_isCompleted);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        CoordinatorPorts ports;
        ports.m_store = &m_store;
        ports.m_machines = &m_machines;
        ports.m_metrics = &m_metrics;
        ports.m_waveStatus = [](std::uint64_t, bool) { return std::string(); };
        ports.m_newestRenewal = [] { return 7; };
        ports.m_renewalWrittenBy = [](std::uint64_t) { return monotonicNow(); };
        ports.m_renewedAt = [] { return monotonicNow(); };
        m_state = std::make_shared<CoordinatorState>(*m_context, ports, 1);
        m_machines.m_listed = { machine("m1", "e1"), machine("m2", "e2") };
        fleet::WaveState wave;
        wave.m_order = { 3, { "m1", "m2" }, Duration(2000), 2 };
        wave.m_seenAt = monotonicNow();
        addWave(*m_state, wave);
        startLongRunningTask();
    }

    auto tearDown() -> void override
    {
        m_state->m_isStopped = true;
        m_context->stop();
        m_context.reset();
    }

    // Guards against stopping tasks by loads that are not known, while nothing can be started.
    auto wave_rulesNotRead_leavesTasksAlone() -> void
    {
        run();
        CPPUNIT_ASSERT(m_state->m_fleet.m_reserved.empty());
        CPPUNIT_ASSERT(findRun()->m_phase == scheduling::RunPhase::Running);
    }

    auto wave_rulesRead_drainsMachine() -> void
    {
        m_state->m_scheduler.m_rules.m_services = { "orders" };
        run();
        CPPUNIT_ASSERT(!m_state->m_fleet.m_reserved.empty());
        CPPUNIT_ASSERT(findRun()->m_phase == scheduling::RunPhase::Stopping);
    }

    // Guards against machines that are moved or drained by a configuration that the predecessor knew to be replaced.
    auto wave_rulesOlderThanPredecessors_leavesTasksAlone() -> void
    {
        m_state->m_scheduler.m_rules.m_services = { "orders" };
        m_state->m_scheduler.m_rules.m_version = 7;
        restoreJournal(*m_state, { { { rulesVersionKey, "8", 0 } }, 1 });
        run();
        CPPUNIT_ASSERT(m_state->m_fleet.m_reserved.empty());
        CPPUNIT_ASSERT(findRun()->m_phase == scheduling::RunPhase::Running);
    }

    // Guards against a second run of each task on an executor that is back from its upkeep under its id.
    auto list_olderThanAnExecutorsLife_itsRunsGoOn() -> void
    {
        run();
        const auto index = m_state->m_scheduler.m_executorById.at("e1");
        m_machines.m_listed->front().m_state = fleet::MachineState::Upkeep;
        m_machines.m_duringList = [&] {
            m_machines.m_listed->front().m_state = fleet::MachineState::Up;
            auto entry = m_state->m_scheduler.m_executors[index]->m_entry;
            ++entry.m_startedAtMs;
            scheduling::registerExecutor(m_state->m_scheduler, entry, monotonicNow(), monotonicNow());
            scheduling::addRun(m_state->m_scheduler, task, 2, index, scheduling::RunPhase::Running, monotonicNow());
        };
        m_context->run_for(Duration(600)); // Several lists.
        CPPUNIT_ASSERT(scheduling::findRun(m_state->m_scheduler, task, 2, index) != nullptr);
    }

    // Guards against a wave that is completed by a list from before its order (review/15).
    auto wave_ordersMachineThatTheLastListLacks_isNotCompleted() -> void
    {
        runWithRules();
        m_machines.m_listed.reset();
        orderWave("m3");
        m_context->run_for(Duration(600));
        CPPUNIT_ASSERT(!isCompleted());
        m_machines.m_listed = { machine("m3", "e3") };
        m_context->run_for(Duration(1000)); // Several lists.
        CPPUNIT_ASSERT(!isCompleted());
    }

    // Guards against a wave that is completed by a list which was under way when its order was read.
    auto wave_listAskedForBeforeItArrivesAfterIt_isNotCompleted() -> void
    {
        runWithRules();
        m_machines.m_duringList = [this] {
            m_machines.m_listed.reset();
            orderWave("m3");
        };
        m_context->run_for(Duration(1000));
        CPPUNIT_ASSERT(!isCompleted());
    }

    // Guards against a wave that is completed although a machine of it was only missed between two pages of a list.
    auto wave_machineIsMissingFromOneListOnly_isNotCompleted() -> void
    {
        runWithRules();
        orderWave("m3");
        m_machines.m_duringList = [this] { m_machines.m_listed->push_back(machine("m3", "e3")); };
        m_context->run_for(Duration(1500)); // Several lists.
        CPPUNIT_ASSERT(!isCompleted());
    }

    // Guards against a wave that never ends since one of its machines does not exist any more.
    auto wave_machineIsGone_isCompleted() -> void
    {
        runWithRules();
        orderWave("m3");
        m_context->run_for(Duration(2000)); // Several lists.
        CPPUNIT_ASSERT(isCompleted());
    }

private:
    static constexpr std::uint64_t secondWave = 4;

    static auto machine(const std::string& id, const std::string& executor) -> fleet::Machine
    {
        return { id, "orders", fleet::MachineState::Up, "z", {}, { 8000, 16000, 0 }, executor };
    }

    auto orderWave(const std::string& machine) -> void
    {
        fleet::WaveState wave;
        wave.m_order = { secondWave, { machine }, Duration(20000), 1 };
        wave.m_seenAt = monotonicNow();
        addWave(*m_state, wave);
    }

    auto isCompleted() -> bool { return m_state->m_fleet.m_waves.at(secondWave).m_isCompleted; }

    auto runWithRules() -> void
    {
        m_state->m_scheduler.m_rules.m_services = { "orders" };
        run();
    }

    auto startLongRunningTask() -> void
    {
        auto& scheduler = m_state->m_scheduler;
        for (const auto* id : { "e1", "e2" }) {
            scheduling::ExecutorEntry entry;
            entry.m_id = id;
            entry.m_startedAtMs = 1;
            entry.m_service = "orders";
            const auto index = scheduling::registerExecutor(scheduler, entry, monotonicNow(), monotonicNow());
            scheduler.m_executors[index]->m_isReconciled = true;
        }
        scheduling::JobSpec spec;
        spec.m_id = job;
        spec.m_queue = "batch";
        spec.m_steps.resize(1);
        spec.m_steps[0].m_isLongRunning = true;
        scheduling::addJob(scheduler, std::move(spec), monotonicNow(), wallNow());
        scheduling::addRun(
            scheduler, task, 1, scheduler.m_executorById.at("e1"), scheduling::RunPhase::Running, monotonicNow())
            .m_percent
            = 100;
    }

    auto findRun() -> scheduling::TaskRun*
    {
        return scheduling::findRun(m_state->m_scheduler, task, 1, m_state->m_scheduler.m_executorById.at("e1"));
    }

    auto run() -> void
    {
        boost::asio::co_spawn(*m_context, manageFleet(m_state), boost::asio::detached);
        m_context->run_for(Duration(600)); // Several plans.
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    MemoryStore m_store;
    RecordingMachines m_machines;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManageFleetTest);

} // namespace hemlockvane::detail
