#include "hemlockvane/detail/coordinator/OwnerElection.h"

#include "hemlockvane/detail/coordinator/PredecessorLeases.h"
#include "hemlockvane/detail/coordinator/RenewalHistory.h"
#include "hemlockvane/detail/coordinator/TakeoverDelay.h"
#include "shell/coordinator/DisconnectableStore.h"
#include "shell/coordinator/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

namespace hemlockvane::detail {

class OwnerElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnerElectionTest);
    CPPUNIT_TEST(instances_threeStarted_electOneOwner);
    CPPUNIT_TEST(owner_released_isReplacedAtOnce);
    CPPUNIT_TEST(owner_cutOffFromStore_isReplacedWithHigherEpoch);
    CPPUNIT_TEST(owner_processRestarted_takesOverWithoutTimeout);
    CPPUNIT_TEST(owner_released_smallInstanceYieldsToLarger);
    CPPUNIT_TEST(takeoverDelay_fewCoresOrSlowLink_isPositive);
    CPPUNIT_TEST(store_downForAll_changesNoOwner);
    CPPUNIT_TEST(owner_loopHalfASecondLate_staysOwner);
    CPPUNIT_TEST(owner_answersLost_staysOwner);
    CPPUNIT_TEST(jobMemory_published_isKnownToOthersAndAfterTakeover);
    CPPUNIT_TEST(jobMemory_notPublished_isNotLimited);
    CPPUNIT_TEST(leases_ofReleasedOwner_expireEarlier);
    CPPUNIT_TEST(leases_ofShortOwnership_expireAfterTheLongest);
    CPPUNIT_TEST(leases_withoutPredecessor_haveExpired);
    CPPUNIT_TEST(renewal_readLater_wasWrittenByFirstRead);
    CPPUNIT_TEST(renewal_neverRead_countsAsNew);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_memory = std::make_unique<MemoryStore>();
        m_stores.clear();
        m_elections.clear();
        for (std::uint64_t number = 1; number <= 3; ++number) {
            m_stores.push_back(std::make_unique<DisconnectableStore>(*m_memory));
            const auto name = "n" + std::to_string(number);
            m_elections.push_back(std::make_unique<OwnerElection>(
                *m_context, *m_stores.back(), name, name, number, shortTiming(), [](bool) {}));
            m_elections.back()->start();
        }
        runUntil([this] { return ownerCount() == 1; });
    }

    auto instances_threeStarted_electOneOwner() -> void
    {
        m_context->run_for(Duration(200));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, ownerCount());
    }

    auto owner_released_isReplacedAtOnce() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        boost::asio::co_spawn(*m_context, m_elections[first]->release(), boost::asio::detached);
        runUntil([&] { return ownerCount() == 1 && !m_elections[first]->isOwner(); });
        CPPUNIT_ASSERT(m_elections[owner()]->epoch() > epoch);
    }

    auto owner_cutOffFromStore_isReplacedWithHigherEpoch() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        m_stores[first]->m_isDisconnected = true;
        runUntil([&] { return ownerCount() == 2; }); // The first owner has not read the takeover yet.
        m_stores[first]->m_isDisconnected = false;
        runUntil([&] { return ownerCount() == 1; });
        CPPUNIT_ASSERT(!m_elections[first]->isOwner());
        CPPUNIT_ASSERT(m_elections[owner()]->epoch() > epoch);
    }

    auto owner_processRestarted_takesOverWithoutTimeout() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        for (auto& store : m_stores)
            store->m_isDisconnected = true; // All processes have ended.
        DisconnectableStore store(*m_memory);
        auto timing = shortTiming();
        timing.m_renewalTimeout = Duration(3600000);
        const auto name = "n" + std::to_string(first + 1);
        OwnerElection replaced(*m_context, store, name, name, 99, timing, [](bool) {});
        replaced.start();
        runUntil([&] { return replaced.isOwner(); });
        CPPUNIT_ASSERT(replaced.epoch() > epoch);
        store.m_isDisconnected = true;
    }

    auto owner_released_smallInstanceYieldsToLarger() -> void
    {
        DisconnectableStore store(*m_memory);
        auto small = shortTiming();
        small.m_takeoverDelay = Duration(3600000);
        OwnerElection last(*m_context, store, "small", "small", 98, small, [](bool) {});
        last.start();
        const auto first = owner();
        boost::asio::co_spawn(*m_context, m_elections[first]->release(), boost::asio::detached);
        runUntil([&] { return ownerCount() == 1 && !m_elections[first]->isOwner(); });
        CPPUNIT_ASSERT(!last.isOwner());
        store.m_isDisconnected = true;
    }

    auto takeoverDelay_fewCoresOrSlowLink_isPositive() -> void
    {
        CPPUNIT_ASSERT(takeoverDelay(0.12, 1000) > Duration { 0 });
        CPPUNIT_ASSERT(takeoverDelay(0.5, 10) > Duration { 0 });
        CPPUNIT_ASSERT(takeoverDelay(0.25, 1000) == Duration { 0 });
        CPPUNIT_ASSERT(takeoverDelay(0, 0) == Duration { 0 });
    }

    auto store_downForAll_changesNoOwner() -> void
    {
        const auto first = owner();
        m_memory->m_isDown = true;
        m_context->run_for(shortTiming().m_renewalTimeout * 4);
        m_memory->m_isDown = false;
        m_context->run_for(shortTiming().m_renewalTimeout / 2);
        CPPUNIT_ASSERT_EQUAL(first, owner());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, ownerCount());
    }

    // The owner's loop resumes what is ready each 500 ms, and an answer of the store takes it two rounds.
    auto owner_loopHalfASecondLate_staysOwner() -> void
    {
        constexpr Duration round { 500 };
        constexpr int rounds = 8;
        MemoryStore memory;
        boost::asio::io_context busy;
        SlowlyAnsweringStore slow(memory);
        OwnerElection owner(busy, slow, "busy", "busy", 1, {}, [](bool) {});
        owner.start();
        for (int step = 0; step < rounds && !owner.isOwner(); ++step)
            busy.run_for(round);
        CPPUNIT_ASSERT(owner.isOwner());
        boost::asio::io_context idle;
        DisconnectableStore store(memory);
        OwnerElection other(idle, store, "idle", "idle", 2, {}, [](bool) {});
        other.start();
        Duration sinceRenewal { 0 };
        for (int step = 0; step < rounds; ++step) {
            const auto renewals = memory.m_topics["owner"].size();
            idle.run_for(round);
            busy.poll();
            sinceRenewal = memory.m_topics["owner"].size() > renewals ? Duration { 0 } : sinceRenewal + round;
            CPPUNIT_ASSERT(!other.isOwner());
            CPPUNIT_ASSERT(sinceRenewal + round < ElectionTiming {}.m_renewalTimeout);
        }
        CPPUNIT_ASSERT(owner.isOwner());
    }

    auto owner_answersLost_staysOwner() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        m_memory->m_losesAnswers = true;
        m_context->run_for(shortTiming().m_renewalTimeout);
        m_memory->m_losesAnswers = false;
        m_context->run_for(shortTiming().m_renewalTimeout);
        CPPUNIT_ASSERT_EQUAL(first, owner());
        CPPUNIT_ASSERT_EQUAL(epoch, m_elections[first]->epoch());
    }

    // Guards against a new owner that admits without a limit until it has loaded the jobs.
    auto jobMemory_published_isKnownToOthersAndAfterTakeover() -> void
    {
        const auto first = owner();
        const auto other = (first + 1) % m_elections.size();
        std::optional<JobMemoryView> memory = JobMemoryView { 5000, { { "team", 700 } } };
        m_elections[first]->publishJobMemory([&] { return memory; });
        const auto isKnown = [&](std::size_t number) { return m_elections[number]->owner().m_jobMemory.has_value(); };
        runUntil([&] { return isKnown(other); });
        CPPUNIT_ASSERT(isKnown(other));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5000 }, m_elections[other]->owner().m_jobMemory->m_left);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 700 }, m_elections[other]->owner().m_jobMemory->m_byWorkspace.at("team"));
        memory.reset(); // It gives the jobs up before it releases the ownership.
        boost::asio::co_spawn(*m_context, m_elections[first]->release(), boost::asio::detached);
        runUntil([&] { return ownerCount() == 1 && !m_elections[first]->isOwner(); });
        m_context->run_for(shortTiming().m_renewalTimeout);
        for (std::size_t number = 0; number < m_elections.size(); ++number)
            CPPUNIT_ASSERT(number == first || isKnown(number));
    }

    auto jobMemory_notPublished_isNotLimited() -> void
    {
        m_context->run_for(shortTiming().m_renewalTimeout);
        for (const auto& election : m_elections)
            CPPUNIT_ASSERT(!election->owner().m_jobMemory);
    }

    auto leases_ofReleasedOwner_expireEarlier() -> void
    {
        PredecessorLeases leases;
        observeOwnerRecord(leases, 5, false, Instant(Duration(1000)));
        observeOwnerRecord(leases, 5, true, Instant(Duration(21000)));
        CPPUNIT_ASSERT(leasesExpireBy(leases) >= Instant(Duration(21000)) + leases.m_lease);
        CPPUNIT_ASSERT(leasesExpireBy(leases) < Instant(Duration(21000)) + leases.m_longest);
    }

    auto leases_ofShortOwnership_expireAfterTheLongest() -> void
    {
        PredecessorLeases leases;
        observeOwnerRecord(leases, 4, false, Instant(Duration(1000)));
        observeOwnerRecord(leases, 5, false, Instant(Duration(3000)));
        observeOwnerRecord(leases, 5, true, Instant(Duration(4000)));
        CPPUNIT_ASSERT(leasesExpireBy(leases) >= Instant(Duration(4000)) + leases.m_longest);
    }

    auto renewal_readLater_wasWrittenByFirstRead() -> void
    {
        const Instant start { Duration(100000) };
        RenewalHistory renewals;
        recordRenewal(renewals, 5, start);
        recordRenewal(renewals, 8, start + Duration(400));
        CPPUNIT_ASSERT(writtenBy(renewals, 4, start + Duration(900)) == start);
        CPPUNIT_ASSERT(writtenBy(renewals, 6, start + Duration(900)) == start + Duration(400));
    }

    auto renewal_neverRead_countsAsNew() -> void
    {
        const Instant now { Duration(100000) };
        CPPUNIT_ASSERT(writtenBy({}, 4, now) == now);
    }

    auto leases_withoutPredecessor_haveExpired() -> void { CPPUNIT_ASSERT(leasesExpireBy({}) == Instant {}); }

