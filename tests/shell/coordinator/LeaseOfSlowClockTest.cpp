#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/LeaseDeadline.h"
#include "hemlockvane/detail/coordinator/PredecessorLeases.h"
#include "hemlockvane/scheduling/TrackExecutors.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <memory>
#include <optional>
#include <vector>

namespace hemlockvane::detail {

/// Leases on an executor whose clock is up to 2 % slow or fast and was read some time ago, and the time for which the
/// next owner waits for them. Guards against two runs of one task: a lease that outlasts the wait.
class LeaseOfSlowClockTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseOfSlowClockTest);
    CPPUNIT_TEST(lease_ownerReleased_hasEndedWhenNextOwnerActs);
    CPPUNIT_TEST(lease_ownerKilled_hasEndedWhenNextOwnerActs);
    CPPUNIT_TEST(lease_secondTakeoverSoonAfterFirst_hasEndedWhenThirdOwnerActs);
    CPPUNIT_TEST(lease_clockReadLately_hasNearlyWholeLength);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        CoordinatorPorts ports;
        ports.m_renewedAt = [this] { return m_renewedAt; };
        m_longest = ports.m_longestLease;
        m_state = std::make_unique<CoordinatorState>(m_context, ports, 1);
        scheduling::ExecutorEntry entry;
        entry.m_id = "executor-1";
        entry.m_startedAtMs = 1;
        scheduling::registerExecutor(m_state->m_scheduler, entry, {}, m_readAt);
    }

    auto lease_ownerReleased_hasEndedWhenNextOwnerActs() -> void
    {
        forEachClock([&](double rate, Duration age) {
            const auto grantedAt = m_readAt + age;
            m_renewedAt = grantedAt;
            PredecessorLeases leases;
            observeOwnerRecord(leases, 5, false, grantedAt - Duration(100000));
            observeOwnerRecord(leases, 5, true, grantedAt);
            assertEndsBy(leasesExpireBy(leases), rate, grantedAt);
        });
    }

    auto lease_ownerKilled_hasEndedWhenNextOwnerActs() -> void
    {
        forEachClock([&](double rate, Duration age) {
            for (Duration sinceRenewal { 0 }; sinceRenewal < m_longest; sinceRenewal += Duration(500)) {
                const auto grantedAt = m_readAt + age;
                m_renewedAt = grantedAt - sinceRenewal;
                PredecessorLeases leases;
                observeOwnerRecord(leases, 5, false, m_renewedAt);
                assertEndsBy(leasesExpireBy(leases), rate, grantedAt);
            }
        });
    }

    auto lease_secondTakeoverSoonAfterFirst_hasEndedWhenThirdOwnerActs() -> void
    {
        forEachClock([&](double rate, Duration age) {
            const auto grantedAt = m_readAt + age;
            m_renewedAt = grantedAt;
            PredecessorLeases leases;
            observeOwnerRecord(leases, 5, false, m_renewedAt);
            observeOwnerRecord(leases, 6, false, m_renewedAt + Duration(1));
            observeOwnerRecord(leases, 6, true, m_renewedAt + Duration(2));
            assertEndsBy(leasesExpireBy(leases), rate, grantedAt);
        });
    }

    // Guards against leases that end while their runs are polled as usual.
    auto lease_clockReadLately_hasNearlyWholeLength() -> void
    {
        const auto lease = m_state->m_scheduler.m_timing.m_lease;
        for (const auto rate : rates) {
            const auto grantedAt = m_readAt + Duration(5000);
            m_renewedAt = grantedAt;
            const auto end = leaseEnd(rate, grantedAt);
            CPPUNIT_ASSERT(end && *end - grantedAt >= lease * 9 / 10);
        }
    }

private:
    static constexpr double rates[] = { 0.98, 0.99, 1.0, 1.01, 1.02 };
    static constexpr std::int64_t clockAtReading = 1000000;

    auto forEachClock(auto check) -> void
    {
        for (const auto rate : rates) {
            for (Duration age { 0 }; age <= Duration(600000); age += Duration(5000))
                check(rate, age);
        }
    }

    // End of a lease that is granted at `grantedAt` for a clock of this rate, in true time.
    auto leaseEnd(double rate, Instant grantedAt) -> std::optional<Instant>
    {
        auto& executor = *m_state->m_scheduler.m_executors[0];
        executor.m_clockMs = clockAtReading;
        executor.m_clockReadAt = m_readAt;
        const auto deadline = leaseDeadline(*m_state, executor, grantedAt);
        if (!deadline)
            return std::nullopt;
        return m_readAt + Duration(std::llround(std::ceil(static_cast<double>(*deadline - clockAtReading) / rate)));
    }

    auto assertEndsBy(Instant nextOwnerActsAt, double rate, Instant grantedAt) -> void
    {
        const auto end = leaseEnd(rate, grantedAt);
        CPPUNIT_ASSERT(!end || *end <= nextOwnerActsAt);
    }

    boost::asio::io_context m_context;
    const Instant m_readAt { Duration(50000000) };
    Instant m_renewedAt;
    Duration m_longest { 0 };
    std::unique_ptr<CoordinatorState> m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseOfSlowClockTest);

} // namespace hemlockvane::detail
