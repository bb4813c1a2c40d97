#include "hemlockvane/fleet/EndedExecutors.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::fleet {

class EndedExecutorsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndedExecutorsTest);
    CPPUNIT_TEST(machine_sameExecutor_hasNotEnded);
    CPPUNIT_TEST(machine_otherExecutor_hasEnded);
    CPPUNIT_TEST(machine_underUpkeep_hasEnded);
    CPPUNIT_TEST(machine_down_mayStillRun);
    CPPUNIT_TEST(machine_notListed_mayStillRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of one task. The platform answered success again to an upkeep order that an earlier owner
    // had already completed, and the machine's new executor was wrongly considered ended (seen in run trouble-1 of the
    // Maraval fleet).
    auto machine_sameExecutor_hasNotEnded() -> void
    {
        CPPUNIT_ASSERT(ended(machine(MachineState::Up, "e1"), machine(MachineState::Up, "e1")).empty());
    }

    auto machine_otherExecutor_hasEnded() -> void
    {
        CPPUNIT_ASSERT(ended(machine(MachineState::Up, "e1"), machine(MachineState::Up, "e2"))
            == std::vector<std::string> { "e1" });
    }

    auto machine_underUpkeep_hasEnded() -> void
    {
        CPPUNIT_ASSERT(ended(machine(MachineState::Up, "e1"), machine(MachineState::Upkeep, "e1"))
            == std::vector<std::string> { "e1" });
    }

    auto machine_down_mayStillRun() -> void
    {
        CPPUNIT_ASSERT(ended(machine(MachineState::Up, "e1"), machine(MachineState::Down, "")).empty());
    }

    auto machine_notListed_mayStillRun() -> void
    {
        const std::vector<Machine> before { machine(MachineState::Up, "e1") };
        CPPUNIT_ASSERT(endedExecutors(before, {}).empty());
    }

private:
    static auto machine(MachineState state, const std::string& executor) -> Machine
    {
        Machine made;
        made.m_id = "m1";
        made.m_state = state;
        made.m_executorId = executor;
        return made;
    }

    static auto ended(const Machine& before, const Machine& now) -> std::vector<std::string>
    {
        return endedExecutors(std::span(&before, 1), std::span(&now, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedExecutorsTest);

} // namespace hemlockvane::fleet
