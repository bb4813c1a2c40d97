#include "core/scheduling/SchedulerFixture.h"

#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hemlockvane::scheduling {

/// A queue whose policy allows only some executors, which the advice service names.
class RequestAdviceTest : public SchedulerFixture {
    CPPUNIT_TEST_SUITE(RequestAdviceTest);
    CPPUNIT_TEST(pool_allowsNoneOfTheFirstHundred_othersAreAskedAbout);
    CPPUNIT_TEST(pool_allowsNone_isNotAskedAboutAgain);
    CPPUNIT_TEST(allowedExecutors_full_othersWithRoomAreAskedAbout);
    CPPUNIT_TEST(allowedExecutors_full_othersWithoutRoomAreNotAskedAbout);
    CPPUNIT_TEST(allowedExecutors_tooFewForGang_othersAreAskedAbout);
    CPPUNIT_TEST(executor_joinsLater_isAskedAbout);
    CPPUNIT_TEST(executor_startsAgain_isAskedAboutAndItsTicketIsNotUsed);
    CPPUNIT_TEST(executor_startsAgainDuringTheRequest_isAskedAboutAgain);
    CPPUNIT_TEST(tickets_ofTwoRequests_areUsedSideBySide);
    CPPUNIT_TEST(ticket_expired_executorIsAskedAboutAgain);
    CPPUNIT_TEST(ticket_refused_executorIsAskedAboutAgainAfterPause);
    CPPUNIT_TEST(answer_missing_executorsAreAskedAboutAgainAfterPause);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixture::setUp();
        m_scheduler.m_rules.m_queues["checks"].m_needsAdvice = true;
    }

    // Guards against a job that waits for ever, since the same executors are asked about each time.
    auto pool_allowsNoneOfTheFirstHundred_othersAreAskedAbout() -> void
    {
        addExecutors(poolSize);
        submit({ step(1, 1000) });
        CPPUNIT_ASSERT_EQUAL(requestLimit, ask().m_candidates.size());
        allow({});
        CPPUNIT_ASSERT_EQUAL(poolSize - requestLimit, ask().m_candidates.size());
        allow({ "e110" });
        const auto started = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, started.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e110"), idOf(started[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket of e110"), started[0].m_ticket);
    }

    auto pool_allowsNone_isNotAskedAboutAgain() -> void
    {
        submit({ step(1, 1000) });
        ask();
        allow({});
        m_now += longTime;
        CPPUNIT_ASSERT(plan().empty());
    }

    auto allowedExecutors_full_othersWithRoomAreAskedAbout() -> void
    {
        addExecutors(poolSize);
        submit({ step(2, 8000) });
        ask();
        allow({ "e0" });
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), idOf(startsAndRequest().at(0)));
        CPPUNIT_ASSERT_EQUAL(poolSize - requestLimit, m_request.m_candidates.size());
        allow({ "e110" });
        CPPUNIT_ASSERT_EQUAL(std::string("e110"), idOf(plan().at(0)));
    }

    auto allowedExecutors_full_othersWithoutRoomAreNotAskedAbout() -> void
    {
        submit({ step(2, 8000) });
        ask();
        allow({ "e0" });
        addExecutor("small");
        m_scheduler.m_executors.back()->m_entry.m_capacity = { 4000, 16000, 0 };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan().size());
        m_now += longTime;
        CPPUNIT_ASSERT(starts().empty());
        CPPUNIT_ASSERT(plan().empty());
    }

    auto allowedExecutors_tooFewForGang_othersAreAskedAbout() -> void
    {
        auto gang = step(2, 8000);
        gang.m_isGang = true;
        submit({ gang });
        ask();
        allow({ "e0" });
        CPPUNIT_ASSERT(plan().empty());
        addExecutor("e2");
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e2" });
        allow({ "e2" });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, plan().size());
    }

    auto executor_joinsLater_isAskedAbout() -> void
    {
        submit({ step(1, 1000) });
        ask();
        allow({});
        CPPUNIT_ASSERT(plan().empty());
        addExecutor("e2");
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e2" });
    }

    auto executor_startsAgain_isAskedAboutAndItsTicketIsNotUsed() -> void
    {
        submit({ step(1, 1000) });
        ask();
        allow({ "e0" });
        restart(0);
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e0" });
    }

    auto executor_startsAgainDuringTheRequest_isAskedAboutAgain() -> void
    {
        submit({ step(1, 1000) });
        ask();
        restart(0);
        allow({ "e0" });
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e0" });
    }

    auto tickets_ofTwoRequests_areUsedSideBySide() -> void
    {
        submit({ step(3, 8000) });
        ask();
        allow({ "e0" });
        addExecutor("e2");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, startsAndRequest().size());
        CPPUNIT_ASSERT(m_request.m_candidates == std::vector<std::string> { "e2" });
        allow({ "e2" });
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), idOf(plan().at(0)));
        removeRun(m_scheduler, { job, 0, 0, 0 }, 1, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket of e0"), plan().at(0).m_ticket);
    }

    auto ticket_expired_executorIsAskedAboutAgain() -> void
    {
        submit({ step(1, 1000) });
        ask();
        allow({ "e0" });
        m_now += validTime;
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e0" });
    }

    auto ticket_refused_executorIsAskedAboutAgainAfterPause() -> void
    {
        submit({ step(1, 1000) });
        ask();
        allow({ "e0" });
        answer(plan().at(0), StartAnswer::BadTicket, false);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(ask().m_candidates == std::vector<std::string> { "e0" });
    }

    // Guards against a request without an answer that counts as a refusal of all executors.
    auto answer_missing_executorsAreAskedAboutAgainAfterPause() -> void
    {
        submit({ step(1, 1000) });
        const auto request = ask();
        applyMissingAdvice(m_scheduler, request.m_task, m_now);
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(ask().m_candidates == request.m_candidates);
    }

