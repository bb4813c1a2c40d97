#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/fleet/MachineHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::fleet {

/// Guards against conclusions from a list that is older than what is known of a machine.
class ReadMachinesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReadMachinesTest);
    CPPUNIT_TEST(machine_neverAskedFor_isNotGone);
    CPPUNIT_TEST(machine_missingFromListsOfBefore_isNotGone);
    CPPUNIT_TEST(machine_missingFromOneNewerList_isNotGone);
    CPPUNIT_TEST(machine_missingFromTwoNewerLists_isGone);
    CPPUNIT_TEST(machine_listedAgain_isNotGone);
    CPPUNIT_TEST(machine_listedAsDown_isNotGone);
    CPPUNIT_TEST(machine_executorJoinsAfterTheLists_isNotGone);
    CPPUNIT_TEST(machine_executorJoinedBeforeTheLists_isGone);
    CPPUNIT_TEST(machine_otherExecutorJoins_listNamesEarlierOne);
    CPPUNIT_TEST(machine_listedExecutorJoins_listNamesPresentOne);
    CPPUNIT_TEST(executor_machineUp_isNotGone);
    CPPUNIT_TEST(executor_machineUpWithoutAName_isNotGone);
    CPPUNIT_TEST(executor_machineDownForLong_isGone);
    CPPUNIT_TEST(executor_machineDownForAMoment_isNotGone);
    CPPUNIT_TEST(executor_machineUpInBetween_isNotGone);
    CPPUNIT_TEST(executor_machineUnderUpkeep_isGone);
    CPPUNIT_TEST(executor_machineDownByAListOfBefore_isNotGone);
    CPPUNIT_TEST(executor_machineHasAnother_isGone);
    CPPUNIT_TEST(executor_machineNotListedTwice_isGone);
    CPPUNIT_TEST(executor_machineUnknownAndNotNamed_isNotGone);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override { m_history = {}; }

    auto machine_neverAskedFor_isNotGone() -> void { CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt)); }

    auto machine_missingFromListsOfBefore_isNotGone() -> void
    {
        list(-200, {});
        list(0, {});
        CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt));
    }

    auto machine_missingFromOneNewerList_isNotGone() -> void
    {
        list(0, {});
        list(400, {});
        CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt));
    }

    auto machine_missingFromTwoNewerLists_isGone() -> void
    {
        list(400, {});
        list(800, {});
        CPPUNIT_ASSERT(isGone(m_history, "m1", m_learntAt));
    }

    auto machine_listedAgain_isNotGone() -> void
    {
        list(400, {});
        list(800, { up("m1", "e1") });
        CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt));
    }

    auto machine_listedAsDown_isNotGone() -> void
    {
        list(400, { down("m1", "e1") });
        list(800, { down("m1", "e1") });
        CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt));
    }

    auto machine_executorJoinsAfterTheLists_isNotGone() -> void
    {
        list(400, {});
        list(800, {});
        noteJoined(m_history, "m1", "e1", m_learntAt + Duration(900));
        CPPUNIT_ASSERT(!isGone(m_history, "m1", m_learntAt));
    }

    auto machine_executorJoinedBeforeTheLists_isGone() -> void
    {
        noteJoined(m_history, "m1", "e1", m_learntAt + Duration(300));
        list(400, {});
        list(800, {});
        CPPUNIT_ASSERT(isGone(m_history, "m1", m_learntAt));
    }

    auto machine_otherExecutorJoins_listNamesEarlierOne() -> void
    {
        list(400, { up("m1", "e1") });
        noteJoined(m_history, "m1", "e2", m_learntAt + Duration(500));
        CPPUNIT_ASSERT(hasJoinedSince(m_history, up("m1", "e1")));
        list(800, { up("m1", "e2") });
        CPPUNIT_ASSERT(!hasJoinedSince(m_history, up("m1", "e2")));
    }

    auto machine_listedExecutorJoins_listNamesPresentOne() -> void
    {
        list(400, { up("m1", "e1") });
        noteJoined(m_history, "m1", "e1", m_learntAt + Duration(500));
        CPPUNIT_ASSERT(!hasJoinedSince(m_history, up("m1", "e1")));
    }

    auto executor_machineUp_isNotGone() -> void
    {
        list(400, { up("m1", "e1") });
        CPPUNIT_ASSERT(!isE1Gone());
    }

    auto executor_machineUpWithoutAName_isNotGone() -> void
    {
        list(400, { up("m1", "") });
        CPPUNIT_ASSERT(!isE1Gone());
    }

    auto executor_machineDownForLong_isGone() -> void
    {
        list(-600, { down("m1", "") });
        list(400, { down("m1", "") });
        CPPUNIT_ASSERT(isE1Gone());
        CPPUNIT_ASSERT(!isExecutorGone(m_history, "e1", "", m_learntAt));
        list(800, { down("m1", "e1") });
        CPPUNIT_ASSERT(isExecutorGone(m_history, "e1", "", m_learntAt));
    }

    // Guards against taking an executor for lost that starts again under its id.
    auto executor_machineDownForAMoment_isNotGone() -> void
    {
        list(400, { down("m1", "") });
        list(800, { down("m1", "") });
        CPPUNIT_ASSERT(!isE1Gone());
    }

    auto executor_machineUpInBetween_isNotGone() -> void
    {
        list(-600, { down("m1", "") });
        list(0, { up("m1", "e1") });
        list(400, { down("m1", "") });
        CPPUNIT_ASSERT(!isE1Gone());
    }

    auto executor_machineUnderUpkeep_isGone() -> void
    {
        auto machine = down("m1", "");
        machine.m_state = MachineState::Upkeep;
        list(400, { machine });
        CPPUNIT_ASSERT(isE1Gone());
    }

    auto executor_machineDownByAListOfBefore_isNotGone() -> void
    {
        list(-2000, { down("m1", "") });
        list(0, { down("m1", "") });
        CPPUNIT_ASSERT(!isE1Gone());
    }

    auto executor_machineHasAnother_isGone() -> void
    {
        list(400, { up("m1", "e2") });
        CPPUNIT_ASSERT(isE1Gone());
    }

    auto executor_machineNotListedTwice_isGone() -> void
    {
        list(400, {});
        CPPUNIT_ASSERT(!isE1Gone());
        list(800, {});
        CPPUNIT_ASSERT(isE1Gone());
    }

    auto executor_machineUnknownAndNotNamed_isNotGone() -> void
    {
        list(400, {});
        list(800, {});
        CPPUNIT_ASSERT(!isExecutorGone(m_history, "e1", "", m_learntAt));
    }

private:
    static auto down(const std::string& id, const std::string& executor) -> Machine
    {
        auto machine = up(id, executor);
        machine.m_state = MachineState::Down;
        return machine;
    }

    auto isE1Gone() -> bool { return isExecutorGone(m_history, "e1", "m1", m_learntAt); }

    static auto up(const std::string& id, const std::string& executor) -> Machine
    {
        return { id, "a", MachineState::Up, "z", {}, {}, executor };
    }

    auto list(int askedAt, std::vector<Machine> machines) -> void
    {
        recordList(m_history, { std::move(machines), m_learntAt + Duration(askedAt) });
    }

    Instant m_learntAt { Duration(100000) };
    MachineHistory m_history;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadMachinesTest);

} // namespace hemlockvane::fleet
