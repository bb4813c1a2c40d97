#include "HttpMachines.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/MachineOrders.h"
#include "hemlockvane/detail/http/HttpPool.h"
#include "hemlockvane/detail/http/HttpServer.h"
#include "hemlockvane/detail/metrics/Metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

const std::string holdTarget = "/hold"; // A request that keeps the connection until it is released.
constexpr Duration roundTime { 5 };
constexpr Duration settleTime { 60 }; // For an order that would be written without the check.
constexpr Duration longWait { 1500 }; // Longer than a renewal is fresh.
constexpr int maximumRounds = 600;

} // namespace

/// An order for a machine that waits for the only connection while the ownership changes.
class HeldMachineOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeldMachineOrderTest);
    CPPUNIT_TEST(order_nothingChanged_isWritten);
    CPPUNIT_TEST(order_ownershipLostMeanwhile_isNotWritten);
    CPPUNIT_TEST(order_ownershipNotRenewedMeanwhile_isNotWritten);
    CPPUNIT_TEST(order_recordedRenewalOldWhenSent_isNotWritten);
    CPPUNIT_TEST(orders_beyondTheServicesRate_areSpaced);
    CPPUNIT_TEST(orders_beyondWhatCanBeSentInTime_holdUpNoLaterOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_isHolding = false;
        m_isReleased = false;
        m_orders = 0;
        m_renewedAt = monotonicNow();
        HttpHandler handler = [this](HttpRequest request) { return answer(std::move(request)); };
        m_server = std::make_unique<HttpServer>(*m_context, HttpLimits {}, std::move(handler));
        FailureReason reason;
        const auto port = m_server->listen("127.0.0.1:0", reason);
        CPPUNIT_ASSERT(port);
        m_address = "127.0.0.1:" + std::to_string(*port);
        m_pool = std::make_unique<HttpPool>(*m_context, HttpPoolLimits { .m_perServer = 1 });
        m_machines = std::make_unique<platform::HttpMachines>(*m_pool, *m_pool, m_address, "holder");
        CoordinatorPorts ports;
        ports.m_machines = m_machines.get();
        ports.m_metrics = &m_metrics;
        ports.m_renewedAt = [this] { return m_renewedAt; };
        ports.m_newestRenewal = [] { return std::uint64_t { 1 }; };
        m_state = std::make_shared<CoordinatorState>(*m_context, ports, 1);
    }

    auto tearDown() -> void override
    {
        m_state->m_isStopped = true;
        release();
        m_state.reset();
        m_machines.reset();
        m_pool.reset();
        m_server.reset();
        m_context.reset();
    }

    auto order_nothingChanged_isWritten() -> void
    {
        orderWhileHeld();
        release();
        CPPUNIT_ASSERT_EQUAL(1, m_orders);
    }

    auto order_ownershipLostMeanwhile_isNotWritten() -> void
    {
        orderWhileHeld();
        m_state->m_isStopped = true;
        release();
        CPPUNIT_ASSERT_EQUAL(0, m_orders);
    }

    auto order_ownershipNotRenewedMeanwhile_isNotWritten() -> void
    {
        orderWhileHeld();
        m_renewedAt -= Duration { 5000 };
        release();
        CPPUNIT_ASSERT_EQUAL(0, m_orders);
        CPPUNIT_ASSERT(!m_state->m_fleet.m_reserved.contains("m1"));
        CPPUNIT_ASSERT(!m_state->m_fleet.m_outstandingOrders.contains("m1"));
    }

    // A later owner takes the recorded renewal for the time until which the order may be sent, however often the
    // ownership was renewed since.
    auto order_recordedRenewalOldWhenSent_isNotWritten() -> void
    {
        orderWhileHeld();
        runFor(longWait);
        m_renewedAt = monotonicNow();
        release();
        CPPUNIT_ASSERT_EQUAL(0, m_orders);
    }

    auto orders_beyondTheServicesRate_areSpaced() -> void
    {
        constexpr double ordersPerSecond = 20;
        constexpr int orders = 4;
        m_machines = std::make_unique<platform::HttpMachines>(*m_pool, *m_pool, m_address, "holder", ordersPerSecond);
        for (int order = 0; order < orders; ++order)
            asio::co_spawn(*m_context, m_machines->move("m" + std::to_string(order), "counter", 1, [] { return true; }),
                asio::detached);
        runFor(Duration { 80 });
        CPPUNIT_ASSERT(m_orders >= 1);
        CPPUNIT_ASSERT(m_orders <= 2);
        for (int round = 0; round < maximumRounds && m_orders < orders; ++round)
            runFor(roundTime);
        CPPUNIT_ASSERT_EQUAL(orders, m_orders);
    }

    // Guards against orders that are never sent, since all turns go to orders that have waited for too long.
    auto orders_beyondWhatCanBeSentInTime_holdUpNoLaterOrder() -> void
    {
        constexpr double ordersPerSecond = 20;
        constexpr int orders = 100;
        m_machines = std::make_unique<platform::HttpMachines>(*m_pool, *m_pool, m_address, "holder", ordersPerSecond);
        auto areWanted = true;
        for (int order = 0; order < orders; ++order)
            asio::co_spawn(*m_context,
                m_machines->move("m" + std::to_string(order), "counter", 1, [&areWanted] { return areWanted; }),
                asio::detached);
        runFor(Duration { 200 });
        areWanted = false;
        runFor(longWait / 2);
        const auto before = m_orders;
        asio::co_spawn(*m_context, m_machines->move("later", "counter", 1, [] { return true; }), asio::detached);
        runFor(Duration { 200 });
        CPPUNIT_ASSERT_EQUAL(before + 1, m_orders);
    }

private:
    auto answer(HttpRequest request) -> asio::awaitable<HttpResponse>
    {
        m_isHolding = request.m_target == holdTarget;
        m_orders += m_isHolding ? 0 : 1;
        while (m_isHolding && !m_isReleased)
            co_await sleepFor(roundTime);
        HttpResponse response;
        response.m_status = 200;
        response.m_body = "{}";
        co_return response;
    }

    // Sends an order while another request has the only connection.
    auto orderWhileHeld() -> void
    {
        asio::co_spawn(*m_context, holdConnection(), [](const std::exception_ptr&) {});
        for (int round = 0; round < maximumRounds && !m_isHolding; ++round)
            runFor(roundTime);
        CPPUNIT_ASSERT(m_isHolding);
        fleet::FleetAction action;
        action.m_kind = fleet::FleetActionKind::Move;
        action.m_machine = "m1";
        action.m_pool = "counter";
        placeMachineOrder(*m_state, action);
        sendMachineOrders(m_state, std::exchange(m_state->m_pendingMachineOrders, {}));
        runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(0, m_orders);
    }

    auto holdConnection() -> asio::awaitable<void>
    {
        HttpRequest request;
        request.m_target = holdTarget;
        FailureReason reason;
        auto address = m_address;
        const auto response = co_await m_pool->call(std::move(address), std::move(request), Duration { 10000 }, reason);
        CPPUNIT_ASSERT(response);
    }

    auto release() -> void
    {
        m_isReleased = true;
        runFor(settleTime);
    }

    auto runFor(Duration time) -> void
    {
        m_context->restart();
        m_context->run_for(time);
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpPool> m_pool;
    std::unique_ptr<platform::HttpMachines> m_machines;
    Metrics m_metrics;
    std::shared_ptr<CoordinatorState> m_state;
    std::string m_address;
    Instant m_renewedAt;
    int m_orders = 0; // Received by the machine service.
    bool m_isHolding = false;
    bool m_isReleased = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldMachineOrderTest);

} // namespace hemlockvane::detail
