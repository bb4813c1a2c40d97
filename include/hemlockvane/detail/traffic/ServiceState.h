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

/// @brief One service at this entry: its queue, its executors and its retries.
struct ServiceState {
    std::string m_service;
    RequestQueue m_queue;
    RoutingState m_routing;
    RetryBudget m_retryBudget;
    std::size_t m_maximumIdleConnections = 0; ///< Idle ones kept to an executor.
    std::map<std::string, std::string, std::less<>> m_addresses; ///< By executor id.
    std::map<std::uint64_t, std::shared_ptr<SlotWait>> m_waits; ///< By ticket.
};

} // namespace hemlockvane::detail
