#include "hemlockvane/scheduling/FencingToken.h"
#include "hemlockvane/scheduling/Executor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

namespace hemlockvane::scheduling {

/// Requests of which an executor takes which for older ones.
class FencingTokenTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FencingTokenTest);
    CPPUNIT_TEST(token_ofLaterLife_isHigher);
    CPPUNIT_TEST(token_ofLaterOwner_isHigherThanOfAnyLife);
    CPPUNIT_TEST(token_ofLargestEpoch_isExactInJson);
    CPPUNIT_TEST_SUITE_END();

public:
    auto token_ofLaterLife_isHigher() -> void
    {
        Executor executor;
        for (std::uint32_t life = 0; life < 1000; ++life) {
            const auto earlier = fencingToken(epoch, executor);
            ++executor.m_lifeNumber;
            CPPUNIT_ASSERT(fencingToken(epoch, executor) > earlier);
        }
    }

    auto token_ofLaterOwner_isHigherThanOfAnyLife() -> void
    {
        Executor executor;
        const auto later = fencingToken(epoch + 1, executor);
        executor.m_lifeNumber = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT(fencingToken(epoch, executor) < later);
    }

    // An owner renews its ownership, which is one record of the topic, less than ten times a second.
    auto token_ofLargestEpoch_isExactInJson() -> void
    {
        constexpr std::uint64_t twoYears = 2ULL * 366 * 86400 * 10;
        constexpr std::uint64_t largestExact = 1ULL << 53U;
        Executor executor;
        executor.m_lifeNumber = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT(fencingToken(twoYears, executor) < largestExact);
    }

private:
    static constexpr std::uint64_t epoch = 7;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FencingTokenTest);

} // namespace hemlockvane::scheduling
