#pragma once

#include "hemlockvane/routing/RoutingState.h"
#include "hemlockvane/time/Time.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Brings the executors in line with the instance list: new ones are added, gone ones forgotten, leaving ones
/// get nothing new. What is known of those that stay is kept.
auto updateExecutors(RoutingState& state, const std::map<std::string, RoutedExecutor, std::less<>>& listed) -> void;

/// @brief Chooses the executor for a request and counts the request there.
///
/// Executors that leave or are set aside get nothing; one in probation gets one request at a time, and only one that
/// may be repeated. In the entry's own availability zone first, then where the entry has most slots free.
/// @param freeSlots slots in hand that are free at an executor
/// @param tried executors that this request was sent to before; taken only if there is no other
/// @result empty when there is none
auto chooseExecutor(RoutingState& state, bool repeatable, std::span<const std::string> tried,
    const std::function<std::uint32_t(std::string_view)>& freeSlots, Instant now) -> std::optional<std::string>;

/// @brief An answer came.
/// @param ranFor time at the executor
auto recordAnswer(RoutingState& state, std::string_view executor, std::string_view team, Duration ranFor, Instant now)
    -> void;

/// @brief A request failed by the executor's fault: refused connection, answer cut short, server error, or silence that
/// a new connection confirmed.
auto recordFailure(RoutingState& state, std::string_view executor, Instant now) -> void;

/// @brief A request ended without telling anything of the executor: cancelled, or its connection had gone silent.
auto recordNeutral(RoutingState& state, std::string_view executor) -> void;

/// @brief Executors set aside or in probation now.
auto ejectedExecutors(const RoutingState& state) -> std::size_t;

} // namespace hemlockvane
