#pragma once

#include "hemlockvane/limits/TeamDemand.h"
#include "hemlockvane/limits/TeamShare.h"
#include "hemlockvane/shares/QueueLimits.h"
#include "hemlockvane/shares/ShedRequest.h"
#include "hemlockvane/shares/TeamQueue.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief One entry's request queue for one service, shared by teams.
struct RequestQueue {
    QueueLimits m_limits;
    std::map<std::string, TeamQueue, std::less<>> m_teams;
    std::size_t m_waiting = 0;
    std::uint32_t m_slots = 0; ///< Executor slots that this entry has.
    Instant m_updatedAt;
};

/// @brief Sets a team's weight in the fair share.
auto setWeight(RequestQueue& queue, std::string_view team, double weight) -> void;

/// @brief Sets this entry's slots and its shares by team, as received from the escrow holder.
auto setSlots(RequestQueue& queue, std::uint32_t slots, std::span<const TeamShare> shares, Instant now) -> void;

/// @brief Adds a request, or sheds it at once if its deadline cannot be met.
///
/// If the queue is full, the newest request of the team with the most waiting requests for its weight is shed.
/// @result the requests shed, possibly the new one; none of them was run
auto enqueue(RequestQueue& queue, QueuedRequest request, Instant now) -> std::vector<ShedRequest>;

/// @brief Removes the next request to dispatch and counts it as running.
///
/// Call while a slot is free. The team that is furthest below its share comes first. Within a team, urgent requests
/// come first, and an urgent request moves its team ahead by a bounded fraction of its share.
/// @param mayRun called once for each team that is tried; acquires the team's permit if it returns true
/// @result empty if no waiting request may run
/// @complexity linear in the number of teams
auto dispatchNext(RequestQueue& queue, const std::function<bool(std::string_view)>& mayRun, Instant now)
    -> std::optional<QueuedRequest>;

/// @brief A dispatched request ended, with or without an answer.
/// @param runTime time in its slot
auto finish(RequestQueue& queue, std::string_view team, Duration runTime, Instant now) -> void;

/// @brief Removes a waiting request.
/// @result false if it is not waiting
auto cancel(RequestQueue& queue, std::string_view team, std::uint64_t ticket) -> bool;

/// @brief Removes the requests whose deadline has passed or cannot be met any more.
auto shedLate(RequestQueue& queue, Instant now) -> std::vector<ShedRequest>;

/// @brief Slots that each team could use now: one for each running or waiting request.
auto teamDemands(const RequestQueue& queue) -> std::vector<TeamDemand>;

} // namespace hemlockvane
