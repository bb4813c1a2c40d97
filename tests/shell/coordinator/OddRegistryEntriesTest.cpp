#include "DecodeExecutorEntry.h"
#include "shell/coordinator/OwnerFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

/// Another writer leaves entries among those of the executors.
class OddRegistryEntriesTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(OddRegistryEntriesTest);
    CPPUNIT_TEST(oddEntries_amongOthers_othersAreUsed);
    CPPUNIT_TEST(oddEntry_underAnExecutorsId_nextOwnEntryIsUsed);
    CPPUNIT_TEST(oddEntry_underAnExecutorsId_itsRunGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        OwnerFixture::setUp();
        m_decodeExecutor = platform::decodeExecutorEntry;
        m_executors.m_lives[m_executor].m_startedAtMs = 7;
    }

    // Guards against an entry that ends the process or the following of the registry.
    auto oddEntries_amongOthers_othersAreUsed() -> void
    {
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        listOdd("odd");
        own(1, {});
        settle();
        listOdd("odd");
        listOdd("odd\r\n");
        list(m_executor, m_good);
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT_EQUAL(m_executor, m_executors.m_starts.at(0).first);
    }

    // Guards against an executor that is hidden for good, since a start time in an odd entry is newer than its own.
    auto oddEntry_underAnExecutorsId_nextOwnEntryIsUsed() -> void
    {
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        list(m_executor, m_good);
        own(1, {});
        settle();
        listOdd(m_executor);
        settle();
        list(m_executor, m_good);
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto oddEntry_underAnExecutorsId_itsRunGoesOn() -> void
    {
        list(m_executor, m_good);
        own(1, {});
        runUntil([this] { return !m_executors.m_starts.empty(); });
        listOdd(m_executor);
        settle();
        list(m_executor, m_good);
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

private:
    const std::string m_executor = "executor-1";
    const std::string m_good = R"({"service":"orders","address":"1.2.3.4:5","state":"ready","born":7,)"
                               R"("capacity":{"cpu":8000,"memMb":16000}})";

    // Lists odd entries under the id.
    auto listOdd(const std::string& id) -> void
    {
        const auto nested = std::string(100000, '[') + std::string(100000, ']');
        const std::string odd[] = { nested, "{\"service\":" + nested + "}", "\xff\xfe",
            R"({"service":"orders","address":"1.2.3.4:5","state":"ready","born":1e400,"capacity":{}})",
            R"({"service":"orders","address":"1.2.3.4:70000","state":"ready","born":8,"capacity":{}})",
            R"({"service":"orders","address":"1.2.3.4:5","state":"ready","born":9000000000000000000,
                "capacity":{"cpu":9223372036854775807,"memMb":9223372036854775807}})" };
        for (const auto& text : odd)
            list(id, text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRegistryEntriesTest);

} // namespace hemlockvane::detail
