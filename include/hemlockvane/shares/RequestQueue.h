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

/// @brief One entry's queue for one service, shared by teams.
struct RequestQueue {
    QueueLimits m_limits;
    std::map<std::string, TeamQueue, std::less<>> m_teams;
    std::size_t m_waiting = 0;
    std::uint32_t m_slots = 0; ///< Executor slots in hand.
    Instant m_updatedAt;
};

/// @brief Sets a team's weight in the fair share.
auto setWeight(RequestQueue& queue, std::string_view team, double weight) -> void;

/// @brief Sets the slots in hand and this entry's part by team as the holder told them.
auto setSlots(RequestQueue& queue, std::uint32_t slots, std::span<const TeamShare> shares, Instant now) -> void;

/// @brief Adds a request, or refuses it at once when its deadline cannot be kept or the queue is full.
///
/// A full queue makes room by the newest request of the team that waits most for its weight.
/// @result the requests shed, possibly the new one; all certainly not run
auto enqueue(RequestQueue& queue, QueuedRequest request, Instant now) -> std::vector<ShedRequest>;

/// @brief Takes the next request to dispatch and counts it as running.
///
/// Call while a slot is free. The team that is furthest below its share goes first, urgent requests before others
/// within a team, and an urgent request puts its team ahead by a bounded part of its share.
/// @param mayRun asked once for each team tried; takes the team's permit when it returns true
/// @result empty when nothing waits that may run
/// @complexity linear in the number of teams
auto dispatchNext(RequestQueue& queue, const std::function<bool(std::string_view)>& mayRun, Instant now)
    -> std::optional<QueuedRequest>;

/// @brief A dispatched request ended, by an answer or otherwise.
/// @param ranFor time in its slot
auto finish(RequestQueue& queue, std::string_view team, Duration ranFor, Instant now) -> void;

/// @brief Takes a waiting request out.
/// @result false when it is not waiting
auto cancel(RequestQueue& queue, std::string_view team, std::uint64_t ticket) -> bool;

/// @brief Takes out the requests whose deadline passed or cannot be kept any more.
auto shedLate(RequestQueue& queue, Instant now) -> std::vector<ShedRequest>;

/// @brief Slots that each team could use now: running and waiting.
auto teamDemands(const RequestQueue& queue) -> std::vector<TeamDemand>;

} // namespace hemlockvane
