#include "hemlockvane/ingress/ChooseToClose.h"

#include "hemlockvane/ingress/ConnectionUse.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace hemlockvane::ingress {

class ChooseToCloseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChooseToCloseTest);
    CPPUNIT_TEST(memory_severalIncomplete_oldestIsChosen);
    CPPUNIT_TEST(memory_completeRequest_isKept);
    CPPUNIT_TEST(memory_idleConnection_isKept);
    CPPUNIT_TEST(connection_incompleteAndIdle_incompleteIsChosen);
    CPPUNIT_TEST(connection_idleOnly_longestIdleIsChosen);
    CPPUNIT_TEST(connection_newOnes_areKept);
    CPPUNIT_TEST(connection_completeRequest_isKept);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override { m_uses.clear(); }

    // Guards against an ordinary request that is dropped for others that never become complete.
    auto memory_severalIncomplete_oldestIsChosen() -> void
    {
        add(ConnectionPhase::Receiving, 300);
        add(ConnectionPhase::Receiving, 100);
        add(ConnectionPhase::Receiving, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, chooseForMemory(m_uses).value());
    }

    // Guards against a job that may be stored already and whose caller gets no answer.
    auto memory_completeRequest_isKept() -> void
    {
        add(ConnectionPhase::Answering, 100);
        CPPUNIT_ASSERT(!chooseForMemory(m_uses));
    }

    auto memory_idleConnection_isKept() -> void
    {
        add(ConnectionPhase::Idle, 100);
        add(ConnectionPhase::Receiving, 100, 0);
        CPPUNIT_ASSERT(!chooseForMemory(m_uses));
    }

    auto connection_incompleteAndIdle_incompleteIsChosen() -> void
    {
        add(ConnectionPhase::Idle, 50);
        add(ConnectionPhase::Receiving, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, choose().value());
    }

    auto connection_idleOnly_longestIdleIsChosen() -> void
    {
        add(ConnectionPhase::Idle, 200);
        add(ConnectionPhase::Idle, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, choose().value());
    }

    // Guards against ordinary connections that replace each other while many open at the same time.
    auto connection_newOnes_areKept() -> void
    {
        add(ConnectionPhase::Idle, 1000);
        add(ConnectionPhase::Receiving, 1500);
        CPPUNIT_ASSERT(!choose());
    }

    auto connection_completeRequest_isKept() -> void
    {
        add(ConnectionPhase::Answering, 100);
        CPPUNIT_ASSERT(!choose());
    }

private:
    auto add(ConnectionPhase phase, int since, std::size_t bytes = 1000) -> void
    {
        m_uses.push_back({ phase, Instant(Duration(since)), bytes });
    }

    auto choose() const -> std::optional<std::size_t> { return chooseForConnection(m_uses, Instant(Duration(1000))); }

    std::vector<ConnectionUse> m_uses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseToCloseTest);

} // namespace hemlockvane::ingress
