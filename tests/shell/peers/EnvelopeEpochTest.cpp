#include "hemlockvane/detail/peers/EnvelopeEpoch.h"

#include "hemlockvane/peers.pb.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

class EnvelopeEpochTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EnvelopeEpochTest);
    CPPUNIT_TEST(newestEpoch_claimAnswer_isEpochOfItsFence);
    CPPUNIT_TEST(newestEpoch_severalGrants_isHighestEpoch);
    CPPUNIT_TEST(newestEpoch_heartbeat_isZero);
    CPPUNIT_TEST_SUITE_END();

public:
    auto newestEpoch_claimAnswer_isEpochOfItsFence() -> void
    {
        wire::Envelope envelope;
        envelope.mutable_claim_answer()->mutable_fence()->set_epoch(7);
        CPPUNIT_ASSERT_EQUAL(Offset { 7 }, newestEpoch(envelope));
    }

    auto newestEpoch_severalGrants_isHighestEpoch() -> void
    {
        wire::Envelope envelope;
        for (const auto epoch : { 5, 9, 3 })
            envelope.mutable_escrow_grants()->add_grants()->mutable_fence()->set_epoch(epoch);
        CPPUNIT_ASSERT_EQUAL(Offset { 9 }, newestEpoch(envelope));
    }

    auto newestEpoch_heartbeat_isZero() -> void
    {
        wire::Envelope envelope;
        envelope.mutable_beat()->set_folded_end(100);
        CPPUNIT_ASSERT_EQUAL(Offset { 0 }, newestEpoch(envelope));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnvelopeEpochTest);

} // namespace hemlockvane::detail
