#include "hemlockvane/detail/http/ConnectionTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace hemlockvane::detail {

using ingress::ConnectionPhase;

/// A table for 1,000 bytes.
class ConnectionTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionTableTest);
    CPPUNIT_TEST(hold_withinLimit_closesNothing);
    CPPUNIT_TEST(hold_beyondLimit_closesOthersUntilItFits);
    CPPUNIT_TEST(hold_aloneBeyondLimit_isRefused);
    CPPUNIT_TEST(hold_afterClose_doesNotCount);
    CPPUNIT_TEST(hold_requestsBeingAnswered_areKept);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_table = ConnectionTable(1000);
        m_closed.clear();
    }

    auto hold_withinLimit_closesNothing() -> void
    {
        CPPUNIT_ASSERT(m_table.hold(receiving(), 500));
        CPPUNIT_ASSERT(m_table.hold(receiving(), 500));
        CPPUNIT_ASSERT(m_closed.empty());
    }

    auto hold_beyondLimit_closesOthersUntilItFits() -> void
    {
        m_table.hold(receiving(), 400);
        m_table.hold(receiving(), 400);
        CPPUNIT_ASSERT(m_table.hold(receiving(), 500));
        CPPUNIT_ASSERT(m_closed == std::vector<int>({ 0 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 900 }, m_table.heldBytes());
    }

    auto hold_aloneBeyondLimit_isRefused() -> void { CPPUNIT_ASSERT(!m_table.hold(receiving(), 1001)); }

    // Guards against closed connections that push out all others with the bytes that had arrived before.
    auto hold_afterClose_doesNotCount() -> void
    {
        const auto first = receiving();
        m_table.hold(first, 800);
        m_table.hold(receiving(), 800);
        CPPUNIT_ASSERT(!m_table.hold(first, 900));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 800 }, m_table.heldBytes());
        CPPUNIT_ASSERT(m_closed == std::vector<int>({ 0 }));
    }

    auto hold_requestsBeingAnswered_areKept() -> void
    {
        const auto answering = receiving();
        m_table.hold(answering, 800);
        m_table.enter(answering, ConnectionPhase::Answering);
        CPPUNIT_ASSERT(!m_table.hold(receiving(), 300));
        CPPUNIT_ASSERT(m_closed.empty());
    }

private:
    auto receiving() -> ConnectionTable::Place
    {
        const auto number = m_opened++;
        const auto place = m_table.add([this, number] { m_closed.push_back(number); });
        m_table.enter(place, ConnectionPhase::Receiving);
        return place;
    }

    ConnectionTable m_table { 1000 };
    std::vector<int> m_closed; // Numbers of the connections closed for others.
    int m_opened = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTableTest);

} // namespace hemlockvane::detail