private:
    static constexpr std::size_t requestLimit = 100;
    static constexpr std::size_t poolSize = 122;
    static constexpr Duration validTime { 3000 };
    static constexpr Duration longTime { 60000 };

    // Adds executors until there are as many.
    auto addExecutors(std::size_t count) -> void
    {
        for (auto index = m_scheduler.m_executors.size(); index < count; ++index)
            addExecutor("e" + std::to_string(index));
    }

    auto restart(ExecutorIndex index) -> void
    {
        auto entry = m_scheduler.m_executors[index]->m_entry;
        ++entry.m_startedAtMs;
        registerExecutor(m_scheduler, entry, m_now, m_now);
        report(index, {});
    }

    // Plans after the pause between two requests; the plan makes a request and nothing else.
    auto ask() -> Action
    {
        m_now += m_scheduler.m_timing.m_adviceRetry;
        const auto actions = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].m_kind == ActionKind::AskAdvice);
        m_request = actions[0];
        return m_request;
    }

    // Plans after that pause; returns the starts and keeps the request.
    auto startsAndRequest() -> std::vector<Action>
    {
        m_now += m_scheduler.m_timing.m_adviceRetry;
        auto actions = plan();
        for (const auto& action : actions)
            m_request = action.m_kind == ActionKind::AskAdvice ? action : m_request;
        std::erase_if(actions, [](const Action& action) { return action.m_kind != ActionKind::Start; });
        return actions;
    }

    // Answers the last request.
    auto allow(const std::vector<std::string>& ids) -> void
    {
        std::map<std::string, std::string> tickets;
        for (const auto& id : ids)
            tickets[id] = "ticket of " + id;
        applyAdvice(m_scheduler, m_request.m_task, tickets, validTime, m_now);
    }

    auto idOf(const Action& start) -> std::string { return m_scheduler.m_executors[start.m_executor]->m_entry.m_id; }

    Action m_request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAdviceTest);

} // namespace hemlockvane::scheduling
