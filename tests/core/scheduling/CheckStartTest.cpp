#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/CheckStart.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::scheduling {

class CheckStartTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(CheckStartTest);
    CPPUNIT_TEST(start_planned_mayBeSent);
    CPPUNIT_TEST(start_executorUnregistered_isHeldBack);
    CPPUNIT_TEST(start_executorReserved_isHeldBack);
    CPPUNIT_TEST(start_duplicateAllowed_mayBeSentBesideOther);
    CPPUNIT_TEST(start_notSent_isPlannedAnew);
    CPPUNIT_TEST(repeatedStart_notSent_isStopped);
    CPPUNIT_TEST(gangStart_notSent_stopsOtherMembers);
    CPPUNIT_TEST(start_roomShrankMeanwhile_isNotSent);
    CPPUNIT_TEST(start_roomGrewAgain_isSent);
    CPPUNIT_TEST(unguardedExecutor_registryNotRead_getsNoStart);
    CPPUNIT_TEST(unguardedExecutor_registryNotReadSincePlan_startIsNotSent);
    CPPUNIT_TEST(guardedExecutor_registryNotRead_getsStart);
    CPPUNIT_TEST_SUITE_END();

public:
    auto start_planned_mayBeSent() -> void { CPPUNIT_ASSERT(mayBeSent(startOne(step(1, 1000)))); }

    auto start_executorUnregistered_isHeldBack() -> void
    {
        const auto start = startOne(step(1, 1000));
        unregisterExecutor(m_scheduler, m_scheduler.m_executors[start.m_executor]->m_entry.m_id);
        CPPUNIT_ASSERT(!mayBeSent(start));
    }

    auto start_executorReserved_isHeldBack() -> void
    {
        const auto start = startOne(step(1, 1000));
        m_scheduler.m_executors[start.m_executor]->m_isReserved = true;
        CPPUNIT_ASSERT(!mayBeSent(start));
    }

    auto start_duplicateAllowed_mayBeSentBesideOther() -> void
    {
        auto duplicated = step(1, 1000);
        duplicated.m_allowsDuplicates = true;
        const auto start = startOne(duplicated);
        report(1 - start.m_executor, { { start.m_task, start.m_run + 1, {}, 10, 0 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, findTask(m_scheduler, start.m_task)->m_runs.size());
        CPPUNIT_ASSERT(mayBeSent(start));
    }

    auto start_notSent_isPlannedAnew() -> void
    {
        const auto start = startOne(step(1, 1000));
        answer(start, false);
        const auto again = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again[0].m_kind == ActionKind::Start);
        CPPUNIT_ASSERT_EQUAL(start.m_run + 1, again[0].m_run);
    }

    // An earlier request of the same run got no answer and may be carried out.
    auto repeatedStart_notSent_isStopped() -> void
    {
        const auto start = startOne(step(1, 1000));
        answer(start, true);
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::Stop);
    }

    auto gangStart_notSent_stopsOtherMembers() -> void
    {
        auto gang = step(2, 1000);
        gang.m_isGang = true;
        submit({ gang });
        const auto members = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, members.size());
        answer(members[0], false);
        CPPUNIT_ASSERT(findRun(m_scheduler, members[0].m_task, members[0].m_run, members[0].m_executor) == nullptr);
        CPPUNIT_ASSERT(!mayBeSent(members[1]));
    }

    auto start_roomShrankMeanwhile_isNotSent() -> void
    {
        submit({ step(1, 4000) });
        const auto start = plan().at(0);
        setCapacity(start.m_executor, 3999);
        CPPUNIT_ASSERT(!mayBeSent(start));
    }

    auto start_roomGrewAgain_isSent() -> void
    {
        markTerminated(m_scheduler, 1, m_now);
        submit({ step(1, 4000) });
        setCapacity(0, 3999);
        CPPUNIT_ASSERT(plan().empty());
        setCapacity(0, 4000);
        CPPUNIT_ASSERT(mayBeSent(plan().at(0)));
    }

    // Guards against a start over a capacity that has shrunk while the registry could not be read.
    auto unguardedExecutor_registryNotRead_getsNoStart() -> void
    {
        m_scheduler.m_rules.m_unguardedServices = { "counter" };
        m_scheduler.m_registryReadAt = m_now - Duration(3000);
        submit({ step(1, 4000) });
        CPPUNIT_ASSERT(plan().empty());
        m_scheduler.m_registryReadAt = m_now;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
    }

    auto unguardedExecutor_registryNotReadSincePlan_startIsNotSent() -> void
    {
        m_scheduler.m_rules.m_unguardedServices = { "counter" };
        m_scheduler.m_registryReadAt = m_now;
        submit({ step(1, 4000) });
        const auto start = plan().at(0);
        CPPUNIT_ASSERT(mayBeSent(start));
        m_now += Duration(3000);
        CPPUNIT_ASSERT(!mayBeSent(start));
    }

    auto guardedExecutor_registryNotRead_getsStart() -> void
    {
        submit({ step(1, 4000) });
        CPPUNIT_ASSERT(mayBeSent(plan().at(0)));
    }

private:
    auto setCapacity(ExecutorIndex index, std::int64_t milliCores) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        entry.m_capacity.m_cpuMilliCores = milliCores;
        registerExecutor(m_scheduler, entry, m_now, m_now);
    }

    auto startOne(const StepSpec& spec) -> Action
    {
        submit({ spec });
        return plan().at(0);
    }

    auto mayBeSent(const Action& start) -> bool { return obstacleToStart(m_scheduler, start, 1, m_now).empty(); }

    auto answer(const Action& start, bool wasRepeated) -> void
    {
        applyStartAnswer(
            m_scheduler, start.m_executor, start.m_task, start.m_run, StartAnswer::NotSent, wasRepeated, m_now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckStartTest);

} // namespace hemlockvane::scheduling
