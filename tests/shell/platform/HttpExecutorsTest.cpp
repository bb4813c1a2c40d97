#include "HttpExecutors.h"
#include "TaskName.h"

#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/http/HttpServer.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hemlockvane::platform {

namespace asio = boost::asio;
namespace json = boost::json;
using detail::CallOutcome;
using scheduling::StartAnswer;

class HttpExecutorsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpExecutorsTest);
    CPPUNIT_TEST(start_order_hasAllFields);
    CPPUNIT_TEST(start_withoutCheckpointAndTicket_hasNeither);
    CPPUNIT_TEST(start_anyCharacter_isReadBackAsItWas);
    CPPUNIT_TEST(start_refused_isToldByReason);
    CPPUNIT_TEST(start_statusThatDoesNothing_isRefused);
    CPPUNIT_TEST(start_statusThatThePagesDoNotName_isUnknown);
    CPPUNIT_TEST(start_answered_tellsTheExecutorsClock);
    CPPUNIT_TEST(start_notWanted_isNotSent);
    CPPUNIT_TEST(stop_order_hasAllFields);
    CPPUNIT_TEST(pace_order_hasAllFields);
    CPPUNIT_TEST(poll_order_hasAllFields);
    CPPUNIT_TEST(poll_withoutLeaseAndWait_hasNeither);
    CPPUNIT_TEST(poll_processWasReplaced_acknowledgesNothing);
    CPPUNIT_TEST(poll_serverEndsEachConnection_acknowledgesEverySecondTime);
    CPPUNIT_TEST(poll_report_hasRunsAndEnds);
    CPPUNIT_TEST(poll_largeReport_isReadInFull);
    CPPUNIT_TEST(poll_unreadableRow_isLeftOut);
    CPPUNIT_TEST(poll_asManyEndsAsAnAnswerLists_isIncomplete);
    CPPUNIT_TEST(poll_unreadableRowOfATask_isIncomplete);
    CPPUNIT_TEST(poll_absurdNumbers_areBounded);
    CPPUNIT_TEST(poll_malformedReport_isUnknown);
    CPPUNIT_TEST(poll_deeplyNestedReport_isUnknown);
    CPPUNIT_TEST(appendTaskName_anyTask_isAsTaskTextAndParsed);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        startServer("127.0.0.1:0");
        m_pool = std::make_unique<detail::HttpPool>(*m_context, detail::HttpPoolLimits {});
        m_status = 200;
        m_answer = R"({"clockMs":5})";
        m_received.reset();
    }

    auto tearDown() -> void override
    {
        m_pool.reset();
        m_server.reset();
        m_context.reset();
    }

    auto start_order_hasAllFields() -> void
    {
        CPPUNIT_ASSERT(start(order(), true) == StartAnswer::Started);
        assertReceived("/hemlockvane/run-start",
            { { "task", "5c0e7a21d94b36f8.4.1.17" }, { "run", 2 }, { "spec", "work" }, { "deadlineMs", -7 },
                { "fence", std::numeric_limits<std::uint64_t>::max() }, { "checkpoint", "c" }, { "ticket", "t" } });
    }

    auto start_withoutCheckpointAndTicket_hasNeither() -> void
    {
        auto request = order();
        request.m_checkpoint.clear();
        request.m_ticket.clear();
        start(request, true);
        const auto body = receivedBody();
        CPPUNIT_ASSERT(!body.contains("checkpoint"));
        CPPUNIT_ASSERT(!body.contains("ticket"));
    }

    auto start_anyCharacter_isReadBackAsItWas() -> void
    {
        auto request = order();
        request.m_payload.clear();
        for (int code = 0; code < 128; ++code)
            request.m_payload += static_cast<char>(code);
        request.m_payload += "\"\\\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80\"";
        request.m_checkpoint = "\\";
        request.m_ticket = "\"";
        start(request, true);
        const auto body = receivedBody();
        CPPUNIT_ASSERT_EQUAL(request.m_payload, detail::textOf(body, "spec"));
        CPPUNIT_ASSERT_EQUAL(request.m_checkpoint, detail::textOf(body, "checkpoint"));
        CPPUNIT_ASSERT_EQUAL(request.m_ticket, detail::textOf(body, "ticket"));
        // As the JSON library writes it.
        CPPUNIT_ASSERT(m_received->m_body.find(json::serialize(json::value(request.m_payload))) != std::string::npos);
    }

    auto start_refused_isToldByReason() -> void
    {
        constexpr std::pair<const char*, StartAnswer> reasons[]
            = { { "room", StartAnswer::NoCapacity }, { "ticket", StartAnswer::BadTicket },
                  { "late", StartAnswer::TooLate }, { "old", StartAnswer::AlreadyEnded },
                  { "fence", StartAnswer::StaleFence }, { "other", StartAnswer::Refused } };
        m_status = 409;
        for (const auto& [reason, expected] : reasons) {
            m_answer = R"({"clockMs":5,"reason":")" + std::string(reason) + R"("})";
            CPPUNIT_ASSERT_MESSAGE(reason, start(order(), true) == expected);
        }
        for (const auto* malformed : { "", "{", "[]", R"({"reason":7})", R"({"reason":"room")", "\xff" }) {
            m_answer = malformed;
            CPPUNIT_ASSERT_MESSAGE(malformed, start(order(), true) == StartAnswer::Refused);
        }
        m_answer = R"({"x":")" + std::string(100000, 'x') + R"(","reason":"room"})";
        CPPUNIT_ASSERT(start(order(), true) == StartAnswer::NoCapacity);
        m_status = 421;
        CPPUNIT_ASSERT(start(order(), true) == StartAnswer::OtherIncarnation);
        m_status = 503;
        CPPUNIT_ASSERT(start(order(), true) == StartAnswer::Refused);
    }

    auto start_statusThatDoesNothing_isRefused() -> void
    {
        for (const auto status : { 400U, 429U, 503U }) {
            m_status = status;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), start(order(), true) == StartAnswer::Refused);
        }
    }

    auto start_statusThatThePagesDoNotName_isUnknown() -> void
    {
        for (const auto status : { 201U, 202U, 302U, 404U, 408U, 500U, 502U, 504U }) {
            m_status = status;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), start(order(), true) == StartAnswer::Unknown);
        }
    }

    auto start_answered_tellsTheExecutorsClock() -> void
    {
        auto asked = order();
        std::vector<std::int64_t> clocks;
        asked.m_onAnswer = [&](std::int64_t clockMs) { clocks.push_back(clockMs); };
        for (const auto* body : { R"({"clockMs":482113})", "{}", "", R"({"clockMs":1e300})" }) {
            m_answer = body;
            start(asked, true);
        }
        CPPUNIT_ASSERT(clocks == std::vector<std::int64_t> { 482113 });
    }

    auto start_notWanted_isNotSent() -> void
    {
        CPPUNIT_ASSERT(start(order(), false) == StartAnswer::NotSent);
        CPPUNIT_ASSERT(!m_received);
    }

    auto stop_order_hasAllFields() -> void
    {
        HttpExecutors executors(*m_pool, *m_pool);
        std::function<bool()> mayBeSent;
        CPPUNIT_ASSERT(
            run(executors.stop(m_address, "e-1", order().m_task, 2, 9, std::move(mayBeSent))) == CallOutcome::Answered);
        assertReceived(
            "/hemlockvane/run-stop", { { "task", "5c0e7a21d94b36f8.4.1.17" }, { "run", 2 }, { "fence", 9 } });
    }

    auto pace_order_hasAllFields() -> void
    {
        HttpExecutors executors(*m_pool, *m_pool);
        CPPUNIT_ASSERT(run(executors.pace(m_address, "e-1", order().m_task, 2, 40, 9)) == CallOutcome::Answered);
        assertReceived("/hemlockvane/pace",
            { { "task", "5c0e7a21d94b36f8.4.1.17" }, { "run", 2 }, { "percent", 40 }, { "fence", 9 } });
    }

    auto poll_order_hasAllFields() -> void
    {
        poll({}); // Opens the connection.
        CPPUNIT_ASSERT(poll({ 9, 57, 486000, Duration(1000) }).m_outcome == CallOutcome::Answered);
        assertReceived(
            "/hemlockvane/hold", { { "fence", 9 }, { "lastSeen", 57 }, { "deadlineMs", 486000 }, { "waitMs", 1000 } });
    }

    auto poll_withoutLeaseAndWait_hasNeither() -> void
    {
        poll({}); // Opens the connection.
        poll({ 9, 57, std::nullopt, Duration(0) });
        assertReceived("/hemlockvane/hold", { { "fence", 9 }, { "lastSeen", 57 } });
    }

    // Guards against the loss of an end that a life of some milliseconds has numbered like one of the earlier life.
    auto poll_processWasReplaced_acknowledgesNothing() -> void
    {
        HttpExecutors executors(*m_pool, *m_pool);
        for (int life = 0; life < 2; ++life) {
            run(executors.poll(m_address, "e-1", { 9, 57, 486000, Duration(1000) }));
            assertReceived("/hemlockvane/hold", { { "fence", 9 }, { "lastSeen", 0 } });
            run(executors.poll(m_address, "e-1", { 9, 57, std::nullopt, Duration(0) }));
            assertReceived("/hemlockvane/hold", { { "fence", 9 }, { "lastSeen", 57 } });
            replaceServer();
        }
    }

    // Guards against ends that are never forgotten, so that 500 old ones hide the new ones.
    auto poll_serverEndsEachConnection_acknowledgesEverySecondTime() -> void
    {
        HttpExecutors executors(*m_pool, *m_pool);
        m_server->disableKeepAlive();
        for (const auto lastSeen : { 0, 57, 0, 57 }) {
            run(executors.poll(m_address, "e-1", { 9, 57, std::nullopt, Duration(0) }));
            assertReceived("/hemlockvane/hold", { { "fence", 9 }, { "lastSeen", lastSeen } });
        }
    }

    auto poll_report_hasRunsAndEnds() -> void
    {
        m_answer = R"({"clockMs":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41],)"
                   R"(["5c0e7a21d94b36f8.0.1.18",1,"",3.9,700]],)"
                   R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","cp"]]})";
        const auto result = poll({});
        CPPUNIT_ASSERT(result.m_outcome == CallOutcome::Answered);
        const auto& report = result.m_report;
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 482113 }, report.m_clockMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, report.m_startedAtMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, report.m_runs.size());
        CPPUNIT_ASSERT(report.m_runs[0].m_task == (scheduling::TaskKey { 0x5c0e7a21d94b36f8, 0, 1, 17 }));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, report.m_runs[0].m_run);
        CPPUNIT_ASSERT_EQUAL(std::string("00000bb87a21d94b"), report.m_runs[0].m_checkpoint);
        CPPUNIT_ASSERT_EQUAL(41, report.m_runs[0].m_percent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, report.m_runs[0].m_measurement);
        CPPUNIT_ASSERT_EQUAL(3, report.m_runs[1].m_percent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 700 }, report.m_runs[1].m_measurement);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report.m_endedRuns.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 58 }, report.m_endedRuns[0].m_number);
        CPPUNIT_ASSERT(report.m_endedRuns[0].m_kind == scheduling::RunOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("cp"), report.m_endedRuns[0].m_checkpoint);
    }

    auto poll_largeReport_isReadInFull() -> void
    {
        m_answer = R"({"clockMs":1,"running":[)";
        for (int index = 0; index < 500; ++index)
            m_answer += (index == 0 ? "[\"" : ",[\"") + detail::taskText({ 7, 0, 0, static_cast<std::uint32_t>(index) })
                + R"(",1,")" + std::string(200, 'c') + R"(",9,5])";
        m_answer += "]}";
        const auto result = poll({});
        CPPUNIT_ASSERT(result.m_outcome == CallOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 500 }, result.m_report.m_runs.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 499 }, result.m_report.m_runs.back().m_task.m_index);
        CPPUNIT_ASSERT_EQUAL(std::string(200, 'c'), result.m_report.m_runs.back().m_checkpoint);
    }

    // Guards against runs that are taken for lost since their ends are beyond those of one answer.
    auto poll_asManyEndsAsAnAnswerLists_isIncomplete() -> void
    {
        CPPUNIT_ASSERT(pollEnds(499).m_isComplete);
        CPPUNIT_ASSERT(!pollEnds(500).m_isComplete);
    }

    auto poll_unreadableRowOfATask_isIncomplete() -> void
    {
        const auto isComplete = [this](std::string lists) {
            m_answer = R"({"clockMs":1,)" + std::move(lists) + "}";
            return poll({}).m_report.m_isComplete;
        };
        CPPUNIT_ASSERT(isComplete(R"("running":[["other",1,"",9]],"finished":[[1,"other",1,"done",""]])"));
        CPPUNIT_ASSERT(!isComplete(R"("running":[["5c0e7a21d94b36f8.0.1.9",1]],"finished":[])"));
        CPPUNIT_ASSERT(!isComplete(R"("running":[],"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"gone",""]])"));
        CPPUNIT_ASSERT(!isComplete(R"("running":{},"finished":[])"));
        CPPUNIT_ASSERT(!isComplete(R"("running":[],"finished":7)"));
    }

    auto poll_absurdNumbers_areBounded() -> void
    {
        m_answer = R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.9",1,"",9,1e300]],"finished":[]})";
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 } << 53, poll({}).m_report.m_runs.at(0).m_measurement);
    }

    auto poll_unreadableRow_isLeftOut() -> void
    {
        m_answer = R"({"clockMs":1,"running":[7,null,[],{},["x",1,"",9],["5c0e7a21d94b36f8.0.1",1,"",9],[1,1,"",9],)"
                   R"(["5c0e7a21d94b36f8.0.1.18",1,"",9]],)"
                   R"("finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"gone",""],[2,"5c0e7a21d94b36f8.0.1.9",1,"done"],)"
                   R"([3,"5c0e7a21d94b36f8.0.1.9",1,"failed",""]]})";
        const auto result = poll({});
        CPPUNIT_ASSERT(result.m_outcome == CallOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, result.m_report.m_runs.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, result.m_report.m_endedRuns.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, result.m_report.m_endedRuns[0].m_number);
    }

    auto poll_malformedReport_isUnknown() -> void
    {
        for (const auto* body : { "", "{}", "[]", "7", "{", R"({"clockMs":1)", R"({"clockMs":1}x)", R"({"clockMs":})",
                 "{\"clockMs\":1,\"x\":\"\xff\"}", R"({"running":[],"finished":[]})" }) {
            m_answer = body;
            CPPUNIT_ASSERT_MESSAGE(body, poll({}).m_outcome == CallOutcome::Unknown);
        }
    }

    auto poll_deeplyNestedReport_isUnknown() -> void
    {
        m_answer = R"({"clockMs":1,"x":)" + std::string(100000, '[') + std::string(100000, ']') + "}";
        CPPUNIT_ASSERT(poll({}).m_outcome == CallOutcome::Unknown);
    }

    auto appendTaskName_anyTask_isAsTaskTextAndParsed() -> void
    {
        constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
        for (const auto& task : { scheduling::TaskKey {}, scheduling::TaskKey { 0x5c0e7a21d94b36f8, 1, 20, 300 },
                 scheduling::TaskKey { 0xa, 0, 1, 0 },
                 scheduling::TaskKey { std::numeric_limits<std::uint64_t>::max(), largest, largest, largest } }) {
            std::string text = "x";
            appendTaskName(task, text);
            CPPUNIT_ASSERT_EQUAL("x" + detail::taskText(task), text);
            CPPUNIT_ASSERT(parseTaskName(text.substr(1)) == task);
        }
    }

