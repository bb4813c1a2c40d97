#include "hemlockvane/routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlockvane {

class RoutingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(chooseExecutor_ownZoneHasSlots_staysThere);
    CPPUNIT_TEST(chooseExecutor_ownZoneFull_takesOther);
    CPPUNIT_TEST(chooseExecutor_noFreeSlot_choosesNone);
    CPPUNIT_TEST(chooseExecutor_leaving_getsNothing);
    CPPUNIT_TEST(chooseExecutor_triedBefore_takesOther);
    CPPUNIT_TEST(recordFailure_oneExecutorFails_isEjected);
    CPPUNIT_TEST(recordFailure_allFail_ejectsBoundedFraction);
    CPPUNIT_TEST(recordAnswer_oneExecutorSlow_isEjected);
    CPPUNIT_TEST(recordAnswer_teamWithLongRuns_ejectsNobody);
    CPPUNIT_TEST(probation_goodAnswers_endIt);
    CPPUNIT_TEST(probation_failure_ejectsForLonger);
    CPPUNIT_TEST(probation_requestNotRepeatable_goesElsewhere);
    CPPUNIT_TEST(onConnectionTimeout_connectionSilent_closesStaleOnesAndProbes);
    CPPUNIT_TEST(onConnectionTimeout_twice_probesOnce);
    CPPUNIT_TEST(decideRetry_lostNotRepeatable_isNeverRetried);
    CPPUNIT_TEST(decideRetry_notSent_isRetriedWithinBudget);
    CPPUNIT_TEST(decideRetry_deadlineTooNear_answersAtOnce);
    CPPUNIT_TEST(computeSubsets_targetSize_staysWithinBounds);
    CPPUNIT_TEST(computeSubsets_anyOrder_isTheSame);
    CPPUNIT_TEST(spareConnections_entriesJoin_stayWithinLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_state.m_zone = "z0";
        for (int i = 0; i < 10; ++i)
            m_state.m_executors["x" + std::to_string(i)].m_zone = "z" + std::to_string(i % 4);
    }

    auto chooseExecutor_ownZoneHasSlots_staysThere() -> void
    {
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("z0"), m_state.m_executors[*choose()].m_zone);
    }

    auto chooseExecutor_ownZoneFull_takesOther() -> void
    {
        const auto chosen = chooseExecutor(
            m_state, true, {},
            [&](auto name) { return m_state.m_executors.find(name)->second.m_zone == "z0" ? 0U : 1U; }, m_now);
        CPPUNIT_ASSERT(chosen.has_value());
        CPPUNIT_ASSERT(m_state.m_executors[*chosen].m_zone != "z0");
    }

    auto chooseExecutor_noFreeSlot_choosesNone() -> void
    {
        CPPUNIT_ASSERT(!chooseExecutor(
            m_state, true, {}, [](auto) { return 0U; }, m_now));
    }

    auto chooseExecutor_leaving_getsNothing() -> void
    {
        auto listed = m_state.m_executors;
        for (auto& [name, executor] : listed)
            executor.m_leaving = name != "x5";
        updateExecutors(m_state, listed);
        CPPUNIT_ASSERT_EQUAL(std::string("x5"), *choose());
    }

    auto chooseExecutor_triedBefore_takesOther() -> void
    {
        const std::vector<std::string> tried { "x0", "x4" };
        const auto chosen = chooseExecutor(
            m_state, true, tried, [](auto) { return 1U; }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("x8"), *chosen);
    }

    auto recordFailure_oneExecutorFails_isEjected() -> void
    {
        answerAll(10);
        fail("x0", 10);
        CPPUNIT_ASSERT(ejectionState("x0") == EjectionState::Ejected);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(*choose() != "x0");
    }

    auto recordFailure_allFail_ejectsBoundedFraction() -> void
    {
        for (int round = 0; round < 20; ++round) {
            for (int i = 0; i < 10; ++i)
                fail("x" + std::to_string(i), 1 + i % 3);
            CPPUNIT_ASSERT(ejectedExecutors(m_state) <= 2);
        }
        CPPUNIT_ASSERT(choose().has_value());
    }

    auto recordAnswer_oneExecutorSlow_isEjected() -> void
    {
        answerAll(10);
        for (int i = 0; i < 20; ++i)
            recordAnswer(m_state, "x3", "a", Duration { 2000 }, m_now);
        CPPUNIT_ASSERT(ejectionState("x3") == EjectionState::Ejected);
    }

    auto recordAnswer_teamWithLongRuns_ejectsNobody() -> void
    {
        answerAll(10);
        for (int i = 0; i < 20; ++i)
            recordAnswer(m_state, "x3", "slow team", Duration { 2000 }, m_now);
        CPPUNIT_ASSERT(ejectionState("x3") == EjectionState::Accepting);
    }

    auto probation_goodAnswers_endIt() -> void
    {
        beginProbation();
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("x0"), *choose());
            CPPUNIT_ASSERT(*choose() != "x0");
            recordAnswer(m_state, "x0", "a", Duration { 20 }, m_now);
        }
        CPPUNIT_ASSERT(ejectionState("x0") == EjectionState::Accepting);
    }

    auto probation_failure_ejectsForLonger() -> void
    {
        beginProbation();
        CPPUNIT_ASSERT_EQUAL(std::string("x0"), *choose());
        recordFailure(m_state, "x0", m_now);
        CPPUNIT_ASSERT(ejectionState("x0") == EjectionState::Ejected);
        CPPUNIT_ASSERT(
            m_state.m_executors["x0"].m_health.m_ejectedUntil == m_now + 2 * m_state.m_limits.m_baseEjectionTime);
    }

    auto probation_requestNotRepeatable_goesElsewhere() -> void
    {
        beginProbation();
        CPPUNIT_ASSERT(*chooseExecutor(
                           m_state, false, {}, [](auto) { return 1U; }, m_now)
            != "x0");
    }

    auto onConnectionTimeout_connectionSilent_closesStaleOnesAndProbes() -> void
    {
        ConnectionLiveness liveness;
        const auto sentAt = m_now + Duration { 10 };
        onBytesReceived(liveness, 1, m_now);
        onBytesReceived(liveness, 2, m_now);
        onBytesReceived(liveness, 3, sentAt + Duration { 5 });
        const auto actions = onConnectionTimeout(liveness, 1, sentAt, Duration { 1000 }, sentAt + Duration { 500 });
        CPPUNIT_ASSERT(actions.m_close == (std::vector<std::uint64_t> { 1, 2 }));
        CPPUNIT_ASSERT(actions.m_probe);
    }

    auto onConnectionTimeout_twice_probesOnce() -> void
    {
        ConnectionLiveness liveness;
        onBytesReceived(liveness, 1, m_now);
        CPPUNIT_ASSERT(onConnectionTimeout(liveness, 1, m_now, Duration { 1000 }, m_now).m_probe);
        onBytesReceived(liveness, 2, m_now);
        CPPUNIT_ASSERT(!onConnectionTimeout(liveness, 2, m_now, Duration { 1000 }, m_now + Duration { 999 }).m_probe);
    }

    auto decideRetry_lostNotRepeatable_isNeverRetried() -> void
    {
        const auto decision = decideRetry({ AttemptFailure::Lost, false, 1, m_later, {} }, m_budget, m_now);
        CPPUNIT_ASSERT(!decision.m_retry);
        CPPUNIT_ASSERT(decision.m_answer == ErrorKind::OutcomeUnknown);
    }

    auto decideRetry_notSent_isRetriedWithinBudget() -> void
    {
        m_budget.m_balance = 2 * oneRetry;
        const FailedAttempt attempt { AttemptFailure::NotSent, false, 1, m_later, {} };
        CPPUNIT_ASSERT(decideRetry(attempt, m_budget, m_now).m_retry);
        CPPUNIT_ASSERT(decideRetry(attempt, m_budget, m_now).m_retry);
        const auto decision = decideRetry(attempt, m_budget, m_now);
        CPPUNIT_ASSERT(!decision.m_retry);
        CPPUNIT_ASSERT(decision.m_answer == ErrorKind::NoCapacity);
        for (int i = 0; i < 10; ++i)
            earnRetry(m_budget);
        CPPUNIT_ASSERT(decideRetry(attempt, m_budget, m_now).m_retry);
    }

    auto decideRetry_deadlineTooNear_answersAtOnce() -> void
    {
        const FailedAttempt attempt { AttemptFailure::Refused, true, 1, m_now + Duration { 10 }, Duration { 20 } };
        const auto decision = decideRetry(attempt, m_budget, m_now);
        CPPUNIT_ASSERT(!decision.m_retry);
        CPPUNIT_ASSERT(decision.m_answer == ErrorKind::DeadlinePassed);
    }

    auto computeSubsets_targetSize_staysWithinBounds() -> void
    {
        const SubsetLimits limits;
        const auto entries = members("e", 126, 14);
        const auto executors = members("x", 140, 14);
        std::map<std::string, int> load;
        for (const auto& [executor, subset] : computeSubsets(entries, executors, limits)) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { limits.m_entries }, subset.size());
            for (const auto& entry : subset)
                ++load[entry];
        }
        CPPUNIT_ASSERT_EQUAL(entries.size(), load.size());
    }

    auto computeSubsets_anyOrder_isTheSame() -> void
    {
        auto entries = members("e", 60, 14);
        auto executors = members("x", 30, 14);
        const auto first = computeSubsets(entries, executors, {});
        std::reverse(entries.begin(), entries.end());
        std::reverse(executors.begin(), executors.end());
        CPPUNIT_ASSERT(first == computeSubsets(entries, executors, {}));
    }

    auto spareConnections_entriesJoin_stayWithinLimit() -> void
    {
        const SubsetLimits limits;
        for (std::uint32_t entries = 1; entries <= limits.m_entries; ++entries) {
            const auto spare = spareConnections(limits, entries);
            CPPUNIT_ASSERT(spare >= 1);
            CPPUNIT_ASSERT(limits.m_slots + spare * (entries + limits.m_joining) <= limits.m_connections);
        }
    }

