#pragma once

#include "hemlockvane/routing/RoutingState.h"
#include "hemlockvane/time/Time.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Updates the executors from the instance list: adds new ones, erases those not listed, and marks leaving ones.
/// The health of the others is kept.
auto updateExecutors(RoutingState& state, const std::map<std::string, RoutedExecutor, std::less<>>& listed) -> void;

/// @brief Chooses the executor for a request and counts the request there.
///
/// Executors that are leaving or ejected get no requests. An executor in probation gets one repeatable request at a
/// time, before others. Otherwise executors of the entry's own availability zone come first, then those at which the
/// entry has the most free slots.
/// @param freeSlots number of this entry's free slots at an executor
/// @param tried executors to which this request was sent before; chosen only if there is no other
/// @result empty if no executor can be chosen
auto chooseExecutor(RoutingState& state, bool repeatable, std::span<const std::string> tried,
    const std::function<std::uint32_t(std::string_view)>& freeSlots, Instant now) -> std::optional<std::string>;

/// @brief Records that a request was answered.
/// @param runTime time at the executor
auto recordAnswer(RoutingState& state, std::string_view executor, std::string_view team, Duration runTime, Instant now)
    -> void;

/// @brief Records that a request failed because of the executor: connection refused, answer truncated, server error, or
/// a timeout that a probe on a new connection confirmed.
auto recordFailure(RoutingState& state, std::string_view executor, Instant now) -> void;

/// @brief Records a request that says nothing about the executor's health: it was cancelled, or its connection timed
/// out.
auto recordNeutral(RoutingState& state, std::string_view executor) -> void;

/// @brief Number of executors that are ejected or in probation.
auto ejectedExecutors(const RoutingState& state) -> std::size_t;

} // namespace hemlockvane
