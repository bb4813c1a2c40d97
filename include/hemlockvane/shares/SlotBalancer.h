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

/// @brief Plans the slots of one service again and again at the instance that holds them.
struct SlotBalancer {
    std::string m_service;
    Duration m_period { 20 }; ///< Least time between two plans.
    Instant m_plannedAt;
    std::map<std::string, double, std::less<>> m_credits; ///< Slots that an entry had too few, by instance.
};

/// @brief Plans the service's slots and gives targets and shares to the escrow holder; does nothing between periods.
/// @param zones availability zone by entry instance
/// @param connections most connections of an entry to an executor, by instance and executor
/// @result true when a plan was made
auto balanceSlots(SlotBalancer& balancer, EscrowHolder& holder, std::span<const SlotExecutor> executors,
    const std::map<std::string, double, std::less<>>& weights,
    const std::map<std::string, std::string, std::less<>>& zones,
    const std::map<std::string, std::map<std::string, std::uint32_t, std::less<>>, std::less<>>& connections,
    Instant now) -> bool;

} // namespace hemlockvane
