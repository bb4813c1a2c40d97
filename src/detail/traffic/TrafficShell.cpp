#include "hemlockvane/detail/traffic/TrafficShell.h"

#include "hemlockvane/detail/api/JobsApi.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/EscrowDriver.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/detail/traffic/RequestPath.h"
#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

auto health(const TrafficShell& shell) -> HttpResponse
{
    const auto view = currentView(shell);
    const auto isVouched = monotonicNow() < view->m_vouchedUntil;
    auto response = jsonResponse({ { "vouched", isVouched }, { "draining", view->m_isDraining } });
    if (!isVouched || view->m_isDraining)
        response.m_status = errorAnswer(ErrorKind::NotVouched).m_httpStatus;
    return response;
}

auto answerOne(TrafficShell& shell, HttpRequest request) -> asio::awaitable<HttpResponse>
{
    if (!queueOf(request.m_target).empty())
        co_return co_await handleRequest(shell, std::move(request));
    if (request.m_target == "/health")
        co_return health(shell);
    if (request.m_target == "/metrics")
        co_return HttpResponse { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, shell.m_metrics.render() };
    co_return co_await handleJobs(shell, std::move(request));
}

} // namespace

TrafficShell::TrafficShell(ControlCore& core, ClaimsDriver& claims, Metrics& metrics)
    : m_core(core)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_connections(m_context.get_executor())
{
    m_escrow.m_timing = escrowTiming(core.m_settings);
}

auto currentView(const TrafficShell& shell) -> std::shared_ptr<const TrafficView> { return shell.m_core.m_view.load(); }

auto handleCaller(TrafficShell& shell, HttpRequest request) -> asio::awaitable<HttpResponse>
{
    const auto startedAt = std::chrono::steady_clock::now();
    ++shell.m_requests;
    auto response = co_await answerOne(shell, std::move(request));
    --shell.m_requests;
    const auto latency = std::chrono::steady_clock::now() - startedAt;
    shell.m_metrics.observe("request_seconds", std::chrono::duration_cast<std::chrono::microseconds>(latency));
    shell.m_metrics.count("requests_total{status=\"" + std::to_string(response.m_status) + "\"}");
    co_return response;
}

} // namespace hemlockvane::detail