private:
    // Its answers arrive in two parts.
    class SlowlyAnsweringStore : public DisconnectableStore {
    public:
        using DisconnectableStore::DisconnectableStore;

        auto append(StoreAppend request, Duration timeout) -> boost::asio::awaitable<StoreAppendResult> override
        {
            const auto result = co_await DisconnectableStore::append(std::move(request), timeout);
            co_await sleepFor(Duration(1));
            co_return result;
        }
    };

    static auto shortTiming() -> ElectionTiming { return { Duration(40), Duration(300), Duration(20), Duration(60) }; }

    // Runs until the condition holds; fails after a time far beyond what it takes.
    auto runUntil(const std::function<bool()>& condition) -> void
    {
        constexpr int maximumRounds = 1000;
        for (int round = 0; round < maximumRounds && !condition(); ++round)
            m_context->run_for(Duration(10));
        CPPUNIT_ASSERT(condition());
    }

    auto ownerCount() -> std::ptrdiff_t
    {
        return std::count_if(
            m_elections.begin(), m_elections.end(), [](const auto& election) { return election->isOwner(); });
    }

    auto owner() -> std::size_t
    {
        const auto found = std::find_if(
            m_elections.begin(), m_elections.end(), [](const auto& election) { return election->isOwner(); });
        CPPUNIT_ASSERT(found != m_elections.end());
        return static_cast<std::size_t>(found - m_elections.begin());
    }

    std::unique_ptr<MemoryStore> m_memory;
    std::vector<std::unique_ptr<DisconnectableStore>> m_stores;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::vector<std::unique_ptr<OwnerElection>> m_elections;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerElectionTest);

} // namespace hemlockvane::detail
