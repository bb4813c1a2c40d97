#pragma once

#include "hemlockvane/shares/SlotExecutor.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace hemlockvane {

struct EscrowHolder;

/// @brief Periodically plans the slots of one service at the instance that holds their escrow duty.
struct SlotBalancer {
    std::string m_service;
    Duration m_period { 20 }; ///< Minimum time between two plans.
    Instant m_plannedAt;
    std::map<std::string, double, std::less<>> m_credits; ///< Slots by which an entry was below its share, by instance.
};

/// @brief Plans the service's slots and passes the targets and shares to the escrow holder. Does nothing if the last
/// plan is newer than the period.
/// @param zones availability zone by entry instance
/// @param connections maximum number of connections of an entry to an executor, by instance and executor
/// @result true if a plan was made
auto balanceSlots(SlotBalancer& balancer, EscrowHolder& holder, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights,
    const std::map<std::string, std::string, std::less<>>& zones,
    const std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>>& connections,
    Instant now) -> bool;

} // namespace hemlockvane
