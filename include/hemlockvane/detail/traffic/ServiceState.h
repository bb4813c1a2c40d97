#pragma once

#include "hemlockvane/detail/traffic/SlotWait.h"
#include "hemlockvane/routing/RetryBudget.h"
#include "hemlockvane/routing/RoutingState.h"
#include "hemlockvane/shares/RequestQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hemlockvane::detail {

/// @brief State of one service at this entry: its queue, executors and retry budget.
struct ServiceState {
    std::string m_service;
    RequestQueue m_queue;
    RoutingState m_routing;
    RetryBudget m_retryBudget;
    std::size_t m_maximumIdleConnections = 0; ///< Idle connections that may be kept to each executor.
    std::map<std::string, std::string, std::less<>> m_addresses; ///< Address by executor id.
    std::map<std::uint64_t, std::shared_ptr<SlotWait>> m_waits; ///< Requests that wait for a slot, by ticket.
};

} // namespace hemlockvane::detail
