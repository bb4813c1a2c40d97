#include "hemlockvane/detail/coordinator/Journal.h"
#include "shell/coordinator/OwnerFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane::detail {

namespace {

const std::string restarted = "executor-1"; // Starts again under its id.
const std::string other = "executor-2";

} // namespace

/// An executor that starts again under its id and answers a poll before the registry shows its new life.
class ExecutorLivesTest : public OwnerFixture {
    CPPUNIT_TEST_SUITE(ExecutorLivesTest);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_getsNoStartUntilListed);
    CPPUNIT_TEST(newLife_listedAfterItsAnswer_isInTheJournal);
    CPPUNIT_TEST(newLife_nextOwner_keepsItsRun);
    CPPUNIT_TEST(newLife_nextOwner_waitsForTheLongestLease);
    CPPUNIT_TEST(newLife_knownOnlyFromPoll_nextOwnerWaitsForTheLongestLease);
    CPPUNIT_TEST(newLife_hasNotAnswered_journalSaysSoUntilItDoes);
    CPPUNIT_TEST(newLife_polledAndStartedOn_tokensAreHigherThanBefore);
    CPPUNIT_TEST(newLife_reportsRunBeforeItIsListed_isPolledOn);
    CPPUNIT_TEST(newLife_listedWhileIdle_isPolledAndUsed);
    CPPUNIT_TEST(newLife_listedAfterItsFirstStart_taskIsNotStartedElsewhere);
    CPPUNIT_TEST(registry_moreRecordsThanOneReadReturns_isReadToItsEnd);
    CPPUNIT_TEST(registry_notReadToItsEnd_capacitiesOfUnguardedPoolsAreUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        OwnerFixture::setUp();
        list(restarted, "1");
        m_executors.m_lives[restarted].m_startedAtMs = 2;
    }

    // Guards against a start that relies on the service, labels and capacity of the earlier life.
    auto newLife_knownOnlyFromPoll_getsNoStartUntilListed() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_executors.m_starts.size());
        list(restarted, "2");
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto newLife_listedAfterItsAnswer_isInTheJournal() -> void
    {
        startOnNewLife();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, storedStartTime());
    }

    // Guards against a second run of a task: the next owner would restore the earlier life, take the registry's for a
    // new one and forget the runs there.
    auto newLife_nextOwner_keepsItsRun() -> void
    {
        startOnNewLife();
        m_coordinator->stop();
        m_executors.m_lives[restarted].m_isSilent = true;
        list(other, "1");
        own(2, monotonicNow() + Duration(60000));
        runUntil([this] { return m_executors.m_lives[other].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT(m_executors.m_lives[other].m_polls > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // Guards against a second run of a task after a hand-over: a poll that was meant for the earlier life may have
    // given the new one the longest lease.
    auto newLife_nextOwner_waitsForTheLongestLease() -> void
    {
        startOnNewLife();
        m_coordinator->stop();
        m_executors.m_lives[restarted].m_isSilent = true;
        list(other, "1");
        own(2, {});
        runUntil([this] { return m_executors.m_lives[other].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT(m_executors.m_lives[other].m_polls > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // Guards against a second run of a task beside one that a new life started before the registry showed it.
    auto newLife_knownOnlyFromPoll_nextOwnerWaitsForTheLongestLease() -> void
    {
        m_executors.m_lives[restarted].m_startedAtMs = 1;
        own(1, {});
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(restarted, m_executors.m_starts.at(0).first);
        m_executors.m_lives[restarted].m_startedAtMs = 2;
        settle();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, storedStartTime());
        m_coordinator->stop();
        m_executors.m_lives[restarted].m_isSilent = true;
        list(other, "1");
        own(2, {});
        runUntil([this] { return m_executors.m_lives[other].m_polls > 0; });
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // The next owner waits longer for runs there: a start of before may still arrive.
    auto newLife_hasNotAnswered_journalSaysSoUntilItDoes() -> void
    {
        auto& life = m_executors.m_lives[restarted];
        life.m_startedAtMs = 1;
        own(1, {});
        settle();
        CPPUNIT_ASSERT(!stored().m_mayGetEarlierRequests);
        life.m_isSilent = true;
        list(restarted, "2");
        settle();
        CPPUNIT_ASSERT(stored().m_mayHoldEarlierLease);
        CPPUNIT_ASSERT(stored().m_mayGetEarlierRequests);
        life.m_isSilent = false;
        life.m_startedAtMs = 2;
        runUntil([this] { return !stored().m_mayGetEarlierRequests; });
        CPPUNIT_ASSERT(stored().m_mayHoldEarlierLease);
        CPPUNIT_ASSERT(!stored().m_mayGetEarlierRequests);
    }

    // Guards against a poll that was meant for the earlier life, reaches the new one seconds later and extends its
    // lease.
    auto newLife_polledAndStartedOn_tokensAreHigherThanBefore() -> void
    {
        startOnNewLife();
        const auto& received = m_executors.m_lives[restarted].m_received;
        CPPUNIT_ASSERT(received.back().m_fencingToken > received.front().m_fencingToken);
        CPPUNIT_ASSERT_EQUAL(received.back().m_fencingToken, m_executors.m_starts.at(0).second.m_fencingToken);
    }

    auto newLife_reportsRunBeforeItIsListed_isPolledOn() -> void
    {
        m_executors.m_lives[restarted].m_runs = { { { job, 0, 0, 0 }, 1, {}, 100, 0 } };
        list(other, "1");
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 2; });
        CPPUNIT_ASSERT(m_executors.m_lives[restarted].m_polls > 2);
    }

    // Guards against a new life that takes no task until the polling of the earlier one, which was idle, wakes by
    // itself.
    auto newLife_listedWhileIdle_isPolledAndUsed() -> void
    {
        m_executors.m_lives[restarted].m_startedAtMs = 1;
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        settle();
        m_executors.m_lives[restarted].m_startedAtMs = 2;
        list(restarted, "2");
        settle();
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // Guards against a second run of a task: an idle executor is not polled, so its new life is known only later.
    auto newLife_listedAfterItsFirstStart_taskIsNotStartedElsewhere() -> void
    {
        auto& life = m_executors.m_lives[restarted];
        life.m_startedAtMs = 1;
        life.m_waitsForEnds = true;
        list(other, "1");
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        own(1, {});
        settle();
        life.m_startedAtMs = 2;
        m_memory.m_topics[submissionTopic] = submissions;
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(restarted, m_executors.m_starts.at(0).first);
        list(restarted, "2");
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    // Guards against a fleet whose heartbeats are written faster than they are read.
    auto registry_moreRecordsThanOneReadReturns_isReadToItsEnd() -> void
    {
        m_memory.m_maximumRead = 2;
        m_executors.m_lives[restarted].m_isSilent = true;
        own(1, {});
        settle();
        for (int heartbeat = 0; heartbeat < heartbeats; ++heartbeat)
            list(restarted, "1");
        list(other, "1");
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto registry_notReadToItsEnd_capacitiesOfUnguardedPoolsAreUnknown() -> void
    {
        m_rules.m_unguardedServices.insert("orders");
        m_executors.m_lives[restarted].m_startedAtMs = 1;
        const auto submissions = std::exchange(m_memory.m_topics[submissionTopic], {});
        own(1, {});
        settle();
        m_memory.m_maximumRead = 0;
        list(restarted, "1");
        const auto unknownAt = monotonicNow() + capacityValidity;
        runUntil([&] { return monotonicNow() > unknownAt; });
        m_memory.m_maximumRead = 1;
        m_memory.m_topics[submissionTopic] = submissions;
        for (int heartbeat = 0; heartbeat < heartbeats; ++heartbeat)
            list(restarted, "1");
        runUntil([this] { return !m_executors.m_starts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
        CPPUNIT_ASSERT(m_memory.m_newestRead.at(m_executorTopic) >= std::uint64_t { heartbeats });
    }

private:
    static constexpr int heartbeats = 60;
    static constexpr Duration capacityValidity { 2000 };

    // Has the job's task run on the new life, which is listed after its first answer.
    auto startOnNewLife() -> void
    {
        own(1, {});
        runUntil([this] { return m_executors.m_lives[restarted].m_polls > 0; });
        list(restarted, "2");
        runUntil([this] { return !m_executors.m_starts.empty(); });
        settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_executors.m_starts.size());
    }

    auto stored() -> StoredExecutor
    {
        StoredExecutor newest;
        for (const auto& bytes : m_memory.m_topics[progressTopic]) {
            const auto record = decodeKeyedRecord(bytes, 0);
            if (record && record->m_key == executorPrefix + restarted)
                newest = record->m_value.empty() ? StoredExecutor {} : decodeExecutor(record->m_value).value();
        }
        return newest;
    }

    auto storedStartTime() -> std::int64_t { return stored().m_entry.m_startedAtMs; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorLivesTest);

} // namespace hemlockvane::detail
