#include "hemlockvane/detail/client/EntryClient.h"
#include "hemlockvane/detail/client/UuidV7.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/http/HttpServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace hemlockvane::detail {

namespace {

constexpr std::chrono::milliseconds timeout { 5000 };

// A server on its own thread that answers every request with the same response.
class FixedServer {
public:
    explicit FixedServer(HttpResponse answer)
        : m_server(m_context, HttpLimits(),
            [this, answer = std::move(answer)](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
                ++m_requests;
                co_return answer;
            })
    {
        FailureReason reason;
        const auto port = m_server.listen("127.0.0.1:0", reason);
        CPPUNIT_ASSERT(port.has_value());
        m_address = "127.0.0.1:" + std::to_string(*port);
        m_thread = std::thread([this]() { m_context.run(); });
    }

    ~FixedServer()
    {
        m_context.stop();
        m_thread.join();
    }

    boost::asio::io_context m_context;
    std::atomic<int> m_requests = 0;
    std::string m_address;

private:
    HttpServer m_server;
    std::thread m_thread;
};

// Address without a listener: port 1 of the loopback interface.
const std::string closedAddress = "127.0.0.1:1";

} // namespace

class EntryClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryClientTest);
    CPPUNIT_TEST(uuid_fromTimestampAndRandom_hasVersion7Layout);
    CPPUNIT_TEST(unreachableEntry_nextEntryIsTried);
    CPPUNIT_TEST(notRunRefusal_nextEntryIsTried);
    CPPUNIT_TEST(outcomeUnknown_isFinal);
    CPPUNIT_TEST(overLimit_isFinal);
    CPPUNIT_TEST(lostAnswer_withoutKey_nextEntryIsNotTried);
    CPPUNIT_TEST(lostAnswerThenRefusal_isOutcomeUnknown);
    CPPUNIT_TEST(refusal_withNotRunFlag_overridesErrorTable);
    CPPUNIT_TEST(noEntryReachable_isNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto uuid_fromTimestampAndRandom_hasVersion7Layout() -> void
    {
        const UuidRandom random { 0xff, 1, 0xff, 2, 3, 4, 5, 6, 7, 8 };
        CPPUNIT_ASSERT_EQUAL(std::string("01234567-89ab-7f01-bf02-030405060708"), formatUuidV7(0x0123456789ab, random));
    }

    auto unreachableEntry_nextEntryIsTried() -> void
    {
        FixedServer good({ 200, {}, "done" });
        const auto response = call({ closedAddress, good.m_address }, false);
        CPPUNIT_ASSERT(response && response->m_body == "done");
    }

    auto notRunRefusal_nextEntryIsTried() -> void
    {
        FixedServer draining(errorResponse({ ErrorKind::Draining, "stopping" }));
        FixedServer good({ 200, {}, "done" });
        const auto response = call({ draining.m_address, good.m_address }, false);
        CPPUNIT_ASSERT(response && response->m_body == "done");
    }

    auto outcomeUnknown_isFinal() -> void { assertFinal(ErrorKind::OutcomeUnknown); }

    auto overLimit_isFinal() -> void { assertFinal(ErrorKind::OverLimit); }

    auto lostAnswer_withoutKey_nextEntryIsNotTried() -> void
    {
        const auto lost = refusalOf({ ErrorKind::AnswerLost, "" });
        CPPUNIT_ASSERT(!mayTryNextEntry(lost, false));
        CPPUNIT_ASSERT(mayTryNextEntry(lost, true));
    }

    auto lostAnswerThenRefusal_isOutcomeUnknown() -> void
    {
        FixedServer lost(errorResponse({ ErrorKind::AnswerLost, "cut short" }));
        FixedServer draining(errorResponse({ ErrorKind::Draining, "stopping" }));
        const auto response = call({ lost.m_address, draining.m_address }, true);
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::OutcomeUnknown);
    }

    auto refusal_withNotRunFlag_overridesErrorTable() -> void
    {
        const HttpResponse response { 503, {}, R"({"error":"draining","number":9,"not_run":false,"retry":true})" };
        const auto refusal = readRefusal(response);
        CPPUNIT_ASSERT(refusal && !refusal->m_guaranteesNotRun);
        CPPUNIT_ASSERT(!mayTryNextEntry(*refusal, false));
    }

    auto noEntryReachable_isNoAnswer() -> void
    {
        CPPUNIT_ASSERT(!call({ closedAddress }, true));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::NoCapacity);
    }

private:
    auto call(const std::vector<std::string>& addresses, bool isIdempotent) -> std::optional<HttpResponse>
    {
        return callEntries(addresses, HttpRequest(), isIdempotent, timeout, m_reason);
    }

    auto assertFinal(ErrorKind kind) -> void
    {
        FixedServer first(errorResponse({ kind, "" }));
        FixedServer second({ 200, {}, "done" });
        call({ first.m_address, second.m_address }, true);
        CPPUNIT_ASSERT(m_reason.m_kind == kind);
        CPPUNIT_ASSERT_EQUAL(0, second.m_requests.load());
    }

    FailureReason m_reason;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryClientTest);

} // namespace hemlockvane::detail
