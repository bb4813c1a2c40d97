#include "hemlockvane/detail/server/EntryServer.h"

#include "hemlockvane/detail/api/OperatorsApi.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ClaimsDriver.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/EscrowDriver.h"
#include "hemlockvane/detail/control/KeysDriver.h"
#include "hemlockvane/detail/control/LogTail.h"
#include "hemlockvane/detail/control/MaintenanceDriver.h"
#include "hemlockvane/detail/control/MembershipDriver.h"
#include "hemlockvane/detail/control/MovesDriver.h"
#include "hemlockvane/detail/control/PlacementDriver.h"
#include "hemlockvane/detail/control/SnapshotDriver.h"
#include "hemlockvane/detail/control/TailExchange.h"
#include "hemlockvane/detail/crypto/Sha256.h"
#include "hemlockvane/detail/http/HttpServer.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/program/MapLargeBlocks.h"
#include "hemlockvane/detail/traffic/EscrowTraffic.h"
#include "hemlockvane/detail/traffic/TrafficState.h"

#include "hemlockvane/peers.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <thread>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr std::size_t instanceSuffixDigits = 8;
constexpr Duration drainPollInterval { 50 };
constexpr Duration maximumDrainTime { 60000 };

auto newInstanceId(const ServeSettings& settings) -> std::string
{
    return settings.m_instance + "-" + makeSecret().substr(0, instanceSuffixDigits);
}

// Operators get a part of their own, so that callers cannot keep them out.
auto operatorsLimits(const ServeSettings& settings) -> HttpLimits
{
    constexpr std::size_t operatorsDivisor = 4;
    HttpLimits limits;
    limits.m_maximumMemoryBytes = settings.m_limits.m_maximumMemoryBytes / operatorsDivisor;
    return limits;
}

auto withPort(std::string_view address, std::uint16_t port) -> std::string
{
    return std::string(address.substr(0, address.rfind(':') + 1)) + std::to_string(port);
}

