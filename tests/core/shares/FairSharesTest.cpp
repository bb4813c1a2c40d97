#include "hemlockvane/shares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

namespace hemlockvane {

class FairSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FairSharesTest);
    CPPUNIT_TEST(fairShares_allWantMore_dividesByWeight);
    CPPUNIT_TEST(fairShares_oneWantsLittle_givesItsRestToOthers);
    CPPUNIT_TEST(fairShares_nothingWanted_givesNothing);
    CPPUNIT_TEST(fairShares_randomDemands_areMaxMin);
    CPPUNIT_TEST(apportion_fractions_keepTheSum);
    CPPUNIT_TEST(apportion_credit_decidesOddUnit);
    CPPUNIT_TEST_SUITE_END();

public:
    auto fairShares_allWantMore_dividesByWeight() -> void
    {
        const std::vector<Demand> demands { { 1, 100 }, { 3, 100 } };
        const auto shares = fairShares(demands, 80);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, shares[0], tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, shares[1], tolerance);
    }

    auto fairShares_oneWantsLittle_givesItsRestToOthers() -> void
    {
        const std::vector<Demand> demands { { 1, 100 }, { 1, 5 }, { 1, 100 } };
        const auto shares = fairShares(demands, 65);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, shares[0], tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, shares[1], tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, shares[2], tolerance);
    }

    auto fairShares_nothingWanted_givesNothing() -> void
    {
        const std::vector<Demand> demands { { 1, 0 }, { 2, 0 } };
        for (const auto share : fairShares(demands, 8))
            CPPUNIT_ASSERT_EQUAL(0.0, share);
        CPPUNIT_ASSERT(fairShares({}, 8).empty());
    }

    // Max-min fairness: no party has a larger share for its weight than a party that gets less than its demand.
    auto fairShares_randomDemands_areMaxMin() -> void
    {
        std::mt19937_64 random(5);
        std::uniform_real_distribution<double> wanted(0, 50);
        std::uniform_real_distribution<double> weight(0.1, 10);
        for (int round = 0; round < 200; ++round) {
            std::vector<Demand> demands;
            for (int i = 0; i < 7; ++i)
                demands.push_back({ weight(random), wanted(random) });
            const auto shares = fairShares(demands, 80);
            auto level = 0.0;
            for (std::size_t i = 0; i < shares.size(); ++i)
                level = std::max(level, shares[i] / demands[i].m_weight);
            for (std::size_t i = 0; i < shares.size(); ++i) {
                if (shares[i] < demands[i].m_demand - tolerance)
                    CPPUNIT_ASSERT_DOUBLES_EQUAL(level, shares[i] / demands[i].m_weight, tolerance);
            }
        }
    }

    auto apportion_fractions_keepTheSum() -> void
    {
        const std::vector<double> shares { 1.5, 2.25, 0.25, 4 };
        const std::vector<double> credits(4, 0.0);
        const auto units = apportion(shares, credits);
        CPPUNIT_ASSERT_EQUAL(8U, std::accumulate(units.begin(), units.end(), 0U));
        CPPUNIT_ASSERT_EQUAL(2U, units[0]);
    }

    auto apportion_credit_decidesOddUnit() -> void
    {
        const std::vector<double> shares { 0.5, 0.5 };
        CPPUNIT_ASSERT_EQUAL(1U, apportion(shares, std::vector<double> { 0, 0.1 })[1]);
        CPPUNIT_ASSERT_EQUAL(1U, apportion(shares, std::vector<double> { 0.1, 0 })[0]);
    }

private:
    static constexpr double tolerance = 1e-9;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);

} // namespace hemlockvane
