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
struct ServiceLane {
    std::string m_service;
    RequestQueue m_queue;
    RoutingState m_routing;
    RetryBudget m_budget;
    std::size_t m_spareConnections = 0; ///< Idle ones kept to an executor.
    std::map<std::string, std::string, std::less<>> m_addresses; ///< By executor id.
    std::map<std::uint64_t, std::shared_ptr<SlotWait>> m_waits; ///< By ticket.
};

} // namespace hemlockvane::detail
