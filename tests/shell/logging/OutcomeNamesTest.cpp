#include "hemlockvane/detail/logging/OutcomeNames.h"

#include "hemlockvane/detail/ports/MachineOutcome.h"
#include "hemlockvane/scheduling/StartAnswer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace hemlockvane::detail {

class OutcomeNamesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OutcomeNamesTest);
    CPPUNIT_TEST(name_everyStartAnswer_isItsOwn);
    CPPUNIT_TEST(name_everyMachineOutcome_isItsOwn);
    CPPUNIT_TEST_SUITE_END();

public:
    auto name_everyStartAnswer_isItsOwn() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 9 }, namesUpTo(scheduling::StartAnswer::Unknown).size());
    }

    auto name_everyMachineOutcome_isItsOwn() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, namesUpTo(MachineOutcome::Unknown).size());
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
