#include "hemlockvane/shares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace hemlockvane {

class RequestQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestQueueTest);
    CPPUNIT_TEST(dispatchNext_unevenBacklog_followsWeights);
    CPPUNIT_TEST(dispatchNext_holderShares_goBeforeWeights);
    CPPUNIT_TEST(dispatchNext_urgent_goesFirstWithinTeam);
    CPPUNIT_TEST(dispatchNext_manyUrgent_leavesOthersTheirShare);
    CPPUNIT_TEST(dispatchNext_teamAtLimit_isPassedOver);
    CPPUNIT_TEST(enqueue_full_shedsTeamThatWaitsMost);
    CPPUNIT_TEST(enqueue_deadlineCannotBeKept_isRefusedAtOnce);
    CPPUNIT_TEST(enqueue_teamNotCountedByHolder_isNotRefused);
    CPPUNIT_TEST(shedLate_deadlinePassed_isRemoved);
    CPPUNIT_TEST(cancel_waiting_isNeverDispatched);
    CPPUNIT_TEST_SUITE_END();

public:
    auto dispatchNext_unevenBacklog_followsWeights() -> void
    {
        auto queue = queueWith(8);
        setWeight(queue, "small", 3);
        fill(queue, "big", 100);
        fill(queue, "small", 10);
        const auto got = dispatch(queue, 8);
        CPPUNIT_ASSERT_EQUAL(6, got.at("small"));
        CPPUNIT_ASSERT_EQUAL(2, got.at("big"));
    }

    auto dispatchNext_holderShares_goBeforeWeights() -> void
    {
        auto queue = queueWith(8);
        fill(queue, "here", 20);
        fill(queue, "elsewhere", 20);
        setSlots(queue, 8, std::vector<TeamShare> { { "here", 7000 }, { "elsewhere", 1000 } }, m_now);
        CPPUNIT_ASSERT_EQUAL(7, dispatch(queue, 8).at("here"));
    }

    auto dispatchNext_urgent_goesFirstWithinTeam() -> void
    {
        auto queue = queueWith(1);
        fill(queue, "a", 3);
        enqueue(queue, { 99, "a", true, m_later }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 99 }, next(queue)->m_ticket);
    }

    auto dispatchNext_manyUrgent_leavesOthersTheirShare() -> void
    {
        auto queue = queueWith(8);
        fill(queue, "calm", 50);
        for (std::uint64_t i = 0; i < 50; ++i)
            enqueue(queue, { 1000 + i, "flood", true, m_later }, m_now);
        const auto got = dispatch(queue, 8);
        CPPUNIT_ASSERT(got.at("flood") >= 4);
        CPPUNIT_ASSERT(got.at("calm") >= 3);
    }

    auto dispatchNext_teamAtLimit_isPassedOver() -> void
    {
        auto queue = queueWith(8);
        fill(queue, "limited", 5);
        fill(queue, "other", 1);
        const auto request = dispatchNext(
            queue, [](auto team) { return team == "other"; }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), request->m_team);
        CPPUNIT_ASSERT(!dispatchNext(
            queue, [](auto) { return false; }, m_now));
    }

    auto enqueue_full_shedsTeamThatWaitsMost() -> void
    {
        auto queue = queueWith(1);
        queue.m_limits.m_depth = 10;
        fill(queue, "noisy", 10);
        const auto shed = enqueue(queue, { 500, "quiet", false, m_later }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shed.size());
        CPPUNIT_ASSERT(shed[0].m_ticket != 500);
        CPPUNIT_ASSERT(shed[0].m_kind == ErrorKind::QueueFull);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, queue.m_waiting);
    }

    auto enqueue_deadlineCannotBeKept_isRefusedAtOnce() -> void
    {
        auto queue = queueWith(1);
        fill(queue, "a", 10);
        next(queue);
        finish(queue, "a", Duration { 100 }, m_now);
        const auto shed = enqueue(queue, { 500, "a", false, m_now + Duration { 200 } }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shed.size());
        CPPUNIT_ASSERT(shed[0].m_kind == ErrorKind::NoCapacity);
        CPPUNIT_ASSERT(shed[0].m_retryAfter > Duration { 0 });
        CPPUNIT_ASSERT(enqueue(queue, { 501, "a", false, m_now + Duration { 5000 } }, m_now).empty());
    }

    // Guards against a team that is refused forever: if its requests were shed at once, the holder would never see a
    // demand and never assign it a share.
    auto enqueue_teamNotCountedByHolder_isNotRefused() -> void
    {
        auto queue = queueWith(8);
        fill(queue, "greedy", 100);
        enqueue(queue, { 500, "slow", false, m_later }, m_now);
        dispatchNext(
            queue, [](auto team) { return team == "slow"; }, m_now);
        finish(queue, "slow", Duration { 500 }, m_now);
        setSlots(queue, 8, std::vector<TeamShare> { { "greedy", 8000 } }, m_now);
        CPPUNIT_ASSERT(enqueue(queue, { 501, "slow", false, m_now + Duration { 5000 } }, m_now).empty());
        CPPUNIT_ASSERT(enqueue(queue, { 502, "slow", false, m_now + Duration { 5000 } }, m_now).empty());
    }

    auto shedLate_deadlinePassed_isRemoved() -> void
    {
        auto queue = queueWith(1);
        enqueue(queue, { 1, "a", false, m_now + Duration { 10 } }, m_now);
        enqueue(queue, { 2, "a", false, m_later }, m_now);
        const auto shed = shedLate(queue, m_now + Duration { 10 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shed.size());
        CPPUNIT_ASSERT(shed[0].m_kind == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, next(queue)->m_ticket);
    }

    auto cancel_waiting_isNeverDispatched() -> void
    {
        auto queue = queueWith(1);
        enqueue(queue, { 1, "a", false, m_later }, m_now);
        CPPUNIT_ASSERT(cancel(queue, "a", 1));
        CPPUNIT_ASSERT(!cancel(queue, "a", 1));
        CPPUNIT_ASSERT(!next(queue).has_value());
    }

private:
    auto queueWith(std::uint32_t slots) const -> RequestQueue
    {
        RequestQueue queue;
        setSlots(queue, slots, {}, m_now);
        return queue;
    }

    auto fill(RequestQueue& queue, const std::string& team, std::uint64_t count) const -> void
    {
        for (std::uint64_t i = 0; i < count; ++i)
            enqueue(queue, { i, team, false, m_later }, m_now);
    }

    auto next(RequestQueue& queue) const -> std::optional<QueuedRequest>
    {
        return dispatchNext(
            queue, [](auto) { return true; }, m_now);
    }

    auto dispatch(RequestQueue& queue, int count) const -> std::map<std::string, int>
    {
        std::map<std::string, int> got;
        for (int i = 0; i < count; ++i)
            ++got[next(queue)->m_team];
        return got;
    }

    Instant m_now { Duration { 1000 } };
    Instant m_later { Duration { 100000 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQueueTest);

} // namespace hemlockvane
