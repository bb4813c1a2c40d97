#include "hemlockvane/fleet/LimitOrders.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::fleet {

class LimitOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitOrdersTest);
    CPPUNIT_TEST(orders_rateUnknown_areNotLimited);
    CPPUNIT_TEST(orders_fewWaiting_areFilledUpToAThirdOfASecond);
    CPPUNIT_TEST(orders_enoughWaiting_noneIsAdded);
    CPPUNIT_TEST(orders_slowService_aFewMayWait);
    CPPUNIT_TEST_SUITE_END();

public:
    auto orders_rateUnknown_areNotLimited() -> void { CPPUNIT_ASSERT(furtherOrders(100000, 0) > 100000); }

    auto orders_fewWaiting_areFilledUpToAThirdOfASecond() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 60 }, furtherOrders(0, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 15 }, furtherOrders(45, 200));
    }

    auto orders_enoughWaiting_noneIsAdded() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, furtherOrders(60, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, furtherOrders(300, 200));
    }

    auto orders_slowService_aFewMayWait() -> void { CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, furtherOrders(0, 1)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitOrdersTest);

} // namespace hemlockvane::fleet
