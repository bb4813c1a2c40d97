#include "hemlockvane/detail/coordinator/OwnerElection.h"

#include "hemlockvane/detail/coordinator/OwnerHandicap.h"
#include "hemlockvane/detail/coordinator/PredecessorLeases.h"
#include "hemlockvane/detail/coordinator/SeenRenewals.h"
#include "shell/coordinator/MemoryStore.h"
#include "shell/coordinator/SwitchedStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>

namespace hemlockvane::detail {

class OwnerElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnerElectionTest);
    CPPUNIT_TEST(instances_threeStarted_oneOwns);
    CPPUNIT_TEST(owner_released_isFollowedAtOnce);
    CPPUNIT_TEST(owner_cutFromTheStore_isFollowedWithAHigherEpoch);
    CPPUNIT_TEST(owner_processReplaced_takesOverWithoutSilence);
    CPPUNIT_TEST(owner_released_smallInstanceComesAfterLarger);
    CPPUNIT_TEST(handicap_smallOrNarrow_waits);
    CPPUNIT_TEST(store_downForAll_changesNoOwner);
    CPPUNIT_TEST(owner_answersLost_staysOwner);
    CPPUNIT_TEST(leases_ofReleasedOwner_lapseEarlier);
    CPPUNIT_TEST(leases_ofOwnerThatHeldBriefly_countFromTheLongest);
    CPPUNIT_TEST(leases_withoutPredecessor_haveLapsed);
    CPPUNIT_TEST(renewal_readLater_wasWrittenByTheFirstReading);
    CPPUNIT_TEST(renewal_neverRead_mayBeNew);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_memory = std::make_unique<MemoryStore>();
        m_stores.clear();
        m_elections.clear();
        for (std::uint64_t number = 1; number <= 3; ++number) {
            m_stores.push_back(std::make_unique<SwitchedStore>(*m_memory));
            const auto name = "n" + std::to_string(number);
            m_elections.push_back(std::make_unique<OwnerElection>(
                *m_context, *m_stores.back(), name, name, number, quick(), [](bool) {}));
            m_elections.back()->start();
        }
        runUntil([this] { return owners() == 1; });
    }

    auto instances_threeStarted_oneOwns() -> void
    {
        m_context->run_for(Duration(200));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, owners());
    }

    auto owner_released_isFollowedAtOnce() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        boost::asio::co_spawn(*m_context, m_elections[first]->release(), boost::asio::detached);
        runUntil([&] { return owners() == 1 && !m_elections[first]->isOwner(); });
        CPPUNIT_ASSERT(m_elections[owner()]->epoch() > epoch);
    }

    auto owner_cutFromTheStore_isFollowedWithAHigherEpoch() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        m_stores[first]->m_isCut = true;
        runUntil([&] { return owners() == 2; }); // The first cannot know yet.
        m_stores[first]->m_isCut = false;
        runUntil([&] { return owners() == 1; });
        CPPUNIT_ASSERT(!m_elections[first]->isOwner());
        CPPUNIT_ASSERT(m_elections[owner()]->epoch() > epoch);
    }

    auto owner_processReplaced_takesOverWithoutSilence() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        for (auto& store : m_stores)
            store->m_isCut = true; // All processes are gone.
        SwitchedStore store(*m_memory);
        auto patient = quick();
        patient.m_silence = Duration(3600000);
        const auto name = "n" + std::to_string(first + 1);
        OwnerElection replaced(*m_context, store, name, name, 99, patient, [](bool) {});
        replaced.start();
        runUntil([&] { return replaced.isOwner(); });
        CPPUNIT_ASSERT(replaced.epoch() > epoch);
        store.m_isCut = true;
    }

    auto owner_released_smallInstanceComesAfterLarger() -> void
    {
        SwitchedStore store(*m_memory);
        auto small = quick();
        small.m_handicap = Duration(3600000);
        OwnerElection last(*m_context, store, "small", "small", 98, small, [](bool) {});
        last.start();
        const auto first = owner();
        boost::asio::co_spawn(*m_context, m_elections[first]->release(), boost::asio::detached);
        runUntil([&] { return owners() == 1 && !m_elections[first]->isOwner(); });
        CPPUNIT_ASSERT(!last.isOwner());
        store.m_isCut = true;
    }

    auto handicap_smallOrNarrow_waits() -> void
    {
        CPPUNIT_ASSERT(ownerHandicap(0.12, 1000) > Duration { 0 });
        CPPUNIT_ASSERT(ownerHandicap(0.5, 10) > Duration { 0 });
        CPPUNIT_ASSERT(ownerHandicap(0.25, 1000) == Duration { 0 });
        CPPUNIT_ASSERT(ownerHandicap(0, 0) == Duration { 0 });
    }

    auto store_downForAll_changesNoOwner() -> void
    {
        const auto first = owner();
        m_memory->m_isDown = true;
        m_context->run_for(quick().m_silence * 4);
        m_memory->m_isDown = false;
        m_context->run_for(quick().m_silence / 2);
        CPPUNIT_ASSERT_EQUAL(first, owner());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 }, owners());
    }

    auto owner_answersLost_staysOwner() -> void
    {
        const auto first = owner();
        const auto epoch = m_elections[first]->epoch();
        m_memory->m_losesAnswers = true;
        m_context->run_for(quick().m_silence);
        m_memory->m_losesAnswers = false;
        m_context->run_for(quick().m_silence);
        CPPUNIT_ASSERT_EQUAL(first, owner());
        CPPUNIT_ASSERT_EQUAL(epoch, m_elections[first]->epoch());
    }

    auto leases_ofReleasedOwner_lapseEarlier() -> void
    {
        PredecessorLeases leases;
        noteRecord(leases, 5, false, Instant(Duration(1000)));
        noteRecord(leases, 5, true, Instant(Duration(21000)));
        CPPUNIT_ASSERT(lapsedBy(leases) >= Instant(Duration(21000)) + leases.m_lease);
        CPPUNIT_ASSERT(lapsedBy(leases) < Instant(Duration(21000)) + leases.m_longest);
    }

    auto leases_ofOwnerThatHeldBriefly_countFromTheLongest() -> void
    {
        PredecessorLeases leases;
        noteRecord(leases, 4, false, Instant(Duration(1000)));
        noteRecord(leases, 5, false, Instant(Duration(3000)));
        noteRecord(leases, 5, true, Instant(Duration(4000)));
        CPPUNIT_ASSERT(lapsedBy(leases) >= Instant(Duration(4000)) + leases.m_longest);
    }

    auto renewal_readLater_wasWrittenByTheFirstReading() -> void
    {
        const Instant start { Duration(100000) };
        SeenRenewals renewals;
        noteRenewal(renewals, 5, start);
        noteRenewal(renewals, 8, start + Duration(400));
        CPPUNIT_ASSERT(writtenBy(renewals, 4, start + Duration(900)) == start);
        CPPUNIT_ASSERT(writtenBy(renewals, 6, start + Duration(900)) == start + Duration(400));
    }

    auto renewal_neverRead_mayBeNew() -> void
    {
        const Instant now { Duration(100000) };
        CPPUNIT_ASSERT(writtenBy({}, 4, now) == now);
    }

    auto leases_withoutPredecessor_haveLapsed() -> void { CPPUNIT_ASSERT(lapsedBy({}) == Instant {}); }

private:
    static auto quick() -> ElectionTiming { return { Duration(40), Duration(300), Duration(20), Duration(60) }; }

    // Runs until something holds; fails after a time far beyond what it takes.
    auto runUntil(const std::function<bool()>& holds) -> void
    {
        constexpr int mostRounds = 1000;
        for (int round = 0; round < mostRounds && !holds(); ++round)
            m_context->run_for(Duration(10));
        CPPUNIT_ASSERT(holds());
    }

    auto owners() -> std::ptrdiff_t
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
    std::vector<std::unique_ptr<SwitchedStore>> m_stores;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::vector<std::unique_ptr<OwnerElection>> m_elections;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerElectionTest);

} // namespace hemlockvane::detail
