#include "hemlockvane/detail/http/HttpPool.h"

#include "hemlockvane/detail/http/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

class HttpPoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpPoolTest);
    CPPUNIT_TEST(call_sameServerAgain_reusesConnection);
    CPPUNIT_TEST(call_manyServersOnceEach_staysWithinTotal);
    CPPUNIT_TEST(call_otherServerAfterIdleTimeout_closesIdleConnection);
    CPPUNIT_TEST(call_moreInUseThanTotal_isNotDelayed);
    CPPUNIT_TEST(call_notWantedAnyMore_isNotWritten);
    CPPUNIT_TEST(call_notWantedAnyMoreOnceConnected_isNotWritten);
    CPPUNIT_TEST(call_otherCallerRepeatsAtOnce_isNotOvertaken);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_servers.clear();
        m_addresses.clear();
        m_requests = 0;
        for (int number = 0; number < serverCount; ++number)
            addServer();
    }

    auto call_sameServerAgain_reusesConnection() -> void
    {
        HttpPool pool(*m_context, {});
        callServer(pool, 0);
        callServer(pool, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pool.openConnections());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_servers[0]->connectionCount());
    }

    auto call_manyServersOnceEach_staysWithinTotal() -> void
    {
        HttpPool pool(*m_context, { .m_total = 3 });
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            callServer(pool, server);
            CPPUNIT_ASSERT(pool.openConnections() <= 3);
        }
        // The connection used last is still open.
        callServer(pool, m_servers.size() - 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_servers.back()->connectionCount());
    }

    auto call_otherServerAfterIdleTimeout_closesIdleConnection() -> void
    {
        HttpPool pool(*m_context, { .m_idleTimeout = std::chrono::milliseconds(20) });
        callServer(pool, 0);
        m_context->restart();
        m_context->run_for(std::chrono::milliseconds(40));
        callServer(pool, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pool.openConnections());
    }

    auto call_moreInUseThanTotal_isNotDelayed() -> void
    {
        HttpPool pool(*m_context, { .m_total = 1 });
        std::size_t answered = 0;
        for (std::size_t server = 0; server < m_servers.size(); ++server)
            beginCall(pool, server, answered);
        runUntil([&] { return answered == m_servers.size(); });
        CPPUNIT_ASSERT_EQUAL(m_servers.size(), answered);
        callServer(pool, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pool.openConnections());
    }

    auto call_notWantedAnyMore_isNotWritten() -> void
    {
        HttpPool pool(*m_context, {});
        callServer(pool, 0);
        CPPUNIT_ASSERT(callIfWanted(pool, [] { return false; }).m_kind == ErrorKind::Cancelled);
        CPPUNIT_ASSERT_EQUAL(1, m_requests);
        // The connection can be used by the next call.
        callServer(pool, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_servers[0]->connectionCount());
    }

    auto call_notWantedAnyMoreOnceConnected_isNotWritten() -> void
    {
        HttpPool pool(*m_context, {});
        int checks = 0;
        CPPUNIT_ASSERT(callIfWanted(pool, [&] { return ++checks == 1; }).m_kind == ErrorKind::Cancelled);
        CPPUNIT_ASSERT_EQUAL(0, m_requests);
    }

    // Guards against a caller that keeps the connection by calling again before the next one is woken.
    auto call_otherCallerRepeatsAtOnce_isNotOvertaken() -> void
    {
        HttpPool pool(*m_context, { .m_perServer = 1 });
        std::string order;
        std::size_t finished = 0;
        asio::co_spawn(
            *m_context, callOften(pool, m_addresses[0], 4, 'a', order), [&](const std::exception_ptr&) { ++finished; });
        asio::co_spawn(
            *m_context, callOften(pool, m_addresses[0], 2, 'b', order), [&](const std::exception_ptr&) { ++finished; });
        runUntil([&] { return finished == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("ababaa"), order);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pool.openConnections());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_servers[0]->connectionCount());
    }

private:
    static constexpr int serverCount = 6;

    auto answer() -> asio::awaitable<HttpResponse>
    {
        ++m_requests;
        HttpResponse response;
        response.m_status = 200;
        co_return response;
    }

    auto addServer() -> void
    {
        FailureReason reason;
        m_servers.push_back(
            std::make_unique<HttpServer>(*m_context, HttpLimits {}, [this](const HttpRequest&) { return answer(); }));
        const auto port = m_servers.back()->listen("127.0.0.1:0", reason);
        CPPUNIT_ASSERT(port);
        m_addresses.push_back("127.0.0.1:" + std::to_string(*port));
    }

    auto beginCall(HttpPool& pool, std::size_t server, std::size_t& answered) -> void
    {
        asio::co_spawn(*m_context, callOnce(pool, m_addresses[server]),
            [&answered](const std::exception_ptr&, bool isAnswered) { answered += isAnswered ? 1 : 0; });
    }

    static auto callOnce(HttpPool& pool, std::string address) -> asio::awaitable<bool>
    {
        HttpRequest request;
        request.m_target = "/";
        FailureReason reason;
        const auto response
            = co_await pool.call(std::move(address), std::move(request), std::chrono::milliseconds(2000), reason);
        co_return response.has_value();
    }

    static auto callOften(HttpPool& pool, std::string address, int times, char name, std::string& order)
        -> asio::awaitable<void>
    {
        for (int call = 0; call < times; ++call) {
            co_await callOnce(pool, address);
            order += name;
        }
    }

    auto callServer(HttpPool& pool, std::size_t server) -> void
    {
        std::size_t answered = 0;
        beginCall(pool, server, answered);
        runUntil([&] { return answered == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answered);
    }

    auto callIfWanted(HttpPool& pool, std::function<bool()> mayBeSent) -> FailureReason
    {
        FailureReason reason;
        auto isOver = false;
        asio::co_spawn(*m_context,
            pool.call(m_addresses[0], HttpRequest {}, std::chrono::milliseconds(2000), std::move(mayBeSent), reason),
            [&](const std::exception_ptr&, const std::optional<HttpResponse>& response) {
                CPPUNIT_ASSERT(!response);
                isOver = true;
            });
        runUntil([&] { return isOver; });
        CPPUNIT_ASSERT(isOver);
        return reason;
    }

    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        m_context->restart();
        for (int round = 0; round < 400 && !condition(); ++round)
            m_context->run_for(std::chrono::milliseconds(5));
    }

    std::unique_ptr<asio::io_context> m_context;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::vector<std::string> m_addresses;
    int m_requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPoolTest);

} // namespace hemlockvane::detail