private:
    auto choose() -> std::optional<std::string>
    {
        return chooseExecutor(
            m_state, true, {}, [](auto) { return 1U; }, m_now);
    }

    auto ejectionState(const std::string& name) -> EjectionState
    {
        return m_state.m_executors[name].m_health.m_ejectionState;
    }

    auto answerAll(int count) -> void
    {
        for (int n = 0; n < count; ++n) {
            for (auto& [name, executor] : m_state.m_executors)
                recordAnswer(m_state, name, "a", Duration { 20 }, m_now);
        }
    }

    auto fail(const std::string& name, int count) -> void
    {
        for (int i = 0; i < count; ++i)
            recordFailure(m_state, name, m_now);
    }

    auto beginProbation() -> void
    {
        answerAll(10);
        fail("x0", 10);
        m_now += m_state.m_limits.m_baseEjectionTime;
    }

    static auto members(const std::string& prefix, int count, int zones) -> std::vector<SubsetMember>
    {
        std::vector<SubsetMember> result;
        for (int i = 0; i < count; ++i)
            result.push_back({ prefix + std::to_string(i), "z" + std::to_string(i % zones) });
        return result;
    }

    RoutingState m_state;
    RetryBudget m_budget;
    Instant m_now { Duration { 1000 } };
    Instant m_later { Duration { 100000 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace hemlockvane
