#include "hemlockvane/errors.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string_view>

namespace hemlockvane {

class ErrorAnswerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ErrorAnswerTest);
    CPPUNIT_TEST(errorAnswer_everyKind_hasItsOwnEntry);
    CPPUNIT_TEST(errorAnswer_everyName_isUnique);
    CPPUNIT_TEST(errorAnswer_numberOutsideList_isInternal);
    CPPUNIT_TEST(errorAnswer_uncertainOutcome_neverGuaranteesNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    auto errorAnswer_everyKind_hasItsOwnEntry() -> void
    {
        for (std::size_t i = 0; i < errorKindCount; ++i) {
            const auto kind = static_cast<ErrorKind>(i);
            CPPUNIT_ASSERT(errorAnswer(kind).m_kind == kind);
        }
    }

    auto errorAnswer_everyName_isUnique() -> void
    {
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < errorKindCount; ++i)
            names.insert(errorAnswer(static_cast<ErrorKind>(i)).m_name);
        CPPUNIT_ASSERT_EQUAL(errorKindCount, names.size());
    }

    auto errorAnswer_numberOutsideList_isInternal() -> void
    {
        CPPUNIT_ASSERT(errorAnswer(static_cast<ErrorKind>(200)).m_kind == ErrorKind::Internal);
    }

    auto errorAnswer_uncertainOutcome_neverGuaranteesNotRun() -> void
    {
        CPPUNIT_ASSERT(!errorAnswer(ErrorKind::OutcomeUnknown).m_guaranteesNotRun);
        CPPUNIT_ASSERT(!errorAnswer(ErrorKind::AnswerLost).m_guaranteesNotRun);
        CPPUNIT_ASSERT(!errorAnswer(ErrorKind::Internal).m_guaranteesNotRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorAnswerTest);

} // namespace hemlockvane
