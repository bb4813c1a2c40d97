#include "hemlockvane/detail/intake/OwnerApi.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

class OwnerApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnerApiTest);
    CPPUNIT_TEST(jobStatus_encoded_isDecoded);
    CPPUNIT_TEST(jobStatus_unreadable_isNotAnUnknownJob);
    CPPUNIT_TEST_SUITE_END();

public:
    auto jobStatus_encoded_isDecoded() -> void
    {
        for (const auto phase : { scheduling::JobPhase::Queued, scheduling::JobPhase::Running,
                 scheduling::JobPhase::Completed, scheduling::JobPhase::Failed, scheduling::JobPhase::Cancelled }) {
            const auto known = decodeJobStatus(encodeJobStatus({ true, phase }));
            CPPUNIT_ASSERT(known && known->m_isKnown && known->m_phase == phase);
        }
        const auto unknown = decodeJobStatus(encodeJobStatus({}));
        CPPUNIT_ASSERT(unknown && !unknown->m_isKnown);
    }

    // Guards against "no such job" by an answer that does not say so.
    auto jobStatus_unreadable_isNotAnUnknownJob() -> void
    {
        for (const auto* text : { "", " ", "--", "-1", "5", "256", "4294967296", "2x", "{}", "unavailable" })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeJobStatus(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerApiTest);

} // namespace hemlockvane::detail
