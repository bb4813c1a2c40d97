#include "core/claims/ClaimWorld.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <unordered_set>

namespace hemlockvane {

namespace {

// Faults and events that may still be injected on a path. A message that is never delivered counts as lost.
struct Budget {
    int m_requests = 2;
    int m_ticks = 1;
    int m_takeovers = 1;
    int m_settles = 1;
    int m_depth = 0;
};

struct Step {
    ClaimWorld m_world;
    Budget m_budget;
};

struct Exploration {
    std::unordered_set<std::size_t> m_seen;
    std::size_t m_unsafe = 0;
    bool m_breaksPromise = false; ///< A member accepts older epochs even after it has reported.
    bool m_crash = true; ///< False: the entry is paused instead and may resume at any moment.
    std::size_t m_faultyNode = 0; ///< Index of the entry that crashes or pauses.
};

constexpr std::size_t successor = 1;
constexpr std::size_t statesLimit = 500'000;

auto explore(Exploration& exploration, const Step& step) -> void;

auto tryStep(Exploration& exploration, const Step& from, const std::function<void(Step&)>& change) -> void
{
    Step next = from;
    --next.m_budget.m_depth;
    change(next);
    explore(exploration, next);
}

auto tryRequests(Exploration& exploration, const Step& step) -> void
{
    if (step.m_budget.m_requests == 0)
        return;
    for (std::size_t node = 0; node < step.m_world.m_nodes.size(); ++node) {
        if (step.m_world.m_nodes[node].m_crashed)
            continue;
        tryStep(exploration, step, [node](Step& next) {
            --next.m_budget.m_requests;
            request(next.m_world, node);
        });
    }
}

auto tryMessages(Exploration& exploration, const Step& step) -> void
{
    for (std::size_t i = 0; i < step.m_world.m_messages.size(); ++i)
        tryStep(exploration, step, [&exploration, i](Step& next) {
            deliver(next.m_world, i);
            if (exploration.m_breaksPromise)
                next.m_world.m_nodes.back().m_state.m_slots[0].m_minimumEpoch = 0;
        });
}

auto tryOutcomes(Exploration& exploration, const Step& step) -> void
{
    for (std::size_t i = 0; i < step.m_world.m_running.size(); ++i) {
        for (const auto result : { ClaimResult::Answered, ClaimResult::NotRun, ClaimResult::InDoubt })
            tryStep(exploration, step, [i, result](Step& next) { finish(next.m_world, i, result); });
    }
}

auto tryTakeover(Exploration& exploration, const Step& step) -> void
{
    if (step.m_budget.m_takeovers == 0)
        return;
    const auto faulty = exploration.m_faultyNode;
    tryStep(exploration, step, [&exploration, faulty](Step& next) {
        --next.m_budget.m_takeovers;
        next.m_world.m_nodes[faulty].m_crashed = exploration.m_crash;
        if (exploration.m_crash)
            std::erase_if(next.m_world.m_running, [faulty](const auto& running) { return running.first == faulty; });
        append(next.m_world, { ClaimWorldRecord::Kind::Remove, nodeName(faulty), "" });
        if (faulty == 0)
            append(next.m_world, { ClaimWorldRecord::Kind::Take, nodeName(successor), "" });
    });
}

auto tryFolds(Exploration& exploration, const Step& step) -> void
{
    for (std::size_t node = 0; node < step.m_world.m_nodes.size(); ++node) {
        const auto behind = step.m_world.m_nodes[node].m_foldedEnd < step.m_world.m_log.size();
        if (behind && node != exploration.m_faultyNode)
            tryStep(exploration, step, [node](Step& next) { foldLog(next.m_world, node); });
    }
}

auto tryTimeSteps(Exploration& exploration, const Step& step) -> void
{
    if (step.m_budget.m_ticks > 0) {
        tryStep(exploration, step, [](Step& next) {
            --next.m_budget.m_ticks;
            passTime(next.m_world, next.m_world.m_nodes[0].m_state.m_settings.m_retryInterval);
        });
    }
    if (step.m_budget.m_settles > 0 && step.m_budget.m_takeovers == 0) {
        tryStep(exploration, step, [&exploration](Step& next) {
            --next.m_budget.m_settles;
            next.m_world.m_nodes[exploration.m_faultyNode].m_vouched = false;
            passTime(next.m_world, next.m_world.m_nodes[0].m_state.m_settings.m_removalGrace);
        });
    }
}

auto explore(Exploration& exploration, const Step& step) -> void
{
    const auto& budget = step.m_budget;
    const auto text = fingerprint(step.m_world) + '/' + std::to_string(budget.m_depth) + std::to_string(budget.m_ticks)
        + std::to_string(budget.m_settles);
    if (!exploration.m_seen.insert(std::hash<std::string> {}(text)).second)
        return;
    if (step.m_world.m_executed > 1 || step.m_world.m_falseNotRun) {
        ++exploration.m_unsafe;
        return;
    }
    if (budget.m_depth == 0 || exploration.m_seen.size() > statesLimit)
        return;
    tryRequests(exploration, step);
    tryMessages(exploration, step);
    tryOutcomes(exploration, step);
    tryTakeover(exploration, step);
    tryFolds(exploration, step);
    tryTimeSteps(exploration, step);
}

} // namespace

class ClaimExplorationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClaimExplorationTest);
    CPPUNIT_TEST(everyOrder_fromTheStart_runsAtMostOnce);
    CPPUNIT_TEST(everyOrder_holderCrashedInFlight_runsAtMostOnce);
    CPPUNIT_TEST(everyOrder_holderPausedWithGrantInTransit_runsAtMostOnce);
    CPPUNIT_TEST(everyOrder_dispatcherPausedWithGrantInTransit_runsAtMostOnce);
    CPPUNIT_TEST(everyOrder_holderIsDispatcherAndCrashes_runsAtMostOnce);
    CPPUNIT_TEST(everyOrder_promiseBroken_isDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto everyOrder_fromTheStart_runsAtMostOnce() -> void
    {
        Exploration exploration;
        auto start = begin();
        start.m_budget.m_depth = 7;
        check(exploration, start);
    }

    auto everyOrder_holderCrashedInFlight_runsAtMostOnce() -> void
    {
        Exploration exploration;
        auto start = begin();
        requestThrough(start, 1);
        deliverAll(start.m_world);
        check(exploration, start);
    }

    auto everyOrder_holderPausedWithGrantInTransit_runsAtMostOnce() -> void
    {
        Exploration exploration;
        exploration.m_crash = false;
        auto start = begin();
        requestThrough(start, 2);
        deliver(start.m_world, 0);
        check(exploration, start);
    }

    auto everyOrder_dispatcherPausedWithGrantInTransit_runsAtMostOnce() -> void
    {
        Exploration exploration;
        exploration.m_crash = false;
        exploration.m_faultyNode = 2;
        auto start = begin();
        requestThrough(start, 2);
        deliver(start.m_world, 0);
        check(exploration, start);
    }

    auto everyOrder_holderIsDispatcherAndCrashes_runsAtMostOnce() -> void
    {
        Exploration exploration;
        auto start = begin();
        requestThrough(start, 0);
        check(exploration, start);
    }

    // Shows that the search detects a fault: a member that accepts older epochs after its report uses a grant of the
    // removed holder.
    auto everyOrder_promiseBroken_isDetected() -> void
    {
        Exploration exploration;
        exploration.m_breaksPromise = true;
        auto start = begin();
        requestThrough(start, 2);
        deliver(start.m_world, 0);
        start.m_budget.m_ticks = 0;
        ++start.m_budget.m_depth;
        explore(exploration, start);
        CPPUNIT_ASSERT(exploration.m_unsafe > 0);
    }

private:
    static auto begin() -> Step
    {
        Step start { makeClaimWorld({ "z1", "z2", "z2" }), {} };
        start.m_budget.m_depth = 8;
        return start;
    }

    static auto requestThrough(Step& start, std::size_t node) -> void
    {
        --start.m_budget.m_requests;
        request(start.m_world, node);
    }

    // Checks that the search was exhaustive to its depth and found no violation.
    static auto check(Exploration& exploration, const Step& start) -> void
    {
        explore(exploration, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, exploration.m_unsafe);
        CPPUNIT_ASSERT(exploration.m_seen.size() <= statesLimit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimExplorationTest);

} // namespace hemlockvane
