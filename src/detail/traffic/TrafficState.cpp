#include "hemlockvane/detail/traffic/TrafficState.h"

#include "hemlockvane/detail/api/JobsApi.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/control/EscrowDriver.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/traffic/HandleRequest.h"
#include "hemlockvane/detail/traffic/QueueRequest.h"
#include "hemlockvane/errors/ErrorAnswer.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

auto health(const TrafficState& traffic) -> HttpResponse
{
    const auto view = currentView(traffic);
    const auto isVouched = monotonicNow() < view->m_vouchedUntil;
    auto response = jsonResponse({ { "vouched", isVouched }, { "draining", view->m_isDraining } });
    if (!isVouched || view->m_isDraining)
        response.m_status = errorAnswer(ErrorKind::NotVouched).m_httpStatus;
    return response;
}

auto answerOne(TrafficState& traffic, HttpRequest request) -> asio::awaitable<HttpResponse>
{
    if (!queueOf(request.m_target).empty())
        co_return co_await handleRequest(traffic, std::move(request));
    if (request.m_target == "/health")
        co_return health(traffic);
    if (request.m_target == "/metrics")
        co_return HttpResponse { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, traffic.m_metrics.render() };
    co_return co_await handleJobs(traffic, std::move(request));
}

} // namespace

TrafficState::TrafficState(ControlCore& core, ClaimsDriver& claims, Metrics& metrics)
    : m_core(core)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_connections(m_context.get_executor())
{
    m_escrow.m_timing = escrowTiming(core.m_settings);
}

auto currentView(const TrafficState& traffic) -> std::shared_ptr<const TrafficView>
{
    return traffic.m_core.m_view.load();
}

auto handleCaller(TrafficState& traffic, HttpRequest request) -> asio::awaitable<HttpResponse>
{
    const auto startedAt = std::chrono::steady_clock::now();
    ++traffic.m_requests;
    auto response = co_await answerOne(traffic, std::move(request));
    --traffic.m_requests;
    const auto latency = std::chrono::steady_clock::now() - startedAt;
    traffic.m_metrics.observe("request_seconds", std::chrono::duration_cast<std::chrono::microseconds>(latency));
    traffic.m_metrics.count("requests_total{status=\"" + std::to_string(response.m_status) + "\"}");
    co_return response;
}

} // namespace hemlockvane::detail
