#include "hemlockvane/detail/logging/OutcomeNames.h"

#include "hemlockvane/detail/ports/MachineOutcome.h"
#include "hemlockvane/fleet/MachineState.h"
#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/StartAnswer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace hemlockvane::detail {

class OutcomeNamesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OutcomeNamesTest);
    CPPUNIT_TEST(nameOf_everyStartAnswer_isUnique);
    CPPUNIT_TEST(nameOf_everyMachineOutcome_isUnique);
    CPPUNIT_TEST(nameOf_everyDropReason_isUnique);
    CPPUNIT_TEST(nameOf_everyMachineState_isUnique);
    CPPUNIT_TEST_SUITE_END();

public:
    auto nameOf_everyStartAnswer_isUnique() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, namesUpTo(scheduling::StartAnswer::Unknown).size());
    }

    auto nameOf_everyMachineOutcome_isUnique() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, namesUpTo(MachineOutcome::Unknown).size());
    }

    auto nameOf_everyDropReason_isUnique() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 9 }, namesUpTo(scheduling::DropReason::Stopped).size());
    }

    auto nameOf_everyMachineState_isUnique() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, namesUpTo(fleet::MachineState::Down).size());
    }

private:
    template <typename Outcome> static auto namesUpTo(Outcome last) -> std::set<std::string>
    {
        std::set<std::string> names;
        for (int value = 0; value <= static_cast<int>(last); ++value)
            names.insert(std::string(nameOf(static_cast<Outcome>(value))));
        CPPUNIT_ASSERT(!names.contains("invalid"));
        return names;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeNamesTest);

} // namespace hemlockvane::detail