// All components of one entry instance, which run on the control thread or on the traffic thread.
struct Entry {
    explicit Entry(const ServeSettings& settings)
        : m_core(settings, newInstanceId(settings), m_metrics)
        , m_claims(m_core)
        , m_placement(m_core)
        , m_escrow(m_core)
        , m_maintenance(m_core)
        , m_moves(m_core)
        , m_traffic(m_core, m_claims, m_metrics)
        , m_operators(m_core)
        , m_operatorsServer(m_core.m_context, operatorsLimits(settings),
              [this](HttpRequest request) { return m_operators.handle(std::move(request)); })
        , m_trafficServer(m_traffic.m_context, settings.m_limits,
              [this](HttpRequest request) { return handleCaller(m_traffic, std::move(request)); })
        , m_signals(m_core.m_context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    Metrics m_metrics;
    ControlCore m_core;
    ClaimsDriver m_claims;
    PlacementDriver m_placement;
    EscrowDriver m_escrow;
    MaintenanceDriver m_maintenance;
    MovesDriver m_moves;
    TrafficState m_traffic;
    OperatorsApi m_operators;
    HttpServer m_operatorsServer;
    HttpServer m_trafficServer;
    asio::signal_set m_signals;
};

auto openSockets(Entry& entry, FailureReason& reason) -> bool
{
    auto& core = entry.m_core;
    const auto& settings = core.m_settings;
    const auto peers = core.m_peers.listen(settings.m_peersListen, reason);
    if (!peers)
        return false;
    const auto operators = entry.m_operatorsServer.listen(settings.m_operatorsListen, reason);
    if (!operators)
        return false;
    const auto traffic = entry.m_trafficServer.listen(settings.m_trafficListen, reason);
    if (!traffic)
        return false;
    core.m_peersEndpoint = *peers;
    core.m_trafficAddress = withPort(settings.m_trafficListen, *traffic);
    logOf("entry").info("callers on {}, operators on {}, peers on {}", core.m_trafficAddress,
        withPort(settings.m_operatorsListen, *operators), *peers);
    return true;
}

// Stops without interrupting requests. The health check and the instance list first report that the instance is
// leaving, so that the load balancer sends no new requests. Then the requests in flight end, the duties are handed over
// and the instance leaves the fleet.
auto stopGracefully(Entry& entry) -> asio::awaitable<void>
{
    auto& core = entry.m_core;
    if (core.m_isStopping)
        co_return;
    logOf("entry").info("planned stop started");
    core.m_isStopping = true;
    core.m_planner.m_isLeaving = true;
    publishView(core);
    co_await announceLeaving(core);
    asio::post(entry.m_traffic.m_context, [&entry]() { entry.m_trafficServer.disableKeepAlive(); });
    co_await sleepFor(core.m_settings.m_listLag);
    asio::post(entry.m_traffic.m_context, [&entry]() { entry.m_trafficServer.drain(); });
    const auto deadline = monotonicNow() + maximumDrainTime;
    do
        co_await sleepFor(drainPollInterval);
    while (entry.m_traffic.m_requests > 0 && monotonicNow() < deadline);
    co_await leaveFleet(core);
    core.m_isStopped = true;
    logOf("entry").info("planned stop finished, interrupted requests: {}", entry.m_traffic.m_requests.load());
    entry.m_traffic.m_context.stop();
    core.m_peers.close();
    core.m_context.stop();
}

auto awaitSignal(Entry& entry) -> void
{
    entry.m_signals.async_wait([&entry](const boost::system::error_code& error, int number) {
        if (error)
            return;
        if (number == SIGHUP) {
            logOf("entry").info("SIGHUP ignored: settings are read at the start only");
            awaitSignal(entry);
        } else {
            entry.m_core.m_stop();
        }
    });
}

auto start(Entry& entry) -> void
{
    auto& core = entry.m_core;
    core.m_stop = [&entry]() { asio::co_spawn(entry.m_core.m_context, stopGracefully(entry), asio::detached); };
    awaitSignal(entry);
    attachMembership(core);
    attachTailExchange(core);
    asio::co_spawn(core.m_context, tailLog(core), asio::detached);
    asio::co_spawn(core.m_context, pumpAppends(core), asio::detached);
    asio::co_spawn(core.m_context, watchInstances(core), asio::detached);
    asio::co_spawn(core.m_context, runMembership(core), asio::detached);
    asio::co_spawn(core.m_context, sendHeartbeats(core), asio::detached);
    asio::co_spawn(core.m_context, runSnapshots(core), asio::detached);
    asio::co_spawn(core.m_context, runClaims(entry.m_claims), asio::detached);
    entry.m_placement.m_permits = makeJobPermits(entry.m_traffic);
    asio::co_spawn(core.m_context, runPlacement(entry.m_placement), asio::detached);
    entry.m_escrow.m_sendToMember = [&shell = entry.m_traffic](const wire::Envelope& envelope) {
        asio::post(shell.m_context, [&shell, envelope]() { handleEscrowMessage(shell, envelope); });
    };
    asio::co_spawn(core.m_context, runEscrow(entry.m_escrow), asio::detached);
    asio::co_spawn(core.m_context, runMaintenance(entry.m_maintenance), asio::detached);
    asio::co_spawn(core.m_context, runMoves(entry.m_moves), asio::detached);
    asio::co_spawn(core.m_context, runKeys(core), asio::detached);
    asio::co_spawn(entry.m_traffic.m_context, runDispatchLoop(entry.m_traffic), asio::detached);
}

} // namespace

auto serveEntry(const ServeSettings& settings, std::string_view logLevel) -> int
{
    mapLargeBlocks();
    std::signal(SIGPIPE, SIG_IGN);
    Entry entry(settings);
    startLogging(entry.m_core.m_instance, logLevel);
    FailureReason reason;
    if (!openSockets(entry, reason)) {
        logOf("entry").error("{}", reason.m_text);
        return 1;
    }
    start(entry);
    std::thread traffic([&entry]() {
        const auto work = asio::make_work_guard(entry.m_traffic.m_context);
        entry.m_traffic.m_context.run();
    });
    entry.m_core.m_context.run();
    traffic.join();
    return 0;
}

} // namespace hemlockvane::detail
