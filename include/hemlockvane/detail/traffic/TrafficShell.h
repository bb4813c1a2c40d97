#pragma once

#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/detail/traffic/ExecutorConnections.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace hemlockvane::detail {

struct ClaimsDriver;
struct ControlCore;
class Metrics;

/// @brief State of the traffic thread.
struct TrafficShell {
    TrafficShell(ControlCore& core, ClaimsDriver& claims, Metrics& metrics);

    ControlCore& m_core; ///< Its view is read here; all else is asked of the control thread.
    ClaimsDriver& m_claims; ///< Used on the control thread only.
    Metrics& m_metrics;
    boost::asio::io_context m_context { 1 };
    ExecutorConnections m_connections;
    std::map<std::string, std::size_t, std::less<>> m_inFlight; ///< Requests by executor address.
    std::atomic<std::size_t> m_requests = 0; ///< Being handled now.
};

/// @brief The view in force now.
auto currentView(const TrafficShell& shell) -> std::shared_ptr<const TrafficView>;

/// @brief Answers one request of a caller: a request to a queue, a job call, health or metrics.
auto handleCaller(TrafficShell& shell, HttpRequest request) -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
