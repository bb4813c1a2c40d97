#pragma once

#include "hemlockvane/detail/control/CapacityTracker.h"
#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"
#include "hemlockvane/detail/traffic/ExecutorConnections.h"
#include "hemlockvane/detail/traffic/ServiceState.h"
#include "hemlockvane/limits/CapacityHistory.h"
#include "hemlockvane/limits/EscrowMember.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hemlockvane::detail {

struct ClaimsDriver;
struct ControlCore;
class Metrics;

/// @brief State of the traffic thread.
struct TrafficState {
    TrafficState(ControlCore& core, ClaimsDriver& claims, Metrics& metrics);

    ControlCore& m_core; ///< Its view is read on the traffic thread; all else is requested from the control thread.
    ClaimsDriver& m_claims; ///< Used on the control thread only.
    Metrics& m_metrics;
    boost::asio::io_context m_context { 1 };
    ExecutorConnections m_connections;
    EscrowMember m_escrow;
    CapacityHistory m_capacities; ///< For reports to a new escrow holder.
    CapacityTracker m_capacityFollower;
    std::map<std::string, ServiceState, std::less<>> m_services; ///< By service.
    std::uint64_t m_lastTicket = 0; ///< Last ticket given to a queued request.
    std::set<std::string, std::less<>> m_knownTeams; ///< Teams that have had demand at this entry.
    std::map<std::string, std::uint32_t, std::less<>> m_jobDemand; ///< Jobs to be placed by this entry, by team.
    std::shared_ptr<const std::vector<ListedInstance>> m_appliedList; ///< Instance list last applied.
    std::set<std::string, std::less<>> m_evacuatedZones; ///< Zones whose executors get no new requests.
    std::shared_ptr<const MembershipState> m_appliedMembership; ///< Membership last applied.
    Instant m_nextConfigurationUpdate; ///< When the configuration is applied next.
    std::atomic<std::size_t> m_requests = 0; ///< Requests being handled now.
};

/// @brief The current view of the control thread's state.
auto currentView(const TrafficState& traffic) -> std::shared_ptr<const TrafficView>;

/// @brief Answers one HTTP request of a caller: a request to a queue, a job call, "/health" or "/metrics".
auto handleCaller(TrafficState& traffic, HttpRequest request) -> boost::asio::awaitable<HttpResponse>;

} // namespace hemlockvane::detail