private:
    static auto order() -> detail::StartRequest
    {
        return { { 0x5c0e7a21d94b36f8, 4, 1, 17 }, 2, "work", -7, std::numeric_limits<std::uint64_t>::max(), "c", "t",
            {} };
    }

    auto startServer(const std::string& address) -> void
    {
        m_server = std::make_unique<detail::HttpServer>(*m_context, detail::HttpLimits {},
            [this](detail::HttpRequest request) { return answer(std::move(request)); });
        FailureReason reason;
        const auto port = m_server->listen(address, reason);
        CPPUNIT_ASSERT_MESSAGE(reason.m_text, port);
        m_address = "127.0.0.1:" + std::to_string(*port);
    }

    // Another process at the same address: all connections have ended.
    auto replaceServer() -> void
    {
        m_server->drain();
        m_context->restart();
        m_context->run_for(Duration(20));
        startServer(m_address);
    }

    auto answer(detail::HttpRequest request) -> asio::awaitable<detail::HttpResponse>
    {
        m_received = std::move(request);
        detail::HttpResponse response;
        response.m_status = m_status;
        response.m_body = m_answer;
        co_return response;
    }

    template <typename Result> auto run(asio::awaitable<Result> call) -> Result
    {
        std::optional<Result> result;
        asio::co_spawn(*m_context, std::move(call), [&](const std::exception_ptr& error, Result answered) {
            CPPUNIT_ASSERT(!error);
            result = std::move(answered);
        });
        m_context->restart();
        for (int round = 0; round < 400 && !result; ++round)
            m_context->run_for(Duration(5));
        CPPUNIT_ASSERT(result);
        return *result;
    }

    auto start(detail::StartRequest request, bool isWanted) -> StartAnswer
    {
        HttpExecutors executors(*m_pool, *m_pool);
        std::function<bool()> mayBeSent = [isWanted] { return isWanted; };
        return run(executors.start(m_address, "e-1", std::move(request), std::move(mayBeSent)));
    }

    auto pollEnds(int count) -> scheduling::ExecutorReport
    {
        m_answer = R"({"clockMs":1,"running":[],"finished":[)";
        for (int index = 1; index <= count; ++index)
            m_answer += (index == 1 ? "[" : ",[") + std::to_string(index) + R"(,"5c0e7a21d94b36f8.0.1.)"
                + std::to_string(index) + R"(",1,"done",""])";
        m_answer += "]}";
        return poll({}).m_report;
    }

    auto poll(detail::PollRequest request) -> detail::PollResult
    {
        HttpExecutors executors(*m_pool, *m_pool);
        return run(executors.poll(m_address, "e-1", request));
    }

    [[nodiscard]] auto receivedBody() const -> json::object
    {
        CPPUNIT_ASSERT(m_received);
        const auto body = detail::parseObject(m_received->m_body);
        CPPUNIT_ASSERT_MESSAGE(m_received->m_body, body);
        return *body;
    }

    auto assertReceived(const std::string& target, const json::object& body) const -> void
    {
        CPPUNIT_ASSERT_EQUAL(json::serialize(body), json::serialize(receivedBody()));
        CPPUNIT_ASSERT_EQUAL(target, m_received->m_target);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), m_received->m_method);
        CPPUNIT_ASSERT(detail::findHeader(m_received->m_headers, "Content-Type") == "application/json");
        CPPUNIT_ASSERT(detail::findHeader(m_received->m_headers, "Hemlockvane-Expect-Instance") == "e-1");
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<detail::HttpServer> m_server;
    std::unique_ptr<detail::HttpPool> m_pool;
    std::string m_address;
    unsigned m_status = 200; // Of each answer.
    std::string m_answer;
    std::optional<detail::HttpRequest> m_received;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpExecutorsTest);

} // namespace hemlockvane::platform
